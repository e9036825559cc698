//! One HTTP/1.1 exchange: the bytes of a request's head in, the bytes of its response out.

use httparse::{Error, Request, Status};

use mothpier_plan::ZoneOrder;

use crate::zone_status::{HOLD_PATH, RELEASE_PATH, STATUS_PATH, ZoneStatusBoard};
use crate::{LifecycleEvent, OpsEndpoint, Phase};

/// The longest request head that is read, in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The most headers in one head; clients of this endpoint send a handful.
const MAX_HEADERS: usize = 64;

/// The result of handling what has been received of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The head is incomplete.
    Incomplete,
    /// The response, after which the connection is closed, and what the node has to do.
    Answer {
        /// The bytes of the response.
        bytes: Vec<u8>,
        /// The effect on the node, if any.
        effect: Option<CallEffect>,
    },
}

/// What the node has to do because of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEffect {
    /// An operator drained or undrained the node: the event, and the phase after it.
    PhaseChanged(LifecycleEvent, Phase),
    /// An operator gave an order for a zone.
    Order(ZoneOrder),
}

/// A response before it is serialized.
struct Response {
    status: &'static str,
    content_type: &'static str,
    body: String,
    allow: Option<&'static str>,
}

impl Response {
    fn plain_text(status: &'static str, body: impl Into<String>) -> Self {
        Response { status, content_type: "text/plain; charset=utf-8", body: body.into(), allow: None }
    }

    fn serialize(self, head_only: bool) -> Vec<u8> {
        let Response { status, content_type, body, allow } = self;
        let allow = allow.map_or(String::new(), |a| format!("Allow: {a}\r\n"));
        let length = body.len();
        let mut bytes = format!(
            "HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n{allow}Cache-Control: no-store\r\nConnection: close\r\n\r\n"
        )
        .into_bytes();
        if !head_only {
            bytes.extend_from_slice(body.as_bytes());
        }
        bytes
    }
}

impl OpsEndpoint {
    /// Handles what has been received of a request, and answers it once its head is complete. A body is not waited for:
    /// none of the requests has one.
    pub fn handle_call(&self, head: &[u8]) -> CallResult {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = Request::new(&mut headers);
        let parsed = request.parse(&head[..head.len().min(MAX_HEAD_BYTES)]);
        match parsed {
            Ok(Status::Complete(_)) => {}
            Ok(Status::Partial) if head.len() < MAX_HEAD_BYTES => return CallResult::Incomplete,
            Ok(Status::Partial) | Err(Error::TooManyHeaders) => {
                let status = "431 Request Header Fields Too Large";
                return respond(Response::plain_text(status, "the head is too large\n"), false, None);
            }
            Err(e) => {
                return respond(
                    Response::plain_text("400 Bad Request", format!("no HTTP/1.1 call: {e}\n")),
                    false,
                    None,
                );
            }
        }
        let (method, target) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
        let head_only = method == "HEAD";
        let (response, effect) = self.route(method, target);
        respond(response, head_only, effect)
    }

    /// The response to a request that was not complete in time.
    pub fn timeout_response(&self) -> Vec<u8> {
        Response::plain_text("408 Request Timeout", "the head has not come\n").serialize(false)
    }

    fn route(&self, method: &str, target: &str) -> (Response, Option<CallEffect>) {
        let reads = matches!(method, "GET" | "HEAD");
        let path = path(target);
        if let Some(zone_status) =
            self.zone_status.get().filter(|_| [STATUS_PATH, HOLD_PATH, RELEASE_PATH].contains(&path))
        {
            return handle_places(zone_status, method, (path, query(target)));
        }
        match path {
            "/ready" if reads => (self.readiness(), None),
            "/metrics" if reads => {
                let content_type = "text/plain; version=0.0.4; charset=utf-8";
                (Response { content_type, ..Response::plain_text("200 OK", self.metrics.to_text()) }, None)
            }
            "/drain" if method == "PUT" => self.apply_event(LifecycleEvent::Drain),
            "/undrain" if method == "PUT" => self.apply_event(LifecycleEvent::Undrain),
            "/ready" | "/metrics" => (wrong_method("GET, HEAD"), None),
            "/drain" | "/undrain" => (wrong_method("PUT"), None),
            _ => (
                Response::plain_text("404 Not Found", "GET /ready, GET /metrics, PUT /drain, PUT /undrain\n"),
                None,
            ),
        }
    }

    fn readiness(&self) -> Response {
        match self.lifecycle.phase() {
            Phase::Serving => Response::plain_text("200 OK", "ready\n"),
            Phase::Starting => Response::plain_text("503 Service Unavailable", "no list of servers yet\n"),
            Phase::Drained => Response::plain_text("503 Service Unavailable", "drained\n"),
            Phase::Stopping => Response::plain_text("503 Service Unavailable", "stopping\n"),
        }
    }

    fn apply_event(&self, event: LifecycleEvent) -> (Response, Option<CallEffect>) {
        let (before, after) = self.lifecycle.apply(event);
        let body = match after {
            Phase::Drained => "drained\n",
            Phase::Serving => "serving\n",
            Phase::Starting => "no longer drained; no list of servers yet\n",
            // The process ends in any case, and accepts no more clients than a drained one.
            Phase::Stopping if event == LifecycleEvent::Drain => "stopping\n",
            Phase::Stopping => return (Response::plain_text("409 Conflict", "stopping\n"), None),
        };
        (
            Response::plain_text("200 OK", body),
            (before != after).then_some(CallEffect::PhaseChanged(event, after)),
        )
    }
}

fn wrong_method(allow: &'static str) -> Response {
    Response {
        allow: Some(allow),
        ..Response::plain_text("405 Method Not Allowed", format!("use {allow}\n"))
    }
}

fn respond(response: Response, head_only: bool, effect: Option<CallEffect>) -> CallResult {
    CallResult::Answer { bytes: response.serialize(head_only), effect }
}

/// Handles requests that read or order zones.
fn handle_places(
    zone_status: &ZoneStatusBoard,
    method: &str,
    (path, query): (&str, &str),
) -> (Response, Option<CallEffect>) {
    match (path, method) {
        (STATUS_PATH, "GET" | "HEAD") => {
            let json = Response {
                content_type: "application/json",
                ..Response::plain_text("200 OK", zone_status.json())
            };
            (json, None)
        }
        (STATUS_PATH, _) => (wrong_method("GET, HEAD"), None),
        (_, "PUT") => match zone_status.parse_order(path, query) {
            // The other nodes and the plan follow within a second; the published status shows when.
            Ok(order) => (
                Response::plain_text("202 Accepted", zone_status.confirmation(order)),
                Some(CallEffect::Order(order)),
            ),
            Err(error) => (Response::plain_text("400 Bad Request", format!("{error}\n")), None),
        },
        _ => (wrong_method("PUT"), None),
    }
}

/// The query of a request target, without a fragment.
fn query(target: &str) -> &str {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    query.split('#').next().unwrap_or_default()
}

/// The path of a request target, which may be an absolute URL and may have a query.
fn path(target: &str) -> &str {
    let path = target.split(['?', '#']).next().unwrap_or_default();
    match path.split_once("://") {
        Some((_, authority_and_path)) => {
            authority_and_path.find('/').map_or("/", |at| &authority_and_path[at..])
        }
        None => path,
    }
}
