//! Events and actions as lines for a person.

use brassrouter::{Condition, Event, Micros};
use mothpier_record::entry::{Body, Entry, RecordedAction};
use mothpier_record::segment::Header;

/// A span in milliseconds, to the microsecond.
pub fn milliseconds(span: Micros) -> String {
    format!("{:.3} ms", span as f64 / 1000.0)
}

/// A clock value as the time of day, UTC.
pub fn utc_time(at: Micros) -> String {
    let (s, us) = (at / 1_000_000, at % 1_000_000);
    let (day, s) = (s / 86_400, s % 86_400);
    // Days to a date of the Gregorian calendar, counted from 1 March of year 0 (Hinnant's algorithm).
    let z = day as i64 + 719_468;
    let era = z.div_euclid(146_097);
    let of_era = z.rem_euclid(146_097);
    let year_of_era = (of_era - of_era / 1460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month = (5 * of_year + 2) / 153;
    let date = of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    format!("{year:04}-{month:02}-{date:02} {:02}:{:02}:{:02}.{us:06}", s / 3600, s / 60 % 60, s % 60)
}

/// An event in words.
pub fn event(header: &Header, event: &Event, reference: Option<u32>) -> String {
    match event {
        Event::Request(r) => {
            let class = header.classes.get(r.class).map_or("?", String::as_str);
            let tenant = header.tenants.get(r.tenant).map_or("-", String::as_str);
            let reference = reference.map_or(String::new(), |r| format!(", id sum {r:08x}"));
            format!(
                "request {}: {}{} {class} of {tenant}, key {:016x}, {} left{reference}",
                r.id,
                if r.is_retry { "repeated " } else { "" },
                if r.is_write { "write" } else { "read" },
                r.key,
                milliseconds(r.time_left)
            )
        }
        Event::Outcome(o) => format!(
            "request {}: attempt {} at server {}: {:?}{} after {}{}",
            o.request,
            o.attempt,
            o.server,
            o.status,
            if o.status.proves_not_run() { " (did not run)" } else { "" },
            milliseconds(o.duration),
            if o.request_finished { ", over" } else { "" }
        ),
        Event::Timer(_) => "timer".into(),
        Event::ServerList { kind, servers } => {
            let told = servers.iter().map(|s| match s.condition {
                Condition::Ready => s.id.to_string(),
                Condition::Draining => format!("{} draining", s.id),
                Condition::Gone => format!("{} gone", s.id),
            });
            format!("list, {kind:?}: {}", told.collect::<Vec<_>>().join(", "))
        }
        Event::PeerMessage { from, bytes } => format!("message of node {from}, {} bytes", bytes.len()),
        Event::ClientGone(request) => format!("request {request}: its client has left"),
        Event::ResponseStarted { request, attempt } => {
            format!("request {request}: attempt {attempt} begins to answer")
        }
        Event::Probed { server, succeeded: ok, duration: took, .. } => {
            format!(
                "probe of server {server}: {} after {}",
                if *ok { "well" } else { "not well" },
                milliseconds(*took)
            )
        }
        Event::Storm(on) => if *on { "a storm begins" } else { "the storm is over" }.into(),
        Event::ZoneRouting(None) => "all zones are near".into(),
        Event::ZoneRouting(Some(pool)) => {
            format!(
                "zones lie in rings {:?}, {:.2} and {:.2} of the keys stay near",
                pool.zone_rings, pool.cumulative_key_shares[0], pool.cumulative_key_shares[1]
            )
        }
        Event::OriginAllowance(None) => "the origin is called as settings say".into(),
        Event::OriginAllowance(Some(allowance)) => format!(
            "at the origin {} calls may be out, {} may be begun ({} of them writes) until {}",
            allowance.outstanding,
            allowance.calls_left,
            allowance.reserved_for_writes,
            milliseconds(allowance.expires_at)
        ),
        Event::ProcessCount(processes) => format!("{processes} processes are this node now"),
        Event::Inherited(left) => format!(
            "left by an earlier life: {} calls at the origin, {} keyed writes",
            left.origin_calls.len(),
            left.keyed_writes.len()
        ),
    }
}

/// An action in words.
pub fn action(action: &RecordedAction) -> String {
    match action {
        RecordedAction::Send { request, server, .. } => format!("send {request} to server {server}"),
        RecordedAction::Refuse { request, retry_after } => {
            format!("refuse {request}, come back after {}", milliseconds(*retry_after))
        }
        RecordedAction::Fail(request) => format!("fail {request}"),
        RecordedAction::Cancel { request, attempt } => format!("call off attempt {attempt} of {request}"),
        RecordedAction::Timer { after, .. } => format!("timer in {}", milliseconds(*after)),
        RecordedAction::Subscribe(on) => if *on { "subscribe" } else { "unsubscribe" }.into(),
        RecordedAction::FetchList => "ask for the list".into(),
        RecordedAction::Probe(server) => format!("probe server {server}"),
        RecordedAction::CloseIdle(server) => format!("close idle connections to server {server}"),
        RecordedAction::SendToPeers { to: Some(to), .. } => format!("tell node {to}"),
        RecordedAction::SendToPeers { to: None, .. } => "tell all nodes".into(),
        RecordedAction::Log(sum) => format!("log ({sum:08x})"),
        RecordedAction::Fault(sum) => format!("fault ({sum:08x})"),
    }
}

/// An entry as one line, without its time.
pub fn entry(header: &Header, entry: &Entry) -> String {
    match &entry.body {
        Body::State(bytes) => format!("state of the module, {} bytes", bytes.len()),
        Body::Gap { events } => format!("GAP: {events} events are missing"),
        Body::End => "the node ends in order".into(),
        Body::Event { event: told, reference, actions } => {
            let actions: Vec<_> = actions.iter().map(action).collect();
            let told = event(header, told, *reference);
            if actions.is_empty() { told } else { format!("{told} -> {}", actions.join("; ")) }
        }
    }
}
