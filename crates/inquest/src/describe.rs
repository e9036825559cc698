//! Events and actions as readable lines.

use brassrouter::{Condition, Event, Micros};
use mothpier_record::entry::{Body, Entry, RecordedAction};
use mothpier_record::segment::Header;

/// A duration in milliseconds, with microsecond resolution.
pub fn milliseconds(duration: Micros) -> String {
    format!("{:.3} ms", duration as f64 / 1000.0)
}

/// A clock value as date and time, UTC.
pub fn utc_time(at: Micros) -> String {
    let (s, us) = (at / 1_000_000, at % 1_000_000);
    let (day, s) = (s / 86_400, s % 86_400);
    // Converts days to a date of the Gregorian calendar, counted from 1 March of year 0 (Hinnant's
    // algorithm).
    let shifted_days = day as i64 + 719_468;
    let era = shifted_days.div_euclid(146_097);
    let day_of_era = shifted_days.rem_euclid(146_097);
    let year_of_era = (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    format!("{year:04}-{month:02}-{day_of_month:02} {:02}:{:02}:{:02}.{us:06}", s / 3600, s / 60 % 60, s % 60)
}

/// Describes an event.
pub fn event(header: &Header, event: &Event, client_id_checksum: Option<u32>) -> String {
    match event {
        Event::Request(r) => {
            let class = header.classes.get(r.class).map_or("?", String::as_str);
            let tenant = header.tenants.get(r.tenant).map_or("-", String::as_str);
            let checksum_text =
                client_id_checksum.map_or(String::new(), |checksum| format!(", id checksum {checksum:08x}"));
            format!(
                "request {}: {}{} {class} of {tenant}, key {:016x}, {} left{checksum_text}",
                r.id,
                if r.is_retry { "retried " } else { "" },
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
            if o.request_finished { ", request finished" } else { "" }
        ),
        Event::Timer(_) => "timer".into(),
        Event::ServerList { kind, servers } => {
            let server_texts = servers.iter().map(|s| match s.condition {
                Condition::Ready => s.id.to_string(),
                Condition::Draining => format!("{} draining", s.id),
                Condition::Gone => format!("{} gone", s.id),
            });
            format!("server list ({kind:?}): {}", server_texts.collect::<Vec<_>>().join(", "))
        }
        Event::PeerMessage { from, bytes } => format!("message from node {from}, {} bytes", bytes.len()),
        Event::ClientGone(request) => format!("request {request}: its client has disconnected"),
        Event::ResponseStarted { request, attempt } => {
            format!("request {request}: the response of attempt {attempt} has started")
        }
        Event::Probed { server, succeeded, duration, .. } => {
            format!(
                "probe of server {server} {} after {}",
                if *succeeded { "succeeded" } else { "failed" },
                milliseconds(*duration)
            )
        }
        Event::Storm(on) => if *on { "a storm begins" } else { "the storm is over" }.into(),
        Event::ZoneRouting(None) => "no zone routing".into(),
        Event::ZoneRouting(Some(routing)) => {
            format!(
                "zones in rings {:?}, {:.2} and {:.2} of the keys stay within them",
                routing.zone_rings, routing.cumulative_key_shares[0], routing.cumulative_key_shares[1]
            )
        }
        Event::OriginAllowance(None) => "no origin allowance: the settings apply".into(),
        Event::OriginAllowance(Some(allowance)) => format!(
            "origin allowance: {} outstanding calls, {} more calls ({} of them reserved for writes) until {}",
            allowance.outstanding,
            allowance.calls_left,
            allowance.reserved_for_writes,
            milliseconds(allowance.expires_at)
        ),
        Event::ProcessCount(processes) => format!("the node has {processes} processes now"),
        Event::Inherited(inherited) => format!(
            "inherited from the previous incarnation: {} origin calls, {} keyed writes",
            inherited.origin_calls.len(),
            inherited.keyed_writes.len()
        ),
    }
}

/// Describes an action.
pub fn action(action: &RecordedAction) -> String {
    match action {
        RecordedAction::Send { request, server, .. } => format!("send {request} to server {server}"),
        RecordedAction::Refuse { request, retry_after } => {
            format!("refuse {request}, come back after {}", milliseconds(*retry_after))
        }
        RecordedAction::Fail(request) => format!("fail {request}"),
        RecordedAction::Cancel { request, attempt } => format!("cancel attempt {attempt} of {request}"),
        RecordedAction::Timer { after, .. } => format!("timer in {}", milliseconds(*after)),
        RecordedAction::Subscribe(on) => if *on { "subscribe" } else { "unsubscribe" }.into(),
        RecordedAction::FetchList => "fetch the server list".into(),
        RecordedAction::Probe(server) => format!("probe server {server}"),
        RecordedAction::CloseIdle(server) => format!("close idle connections to server {server}"),
        RecordedAction::SendToPeers { to: Some(to), .. } => format!("send to node {to}"),
        RecordedAction::SendToPeers { to: None, .. } => "send to all nodes".into(),
        RecordedAction::Log(checksum) => format!("log ({checksum:08x})"),
        RecordedAction::Fault(checksum) => format!("fault ({checksum:08x})"),
    }
}

/// Describes an entry in one line, without its time.
pub fn entry(header: &Header, entry: &Entry) -> String {
    match &entry.body {
        Body::State(bytes) => format!("module state, {} bytes", bytes.len()),
        Body::Gap { events } => format!("GAP: {events} events are missing"),
        Body::End => "the node shuts down in order".into(),
        Body::Event { event: recorded_event, client_id_checksum, actions } => {
            let actions: Vec<_> = actions.iter().map(action).collect();
            let event_text = event(header, recorded_event, *client_id_checksum);
            if actions.is_empty() { event_text } else { format!("{event_text} -> {}", actions.join("; ")) }
        }
    }
}
