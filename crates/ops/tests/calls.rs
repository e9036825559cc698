//! Requests to the operations endpoint: valid, malformed, incomplete and too large.

use mothpier_ops::{
    CallEffect, CallResult, LifecycleEvent, MAX_HEAD_BYTES, OpsEndpoint, Phase, ZoneStatusBoard,
};
use mothpier_plan::{OrderKind, ZoneOrder};

fn response_to(endpoint: &OpsEndpoint, call: &[u8]) -> (String, Option<CallEffect>) {
    match endpoint.handle_call(call) {
        CallResult::Incomplete => ("incomplete".into(), None),
        CallResult::Answer { bytes, effect } => (String::from_utf8(bytes).unwrap(), effect),
    }
}

fn status(endpoint: &OpsEndpoint, line: &str) -> String {
    let (answer, _) = response_to(endpoint, format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

#[test]
fn responses_follow_the_lifecycle() {
    let endpoint = OpsEndpoint::new(["read"]);
    assert_eq!(status(&endpoint, "GET /ready"), "503");
    assert_eq!(status(&endpoint, "GET /metrics"), "200", "metrics are served before the node is ready");
    endpoint.lifecycle.apply(LifecycleEvent::Ready);
    assert_eq!(status(&endpoint, "GET /ready"), "200");
    let put = |path: &str| {
        response_to(&endpoint, format!("PUT {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n").as_bytes())
    };
    assert_eq!(put("/drain").1, Some(CallEffect::PhaseChanged(LifecycleEvent::Drain, Phase::Drained)));
    assert_eq!(put("/drain").1, None, "drained already");
    assert!(put("/drain").0.starts_with("HTTP/1.1 200 OK\r\n"));
    assert_eq!(status(&endpoint, "GET /ready"), "503");
    assert_eq!(put("/undrain").1, Some(CallEffect::PhaseChanged(LifecycleEvent::Undrain, Phase::Serving)));
    assert_eq!(put("/undrain").1, None);
    assert_eq!(status(&endpoint, "GET /ready"), "200");
    endpoint.lifecycle.apply(LifecycleEvent::Stop);
    assert_eq!(status(&endpoint, "GET /ready"), "503");
    assert_eq!(status(&endpoint, "PUT /undrain"), "409", "a stopping node can't be undrained");
    assert_eq!(status(&endpoint, "PUT /drain"), "200");
}

#[test]
fn invalid_requests_get_the_http_status_for_them() {
    let endpoint = OpsEndpoint::new(["read"]);
    endpoint.lifecycle.apply(LifecycleEvent::Ready);
    for (line, wanted) in [
        ("GET /", "404"),
        ("GET /drain/", "404"),
        ("GET /drain", "405"),
        ("POST /undrain", "405"),
        ("DELETE /metrics", "405"),
        ("PUT /ready", "405"),
        ("GET /ready?full=1", "200"),
        ("GET http://127.0.0.1:9901/metrics", "200"),
        ("GET http://127.0.0.1:9901", "404"),
    ] {
        assert_eq!(status(&endpoint, line), wanted, "{line}");
    }
    assert!(response_to(&endpoint, b"GET /drain HTTP/1.1\r\n\r\n").0.contains("\r\nAllow: PUT\r\n"));
    assert_eq!(endpoint.lifecycle.phase(), Phase::Serving, "a GET has drained the node");
    let (head, _) = response_to(&endpoint, b"HEAD /metrics HTTP/1.1\r\n\r\n");
    let (whole, _) = response_to(&endpoint, b"GET /metrics HTTP/1.1\r\n\r\n");
    assert!(head.ends_with("\r\n\r\n") && whole.starts_with(&head), "HEAD: the same head, no body");
    let body = whole.split_once("\r\n\r\n").unwrap().1;
    assert!(whole.contains(&format!("Content-Length: {}\r\n", body.len())));
    assert!(whole.contains("Connection: close\r\n") && whole.contains("version=0.0.4"));
}

#[test]
fn incomplete_heads_wait_and_malformed_or_large_ones_are_rejected() {
    let endpoint = OpsEndpoint::new(["read"]);
    let call = b"PUT /drain HTTP/1.1\r\nHost: x\r\n\r\n";
    for cut in 0..call.len() {
        assert_eq!(response_to(&endpoint, &call[..cut]), ("incomplete".into(), None), "{cut}");
    }
    assert_eq!(endpoint.lifecycle.phase(), Phase::Starting, "an incomplete request has drained the node");
    for bad in [&b"\x16\x03\x01\x02\x00\x01"[..], b"PING\r\n\r\n", b"GET /ready HTTP/1.1\r\nno colon\r\n\r\n"]
    {
        assert!(response_to(&endpoint, bad).0.starts_with("HTTP/1.1 400 "), "{bad:?}");
    }
    let long = [b"GET /ready HTTP/1.1\r\nX: ".to_vec(), vec![b'x'; MAX_HEAD_BYTES]].concat();
    assert!(response_to(&endpoint, &long).0.starts_with("HTTP/1.1 431 "));
    let many = format!("GET /ready HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(100));
    assert!(response_to(&endpoint, many.as_bytes()).0.starts_with("HTTP/1.1 431 "));
    assert!(endpoint.timeout_response().starts_with(b"HTTP/1.1 408 "));
}

#[test]
fn zone_orders_need_a_status_board_and_a_duration() {
    let endpoint = OpsEndpoint::new(["read"]);
    assert_eq!(status(&endpoint, "GET /places"), "404", "there is no endpoint where places are off");
    assert_eq!(status(&endpoint, "PUT /places/hold?zone=a&how=out&for_s=60"), "404");
    let zones = || ["a", "b c"].map(String::from).to_vec();
    endpoint.zone_status.set(ZoneStatusBoard::new(zones(), true)).unwrap();
    let put = |target: &str| response_to(&endpoint, format!("PUT {target} HTTP/1.1\r\n\r\n").as_bytes());
    let order = |zone, kind, duration_ms| Some(CallEffect::Order(ZoneOrder { zone, kind, duration_ms }));
    let (response, effect) = put("/places/hold?zone=b%20c&how=drain&for_s=60");
    assert_eq!(effect, order(1, OrderKind::Drain, 60_000));
    assert!(
        response.starts_with("HTTP/1.1 202 ") && response.ends_with("\r\nb c drain for 60 s\n"),
        "{response}"
    );
    assert_eq!(put("/places/release?zone=a").1, order(0, OrderKind::Released, 0));
    for (target, error) in [
        ("/places/hold?zone=x&how=out&for_s=60", "zone: there is no \"x\"; there are a, b c"),
        ("/places/hold?zone=a&how=off&for_s=60", "how: \"off\" is none of in, out, drain"),
        ("/places/hold?zone=a&how=out&for_s=0", "for_s: \"0\" is not between 1 and 64800"),
        ("/places/hold?zone=a&how=out&for_s=64801", "for_s: \"64801\" is not between 1 and 64800"),
        ("/places/hold?zone=a&how=out", "for_s: is missing: an order needs an end"),
        ("/places/hold?how=out&for_s=60", "zone: is missing"),
        ("/places/hold?zone=a&for_s=60", "how: is missing"),
        ("/places/release?zone=a&how=out", "how: no such key; zone, how and for_s are"),
        ("/places/hold", "zone: is missing"),
    ] {
        let (response, effect) = put(target);
        assert!(
            response.starts_with("HTTP/1.1 400 ") && response.ends_with(&format!("\r\n{error}\n")),
            "{response}"
        );
        assert_eq!(effect, None, "{target}");
    }
    for (line, wanted) in [("GET /places/hold", "405"), ("PUT /places", "405"), ("GET /places", "200")] {
        assert_eq!(status(&endpoint, line), wanted, "{line}");
    }
    endpoint.zone_status.get().unwrap().publish("{}".into(), vec![false, true]);
    assert!(response_to(&endpoint, b"GET /places HTTP/1.1\r\n\r\n").0.ends_with("\r\n\r\n{}"));
    let (response, effect) = put("/places/hold?zone=a&how=out&for_s=60");
    assert!(response.contains("none would be left") && effect.is_none(), "{response}");
    let alone = OpsEndpoint::new(["read"]);
    alone.zone_status.set(ZoneStatusBoard::new(zones(), false)).unwrap();
    let (response, effect) =
        response_to(&alone, b"PUT /places/hold?zone=a&how=out&for_s=60 HTTP/1.1\r\n\r\n");
    assert!(response.starts_with("HTTP/1.1 400 ") && effect.is_none(), "orders need nodes that agree");
}
