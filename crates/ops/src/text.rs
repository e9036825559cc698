//! The metrics in the Prometheus text format, version 0.0.4.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use crate::metrics::{EndCounts, Metrics};
use crate::reasons::{ByReason, Reason};
use crate::waits::WaitHistogram;

/// The prefix of all metric names.
const PREFIX: &str = "edge_router_";

type CounterOf = fn(&EndCounts) -> &AtomicU64;

const BY_CLASS: [(&str, &str, CounterOf); 3] = [
    ("served_total", "Requests answered with their value or receipt.", |e| &e.served),
    ("refused_total", "Requests turned away; trying again is harmless.", |e| &e.refused),
    ("failed_total", "Requests that failed.", |e| &e.failed),
];

impl Metrics {
    /// All metrics in the text format.
    pub fn to_text(&self) -> String {
        let mut out = String::with_capacity(1024 + 256 * self.classes.len());
        for (name, help, counter_of) in BY_CLASS {
            write_header(&mut out, name, help, "counter");
            for (class, counts) in &self.classes {
                let value = counter_of(counts).load(Relaxed);
                let _ = writeln!(out, "{PREFIX}{name}{{class=\"{}\"}} {value}", escape_label(class));
            }
        }
        let unlabelled = [
            (
                "attempts_total",
                "Attempts written to cache servers, the origin among them.",
                "counter",
                &self.attempts,
            ),
            ("in_flight", "Requests taken and not ended.", "gauge", &self.in_flight),
            (
                "cache_servers_known",
                "Cache servers in the list, without the origin.",
                "gauge",
                &self.servers_known,
            ),
            (
                "cache_servers_excluded",
                "Listed cache servers that are avoided now.",
                "gauge",
                &self.servers_excluded,
            ),
            (
                "resident_bytes",
                "Resident memory of the process, without its program and files.",
                "gauge",
                &self.resident_bytes,
            ),
            (
                "reservable_bytes",
                "Bytes that may be reserved for requests; fewer beside another process of the node.",
                "gauge",
                &self.memory.limit,
            ),
            ("origin_calls_out", "Calls out at the origin.", "gauge", &self.origin_calls_out),
            (
                "origin_calls_limit",
                "Calls that may be out at the origin now.",
                "gauge",
                &self.origin_calls_limit,
            ),
            (
                "list_calls_failed_total",
                "Calls to discovery that failed.",
                "counter",
                &self.list_calls_failed,
            ),
            (
                "client_commands_total",
                "Complete commands of clients, whatever they ask for.",
                "counter",
                &self.client_commands,
            ),
            ("client_bytes_total", "Bytes read from clients.", "counter", &self.client_bytes),
            ("connects_total", "Connections to cache servers begun.", "counter", &self.connects),
            ("connects_refused_total", "Of these, refused.", "counter", &self.connects_refused),
            (
                "unasked_answers_total",
                "Connections of cache servers that sent something nobody had asked for.",
                "counter",
                &self.unasked_answers,
            ),
            (
                "answers_doubted_total",
                "Answers of cache servers that may be repeats, and were asked for again.",
                "counter",
                &self.answers_doubted,
            ),
            ("doubts_confirmed_total", "Of these, true ones.", "counter", &self.doubts_confirmed),
            ("doubts_refuted_total", "Of these, repeats.", "counter", &self.doubts_refuted),
            (
                "answers_held_back_total",
                "Answers of cache servers that were handed on later, for they may be another command's.",
                "counter",
                &self.answers_held_back,
            ),
        ];
        for (name, help, kind, value) in unlabelled {
            write_header(&mut out, name, help, kind);
            let _ = writeln!(out, "{PREFIX}{name} {}", value.load(Relaxed));
        }
        write_by_reason(
            &mut out,
            ("connections_closed_total", "Connections of clients that ended."),
            &self.closed,
        );
        write_by_reason(
            &mut out,
            ("refusals_total", "Requests refused, by what refused them."),
            &self.refusals,
        );
        let (name, help) =
            ("further_attempts_total", "Attempts beyond a request's first, by what came before.");
        write_by_reason(&mut out, (name, help), &self.retries);
        let help = "Waits of requests, from their arrival at this machine to the decision module.";
        write_waits(&mut out, ("request_wait_seconds", help), &self.input_waits.requests);
        let help = "Waits of what servers sent, from when it was read to the decision module.";
        write_waits(&mut out, ("server_input_wait_seconds", help), &self.input_waits.servers);
        let held = "Bytes held, by what for.";
        write_by_use(&mut out, ("held_bytes", held), self.memory.current());
        let peak = "The most bytes held at one time since the start, by what for.";
        write_by_use(&mut out, ("held_peak_bytes", peak), self.memory.peak());
        let (name, help) = ("list_age_seconds", "Since discovery last answered, or since the start.");
        write_header(&mut out, name, help, "gauge");
        let _ = writeln!(out, "{PREFIX}{name} {:.1}", self.list_age_ms.load(Relaxed) as f64 / 1e3);
        out
    }
}

fn write_header(out: &mut String, name: &str, help: &str, kind: &str) {
    let _ = writeln!(out, "# HELP {PREFIX}{name} {help}\n# TYPE {PREFIX}{name} {kind}");
}

/// Writes one counter with a value for each reason.
fn write_by_reason<R: Reason>(out: &mut String, (name, help): (&str, &str), counts: &ByReason<R>) {
    write_header(out, name, help, "counter");
    for (reason, count) in counts.iter() {
        let _ = writeln!(out, "{PREFIX}{name}{{reason=\"{reason}\"}} {count}");
    }
}

/// Writes a histogram of waits.
fn write_waits(out: &mut String, (name, help): (&str, &str), waits: &WaitHistogram) {
    write_header(out, name, help, "histogram");
    let mut total = 0;
    for (bound, count) in waits.cumulative() {
        let bound = bound.map_or("+Inf".to_owned(), |bound| bound.as_secs_f64().to_string());
        let _ = writeln!(out, "{PREFIX}{name}_bucket{{le=\"{bound}\"}} {count}");
        total = count;
    }
    let _ = writeln!(out, "{PREFIX}{name}_sum {}", waits.total().as_secs_f64());
    let _ = writeln!(out, "{PREFIX}{name}_count {total}");
}

/// Writes a gauge with a value for each use of memory.
fn write_by_use(
    out: &mut String,
    (name, help): (&str, &str),
    values: impl Iterator<Item = (&'static str, u64)>,
) {
    write_header(out, name, help, "gauge");
    for (use_, bytes) in values {
        let _ = writeln!(out, "{PREFIX}{name}{{use=\"{use_}\"}} {bytes}");
    }
}

/// Escapes a label value: a backslash, a quote and an end of line would end it or change its meaning.
fn escape_label(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;
    use std::time::Duration;

    use super::*;
    use crate::{CloseReason, Gauges, HeldBytes, MemoryUse, RefuseReason, RequestEnd, RetryReason};

    #[test]
    fn every_class_is_present_from_the_start_and_each_end_counts_once() {
        let metrics = Arc::new(Metrics::new(["read", "a \"quoted\\\n\" one"]));
        let zero_counters =
            |text: &str| text.lines().filter(|l| l.contains("{class=") && l.ends_with("} 0")).count();
        assert_eq!(zero_counters(&metrics.to_text()), 6, "{}", metrics.to_text());
        for (end, times) in [(RequestEnd::Served, 3), (RequestEnd::Refused, 2), (RequestEnd::Failed, 1)] {
            (0..times).for_each(|_| metrics.request_started(0).end(end));
        }
        drop(metrics.request_started(1));
        let open = metrics.request_started(1);
        metrics.attempt_sent();
        let (origin_calls_out, origin_calls_limit, list_age) = (3, 20, Duration::from_millis(2_340));
        metrics.set_gauges(Gauges {
            servers_known: 9,
            servers_excluded: 12,
            origin_calls_out,
            origin_calls_limit,
            list_age,
        });
        metrics.list_call_failed();
        (0..4).for_each(|_| metrics.connect_started());
        (0..2).for_each(|_| metrics.connect_refused());
        (0..4).for_each(|_| metrics.unasked_answer());
        (0..3).for_each(|_| metrics.answer_doubted());
        (0..2).for_each(|_| metrics.doubt_confirmed());
        metrics.doubt_refuted();
        (0..5).for_each(|_| metrics.answer_held_back());
        metrics.closed.increment(CloseReason::Drained);
        metrics.refusals.increment(RefuseReason::Retiring);
        metrics.retries.increment(RetryReason::Miss);
        metrics.set_resident_bytes(4096);
        metrics.memory.set_limit(2048);
        metrics.client_command();
        metrics.client_bytes_read(70);
        metrics.input_waits.requests.record(Duration::from_millis(30));
        let _held = HeldBytes::new(&metrics.memory, MemoryUse::Replies, 70);
        let text = metrics.to_text();
        for line in [
            "# TYPE edge_router_served_total counter",
            "edge_router_served_total{class=\"read\"} 3",
            "edge_router_refused_total{class=\"read\"} 2",
            "edge_router_failed_total{class=\"read\"} 1",
            "edge_router_failed_total{class=\"a \\\"quoted\\\\\\n\\\" one\"} 0",
            "edge_router_attempts_total 1",
            "# TYPE edge_router_in_flight gauge",
            "edge_router_in_flight 1",
            "edge_router_cache_servers_known 9",
            "edge_router_cache_servers_excluded 9",
            "edge_router_origin_calls_out 3",
            "edge_router_origin_calls_limit 20",
            "edge_router_list_age_seconds 2.3",
            "# TYPE edge_router_list_calls_failed_total counter",
            "edge_router_list_calls_failed_total 1",
            "edge_router_connects_total 4",
            "edge_router_connects_refused_total 2",
            "edge_router_unasked_answers_total 4",
            "edge_router_answers_doubted_total 3",
            "edge_router_doubts_confirmed_total 2",
            "edge_router_doubts_refuted_total 1",
            "edge_router_answers_held_back_total 5",
            "edge_router_resident_bytes 4096",
            "edge_router_reservable_bytes 2048",
            "edge_router_client_commands_total 1",
            "edge_router_client_bytes_total 70",
            "# TYPE edge_router_request_wait_seconds histogram",
            "edge_router_request_wait_seconds_bucket{le=\"0.02\"} 0",
            "edge_router_request_wait_seconds_bucket{le=\"0.05\"} 1",
            "edge_router_request_wait_seconds_bucket{le=\"+Inf\"} 1",
            "edge_router_request_wait_seconds_sum 0.03",
            "edge_router_request_wait_seconds_count 1",
            "edge_router_server_input_wait_seconds_count 0",
            "# TYPE edge_router_held_bytes gauge",
            "edge_router_held_bytes{use=\"replies\"} 70",
            "edge_router_held_peak_bytes{use=\"server_input\"} 0",
            "# TYPE edge_router_connections_closed_total counter",
            "edge_router_connections_closed_total{reason=\"drained\"} 1",
            "edge_router_connections_closed_total{reason=\"idle\"} 0",
            "edge_router_refusals_total{reason=\"retiring\"} 1",
            "edge_router_further_attempts_total{reason=\"miss\"} 1",
        ] {
            assert!(text.lines().any(|l| l == line), "{line}\n{text}");
        }
        assert!(text.lines().all(|l| l.starts_with("# HELP edge_")
            || l.starts_with("# TYPE edge_")
            || l.starts_with("edge_")));
        drop(open);
        assert_eq!(metrics.in_flight(), 0);
    }
}
