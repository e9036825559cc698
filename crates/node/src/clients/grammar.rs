//! From the words of a client's command to a request of the decision module.

use std::borrow::Cow;

use brassrouter::settings::DeploymentSettings;
use brassrouter::{Micros, Request};
use bytes::Bytes;
use mothpier_host::Host;
use mothpier_resp::MAX_BUFFERED_VALUE_BYTES;
use redis_protocol::resp2::types::BytesFrame;

use super::Clients;
use crate::command::{Command, RequestIdGuard};
use crate::keys::KeyHasher;

/// The longest key and the longest id, bytes.
const MAX_NAME: usize = 1024;
/// The longest extras, bytes.
const MAX_EXTRAS: usize = 4096;

/// By what commands are read.
pub struct Grammar {
    pub site: DeploymentSettings,
    pub keys: KeyHasher,
}

/// A command that is answered with an error.
pub(super) struct Rejected {
    pub(super) told: String,
    /// Where it is a request of a class that can be told.
    pub(super) class: Option<usize>,
}

impl From<&str> for Rejected {
    fn from(told: &str) -> Self {
        Rejected { told: told.into(), class: None }
    }
}

/// The words of a request as they came, of lengths that are allowed.
struct RequestWords<'a> {
    key: &'a [u8],
    id: &'a [u8],
    extras: &'a [u8],
    /// Of a write.
    value: Option<&'a Bytes>,
}

impl<'a> RequestWords<'a> {
    fn read(words: &'a [Bytes]) -> Result<Self, Rejected> {
        let [name, key, id, extras, value @ ..] = words else {
            return Err("wrong number of arguments".into());
        };
        let write = name.as_ref() == b"CACHE.SET";
        if value.len() != usize::from(write) {
            return Err("wrong number of arguments".into());
        }
        let empty = key.is_empty() || id.is_empty();
        if empty || key.len() > MAX_NAME || id.len() > MAX_NAME || extras.len() > MAX_EXTRAS {
            return Err("key, id or extras of a wrong length".into());
        }
        // They go into headers at the origin, and what a cache server can't read costs all that wait there.
        if !id.iter().chain(extras.iter()).all(|b| b.is_ascii_graphic()) {
            return Err("id and extras must be printable".into());
        }
        Ok(RequestWords { key, id, extras, value: value.first() })
    }

    fn is_write(&self) -> bool {
        self.value.is_some()
    }

    /// What goes on to servers. Copies: a slice would keep all that was read at once for as long as the request is open.
    fn into_command(self, claim: RequestIdGuard) -> Command {
        let write = self.is_write();
        Command {
            name: Bytes::from_static(if write { b"CACHE.SET" } else { b"CACHE.GET" }),
            key: Bytes::copy_from_slice(self.key),
            id: claim.1.clone(),
            extras: Bytes::copy_from_slice(self.extras),
            // Read alone, and too large to be copied.
            value: self.value.map(|v| {
                if v.len() > MAX_BUFFERED_VALUE_BYTES { v.clone() } else { Bytes::copy_from_slice(v) }
            }),
            write,
            _id_guard: claim,
        }
    }
}

/// The extras of a request: names and values.
struct Extras<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Extras<'a> {
    fn read(text: &'a str) -> Result<Self, Rejected> {
        let mut names = Vec::new();
        for part in text.split(',') {
            // A name that comes twice would mean one thing here and another at a server.
            match part.split_once('=') {
                Some((name, value)) if !name.is_empty() && !names.iter().any(|(n, _)| *n == name) => {
                    names.push((name, value));
                }
                _ => return Err("extras are names and values, each name once".into()),
            }
        }
        Ok(Extras(names))
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    /// The value of that name as a figure in plain digits, where the name is there.
    fn figure(&self, name: &str) -> Result<Option<f64>, String> {
        let Some(text) = self.get(name) else { return Ok(None) };
        let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        match text.parse::<f64>() {
            Ok(figure) if plain && figure.is_finite() => Ok(Some(figure)),
            _ => Err(format!("{name} is no figure")),
        }
    }
}

impl<H: Host> Clients<H> {
    /// Reads a command's words; the error is answered to the client.
    pub(super) fn parse(&self, words: &[Bytes], received: Micros) -> Result<(Request, Command), Rejected> {
        let words = RequestWords::read(words)?;
        let text: Cow<'_, str> = String::from_utf8_lossy(words.extras);
        let extras = Extras::read(&text)?;
        let class = extras.get("c").and_then(|c| self.site.class_names.iter().position(|n| n == c));
        let class = class.ok_or("unknown class")?;
        let rejected = |told: String| Rejected { told, class: Some(class) };
        let request = self.request(&words, &extras, class, received).map_err(rejected)?;
        // Two open requests of one id could not be told apart by servers; the first one stays as it is.
        let claim = RequestIdGuard::acquire(&self.ids, &Bytes::copy_from_slice(words.id));
        let claim = claim.ok_or("a request of this id is open".into()).map_err(rejected)?;
        Ok((request, words.into_command(claim)))
    }

    /// What the decision module is told of a request of this class.
    fn request(
        &self,
        words: &RequestWords<'_>,
        extras: &Extras<'_>,
        class: usize,
        received: Micros,
    ) -> Result<Request, String> {
        let tenant = self.tenant(extras);
        let asked_for = extras.figure("d")?.ok_or("no d: how long the answer is waited for")?;
        // No longer than the class allows: what is kept for a request must not stay for as long as anyone says.
        let deadline = self.site.policy.classes[class].deadline;
        let time_left = ((asked_for * 1000.0) as Micros).min(deadline);
        Ok(Request {
            id: self.next_request.replace(self.next_request.get() + 1),
            class,
            tenant: tenant.ok_or("unknown tenant")?,
            key: self.keys.hash(words.key),
            is_write: words.is_write(),
            is_retry: extras.get("r") == Some("1"),
            // The client's wait began before its command was read whole.
            time_left: time_left.saturating_sub((self.now)() - received),
            cost: extras.figure("h")?.map(|us| us as Micros),
            size: extras.figure("size")?.unwrap_or_default() as f32,
        })
    }

    /// The number of a request's tenant; `None` for one that the configuration does not name.
    fn tenant(&self, extras: &Extras<'_>) -> Option<usize> {
        let tenants = &self.site.tenant_names;
        if tenants.is_empty() {
            return Some(0);
        }
        let name = extras.get("t")?;
        tenants.iter().position(|tenant| tenant == name)
    }
}

/// The words of a command.
pub(super) fn words(frame: BytesFrame) -> Option<Vec<Bytes>> {
    let BytesFrame::Array(frames) = frame else { return None };
    let word = |f| match f {
        BytesFrame::BulkString(b) => Some(b),
        _ => None,
    };
    frames.into_iter().map(word).collect::<Option<Vec<_>>>().filter(|words| !words.is_empty())
}
