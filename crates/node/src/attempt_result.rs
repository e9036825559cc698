//! How an attempt ended, for the decision module and for the request's reply.

use brassrouter::settings::DeploymentSettings;
use brassrouter::{CacheResult, LoadReport, Status};
use redis_protocol::resp2::types::BytesFrame;

use crate::command::{LargeValue, ReceivedValue, Reply};
use crate::load_report::parse_load_report;
use crate::origin::CallResult;
use crate::servers::Response;

/// First word of the error by which a cache server refuses a command that it has not run.
const BUSY: &str = "BUSY";
/// The error of a cache server that could not carry out a command.
const FAILED: &str = "ERR failed";

/// The end of an attempt or probe.
pub struct AttemptResult {
    pub status: Status,
    pub cache_result: CacheResult,
    pub load: LoadReport,
    /// The reply to the request, if the attempt was served.
    pub reply: Option<Reply>,
}

impl From<Status> for AttemptResult {
    /// Of an attempt that no response has told anything more about.
    fn from(status: Status) -> Self {
        AttemptResult { status, cache_result: CacheResult::None, load: LoadReport::default(), reply: None }
    }
}

impl AttemptResult {
    /// Of a large value that has started to arrive. It counts as served for the decision module: the transfer concerns
    /// only the server and the client.
    pub fn of_large_value(value: LargeValue) -> Self {
        AttemptResult { reply: Some(Reply::Stream(value)), ..Status::Served.into() }
    }

    /// Of a call to the origin.
    pub fn of_origin_call(result: CallResult, settings: &DeploymentSettings) -> Self {
        let load = parse_load_report(settings, &result.load);
        AttemptResult { load, reply: result.value, ..result.status.into() }
    }

    /// Of a cache server's response, as the protocol specification defines it.
    pub fn of_response(response: Response, settings: &DeploymentSettings) -> Self {
        match response.frame {
            BytesFrame::Array(parts) => {
                let mut parts = parts.into_iter();
                let reply = match parts.next() {
                    Some(BytesFrame::BulkString(bytes)) => {
                        Some(Reply::Value(ReceivedValue { bytes, memory: response.memory }))
                    }
                    _ => None,
                };
                let cache_result = parse_cache_result(parts.next());
                let load = frame_text(parts.next()).map(|report| parse_load_report(settings, &report));
                let status = if reply.is_some() { Status::Served } else { Status::Miss };
                AttemptResult { status, cache_result, load: load.unwrap_or_default(), reply }
            }
            // Only probes get this: `servers.rs` rejects it for requests.
            BytesFrame::BulkString(report) => {
                let load = parse_load_report(settings, &String::from_utf8_lossy(&report));
                AttemptResult { load, ..Status::Served.into() }
            }
            BytesFrame::Error(line) => {
                let status = if is_busy(&line) { Status::Full } else { Status::Error };
                let report = line.rsplit(' ').next().unwrap_or_default();
                AttemptResult { load: parse_load_report(settings, report), ..status.into() }
            }
            _ => Status::Error.into(),
        }
    }
}

/// The error in a cache server's response, if it is none that the protocol specification names.
pub fn unexpected_error(response: &Response) -> Option<&str> {
    let BytesFrame::Error(line) = &response.frame else { return None };
    let is_expected = is_busy(line) || line.starts_with(FAILED);
    (!is_expected).then_some(line)
}

fn is_busy(error: &str) -> bool {
    error.split(' ').next() == Some(BUSY)
}

fn parse_cache_result(part: Option<BytesFrame>) -> CacheResult {
    match frame_text(part).as_deref() {
        Some("hit") => CacheResult::Hit,
        Some("miss") => CacheResult::Miss,
        Some("pending") => CacheResult::MissBeingFetched,
        _ => CacheResult::None,
    }
}

fn frame_text(frame: Option<BytesFrame>) -> Option<String> {
    match frame {
        Some(BytesFrame::BulkString(b) | BytesFrame::SimpleString(b)) => {
            Some(String::from_utf8_lossy(&b).into_owned())
        }
        _ => None,
    }
}
