//! Parses a client's command into a request of the decision module.

use std::borrow::Cow;
use std::cell::Cell;
use std::collections::HashMap;

use brassrouter::settings::DeploymentSettings;
use brassrouter::{Micros, Request};
use bytes::Bytes;
use mothpier_host::Host;
use mothpier_ops::{HeldBytes, MemoryUse};
use mothpier_resp::MAX_BUFFERED_VALUE_BYTES;
use redis_protocol::resp2::types::BytesFrame;

use super::Clients;
use crate::command::{Command, RequestIdGuard};
use crate::keys::KeyHasher;

/// Longest key and longest request id.
const MAX_KEY_OR_ID_BYTES: usize = 1024;
/// Longest extras.
const MAX_EXTRAS_BYTES: usize = 4096;

/// What commands are parsed with.
pub struct ParserConfig {
    pub settings: DeploymentSettings,
    pub key_hasher: KeyHasher,
}

/// A command that is answered with an error.
pub(super) struct Rejected {
    pub(super) message: String,
    /// The class, if it is a request of a known class.
    pub(super) class: Option<usize>,
}

impl From<&str> for Rejected {
    fn from(message: &str) -> Self {
        Rejected { message: message.into(), class: None }
    }
}

/// The arguments of a request as received, with valid lengths.
struct RequestArguments<'a> {
    key: &'a [u8],
    id: &'a [u8],
    extras: &'a [u8],
    /// Only for a write.
    value: Option<&'a Bytes>,
}

impl<'a> RequestArguments<'a> {
    fn parse(arguments: &'a [Bytes]) -> Result<Self, Rejected> {
        let [name, key, id, extras, value @ ..] = arguments else {
            return Err("wrong number of arguments".into());
        };
        let write = name.as_ref() == b"CACHE.SET";
        if value.len() != usize::from(write) {
            return Err("wrong number of arguments".into());
        }
        let empty = key.is_empty() || id.is_empty();
        if empty
            || key.len() > MAX_KEY_OR_ID_BYTES
            || id.len() > MAX_KEY_OR_ID_BYTES
            || extras.len() > MAX_EXTRAS_BYTES
        {
            return Err("key, id or extras of a wrong length".into());
        }
        // They are copied into headers at the origin, and a command that a cache server can't parse would fail all requests
        // that share its connection.
        if !id.iter().chain(extras.iter()).all(|b| b.is_ascii_graphic()) {
            return Err("id and extras must be printable".into());
        }
        Ok(RequestArguments { key, id, extras, value: value.first() })
    }

    fn is_write(&self) -> bool {
        self.value.is_some()
    }

    /// The command sent on to servers. Copies the arguments: a slice would keep the whole read buffer alive for as long as
    /// the request is open.
    fn into_command(self, id_guard: RequestIdGuard, held: HeldBytes) -> Command {
        let write = self.is_write();
        Command {
            name: Bytes::from_static(if write { b"CACHE.SET" } else { b"CACHE.GET" }),
            key: Bytes::copy_from_slice(self.key),
            id: id_guard.id.clone(),
            extras: Bytes::copy_from_slice(self.extras),
            // Read into a buffer of its own, and too large to copy.
            value: self.value.map(|v| {
                if v.len() > MAX_BUFFERED_VALUE_BYTES { v.clone() } else { Bytes::copy_from_slice(v) }
            }),
            write,
            value_memory: None,
            reply_memory: Cell::default(),
            _held: held,
            id_guard,
        }
    }
}

/// The extras of a request: values by their names. A list may have some thousand names, so that a search through it for each
/// would take milliseconds.
struct Extras<'a>(HashMap<&'a str, &'a str>);

impl<'a> Extras<'a> {
    fn parse(text: &'a str) -> Result<Self, Rejected> {
        let mut values = HashMap::new();
        for part in text.split(',') {
            // A duplicate name would mean one thing here and another at a server.
            match part.split_once('=') {
                Some((name, value)) if !name.is_empty() && values.insert(name, value).is_none() => {}
                _ => return Err("extras are names and values, each name once".into()),
            }
        }
        Ok(Extras(values))
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0.get(name).copied()
    }

    /// The value of that name as a plain decimal number, if present.
    fn number(&self, name: &str) -> Result<Option<f64>, String> {
        let Some(text) = self.get(name) else { return Ok(None) };
        let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        match text.parse::<f64>() {
            Ok(number) if plain && number.is_finite() => Ok(Some(number)),
            _ => Err(format!("{name} is no figure")),
        }
    }
}

impl<H: Host> Clients<H> {
    /// Parses a command's arguments; the error is sent to the client.
    pub(super) fn parse_request(
        &self,
        arguments: &[Bytes],
        received_at: Micros,
    ) -> Result<(Request, Command), Rejected> {
        let arguments = RequestArguments::parse(arguments)?;
        let text: Cow<'_, str> = String::from_utf8_lossy(arguments.extras);
        let extras = Extras::parse(&text)?;
        let class = extras.get("c").and_then(|c| self.settings.class_names.iter().position(|n| n == c));
        let class = class.ok_or("unknown class")?;
        let rejected = |message: String| Rejected { message, class: Some(class) };
        let request = self.build_request(&arguments, &extras, class, received_at).map_err(rejected)?;
        // Servers could not tell two open requests with one id apart; the first one is unaffected.
        let (id, id_hash) = (Bytes::copy_from_slice(arguments.id), self.key_hasher.hash(arguments.id));
        let id_guard = RequestIdGuard::acquire(&self.open_ids, &id, id_hash);
        let id_guard = id_guard.ok_or("a request of this id is open".into()).map_err(rejected)?;
        if self.forwarded_ids.contains(id_hash) {
            return Err(rejected("a request of this id has been forwarded before".into()));
        }
        let held = self.hold(MemoryUse::WriteValues, arguments.value.map_or(0, Bytes::len));
        Ok((request, arguments.into_command(id_guard, held)))
    }

    /// Builds the decision module's view of a request of this class.
    fn build_request(
        &self,
        arguments: &RequestArguments<'_>,
        extras: &Extras<'_>,
        class: usize,
        received_at: Micros,
    ) -> Result<Request, String> {
        let tenant = self.tenant(extras);
        let wait_seconds = extras.number("d")?.ok_or("no d: how long the answer is waited for")?;
        // Bounded by the class so that a client can't keep the state of a request alive for longer.
        let deadline = self.settings.policy.classes[class].deadline;
        let time_left = ((wait_seconds * 1000.0) as Micros).min(deadline);
        Ok(Request {
            id: self.next_request.replace(self.next_request.get() + 1),
            class,
            tenant: tenant.ok_or("unknown tenant")?,
            key: self.key_hasher.hash(arguments.key),
            is_write: arguments.is_write(),
            is_retry: extras.get("r") == Some("1"),
            // The client's wait began before its command was read completely.
            time_left: time_left.saturating_sub((self.now)() - received_at),
            cost: extras.number("h")?.map(|us| us as Micros),
            size: extras.number("size")?.unwrap_or_default() as f32,
        })
    }

    /// The index of a request's tenant; `None` if it is not configured.
    fn tenant(&self, extras: &Extras<'_>) -> Option<usize> {
        let tenants = &self.settings.tenant_names;
        if tenants.is_empty() {
            return Some(0);
        }
        let name = extras.get("t")?;
        tenants.iter().position(|tenant| tenant == name)
    }
}

/// The arguments of a command.
pub(super) fn command_arguments(frame: BytesFrame) -> Option<Vec<Bytes>> {
    let BytesFrame::Array(frames) = frame else { return None };
    let argument = |f| match f {
        BytesFrame::BulkString(b) => Some(b),
        _ => None,
    };
    frames.into_iter().map(argument).collect::<Option<Vec<_>>>().filter(|arguments| !arguments.is_empty())
}

#[cfg(test)]
#[path = "../../tests/unit/client_extras.rs"]
mod tests;
