//! One call over HTTP/1.1: the bytes of its head in, the bytes of its answer out.

use httparse::{Error, Request, Status};

use mothpier_plan::ZoneOrder;

use crate::board::{HOLD, PLACES, RELEASE, ZoneStatusBoard};
use crate::{LifecycleEvent, OpsEndpoint, Phase};

/// The longest head that is read.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Headers of one head; callers of ours send a handful.
const MAX_HEADERS: usize = 64;

/// What has come of a call.
#[derive(Debug, PartialEq, Eq)]
pub enum CallResult {
    /// Its head has not all come.
    Unfinished,
    /// Its answer, behind which the connection is closed, and what the node does about it.
    Answer {
        /// The bytes.
        bytes: Vec<u8>,
        /// What follows from it, if anything.
        effect: Option<CallEffect>,
    },
}

/// What follows from a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEffect {
    /// The node was told to drain or undrain, and is this now.
    PhaseChanged(LifecycleEvent, Phase),
    /// Staff have ordered something of a zone.
    Order(ZoneOrder),
}

/// An answer before it is bytes.
struct Answer {
    status: &'static str,
    kind: &'static str,
    body: String,
    allow: Option<&'static str>,
}

impl Answer {
    fn plain(status: &'static str, body: impl Into<String>) -> Self {
        Answer { status, kind: "text/plain; charset=utf-8", body: body.into(), allow: None }
    }

    fn bytes(self, without_body: bool) -> Vec<u8> {
        let Answer { status, kind, body, allow } = self;
        let allow = allow.map_or(String::new(), |a| format!("Allow: {a}\r\n"));
        let length = body.len();
        let mut bytes = format!(
            "HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\n{allow}Cache-Control: no-store\r\nConnection: close\r\n\r\n"
        )
        .into_bytes();
        if !without_body {
            bytes.extend_from_slice(body.as_bytes());
        }
        bytes
    }
}

impl OpsEndpoint {
    /// Takes what has come of a call and answers it once its head is whole. A body is not waited for: none of the
    /// calls has one.
    pub fn handle_call(&self, head: &[u8]) -> CallResult {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = Request::new(&mut headers);
        let parsed = request.parse(&head[..head.len().min(MAX_HEAD_BYTES)]);
        match parsed {
            Ok(Status::Complete(_)) => {}
            Ok(Status::Partial) if head.len() < MAX_HEAD_BYTES => return CallResult::Unfinished,
            Ok(Status::Partial) | Err(Error::TooManyHeaders) => {
                let status = "431 Request Header Fields Too Large";
                return answer(Answer::plain(status, "the head is too large\n"), false, None);
            }
            Err(e) => {
                return answer(
                    Answer::plain("400 Bad Request", format!("no HTTP/1.1 call: {e}\n")),
                    false,
                    None,
                );
            }
        }
        let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
        let head_only = method == "HEAD";
        let (told, follows) = self.route(method, target);
        answer(told, head_only, follows)
    }

    /// A call that did not come whole in time.
    pub fn timeout_response(&self) -> Vec<u8> {
        Answer::plain("408 Request Timeout", "the head has not come\n").bytes(false)
    }

    fn route(&self, method: &str, target: &str) -> (Answer, Option<CallEffect>) {
        let reads = matches!(method, "GET" | "HEAD");
        let path = path(target);
        if let Some(board) = self.zone_status.get().filter(|_| [PLACES, HOLD, RELEASE].contains(&path)) {
            return places(board, method, (path, query(target)));
        }
        match path {
            "/ready" if reads => (self.ready(), None),
            "/metrics" if reads => {
                let kind = "text/plain; version=0.0.4; charset=utf-8";
                (Answer { kind, ..Answer::plain("200 OK", self.metrics.to_text()) }, None)
            }
            "/drain" if method == "PUT" => self.told(LifecycleEvent::Drain),
            "/undrain" if method == "PUT" => self.told(LifecycleEvent::Undrain),
            "/ready" | "/metrics" => (wrong_method("GET, HEAD"), None),
            "/drain" | "/undrain" => (wrong_method("PUT"), None),
            _ => {
                (Answer::plain("404 Not Found", "GET /ready, GET /metrics, PUT /drain, PUT /undrain\n"), None)
            }
        }
    }

    fn ready(&self) -> Answer {
        match self.lifecycle.phase() {
            Phase::Serving => Answer::plain("200 OK", "ready\n"),
            Phase::Starting => Answer::plain("503 Service Unavailable", "no list of servers yet\n"),
            Phase::Drained => Answer::plain("503 Service Unavailable", "drained\n"),
            Phase::Stopping => Answer::plain("503 Service Unavailable", "stopping\n"),
        }
    }

    fn told(&self, step: LifecycleEvent) -> (Answer, Option<CallEffect>) {
        let (was, is) = self.lifecycle.apply(step);
        let body = match is {
            Phase::Drained => "drained\n",
            Phase::Serving => "serving\n",
            Phase::Starting => "no longer drained; no list of servers yet\n",
            // It goes in any case, and what drains takes nothing new either.
            Phase::Stopping if step == LifecycleEvent::Drain => "stopping\n",
            Phase::Stopping => return (Answer::plain("409 Conflict", "stopping\n"), None),
        };
        (Answer::plain("200 OK", body), (was != is).then_some(CallEffect::PhaseChanged(step, is)))
    }
}

fn wrong_method(allow: &'static str) -> Answer {
    Answer { allow: Some(allow), ..Answer::plain("405 Method Not Allowed", format!("use {allow}\n")) }
}

fn answer(answer: Answer, head_only: bool, follows: Option<CallEffect>) -> CallResult {
    CallResult::Answer { bytes: answer.bytes(head_only), effect: follows }
}

/// Reads and orders of zones.
fn places(
    board: &ZoneStatusBoard,
    method: &str,
    (path, query): (&str, &str),
) -> (Answer, Option<CallEffect>) {
    match (path, method) {
        (PLACES, "GET" | "HEAD") => {
            let json = Answer { kind: "application/json", ..Answer::plain("200 OK", board.text()) };
            (json, None)
        }
        (PLACES, _) => (wrong_method("GET, HEAD"), None),
        (_, "PUT") => match board.wish(path, query) {
            // The other nodes and the plan follow within a second; the board tells when.
            Ok(wish) => (Answer::plain("202 Accepted", board.say(wish)), Some(CallEffect::Order(wish))),
            Err(why) => (Answer::plain("400 Bad Request", format!("{why}\n")), None),
        },
        _ => (wrong_method("PUT"), None),
    }
}

/// What stands behind a target's path.
fn query(target: &str) -> &str {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    query.split('#').next().unwrap_or_default()
}

/// The path of a target, which may come as a whole URL and with a query.
fn path(target: &str) -> &str {
    let path = target.split(['?', '#']).next().unwrap_or_default();
    match path.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => path,
    }
}
