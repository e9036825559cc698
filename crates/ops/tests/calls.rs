//! Calls as an HTTP client makes them, and as none should.

use mothpier_ops::{
    CallEffect, CallResult, LifecycleEvent, MAX_HEAD_BYTES, OpsEndpoint, Phase, ZoneStatusBoard,
};
use mothpier_plan::{OrderKind, ZoneOrder};

fn said(desk: &OpsEndpoint, call: &[u8]) -> (String, Option<CallEffect>) {
    match desk.handle_call(call) {
        CallResult::Unfinished => ("unfinished".into(), None),
        CallResult::Answer { bytes, effect: follows } => (String::from_utf8(bytes).unwrap(), follows),
    }
}

fn status(desk: &OpsEndpoint, line: &str) -> String {
    let (answer, _) = said(desk, format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

#[test]
fn the_calls_answer_by_the_state_of_the_node() {
    let desk = OpsEndpoint::new(["read"]);
    assert_eq!(status(&desk, "GET /ready"), "503");
    assert_eq!(status(&desk, "GET /metrics"), "200", "figures are there before the node serves");
    desk.lifecycle.apply(LifecycleEvent::Ready);
    assert_eq!(status(&desk, "GET /ready"), "200");
    let put =
        |path: &str| said(&desk, format!("PUT {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n").as_bytes());
    assert_eq!(put("/drain").1, Some(CallEffect::PhaseChanged(LifecycleEvent::Drain, Phase::Drained)));
    assert_eq!(put("/drain").1, None, "drained already");
    assert!(put("/drain").0.starts_with("HTTP/1.1 200 OK\r\n"));
    assert_eq!(status(&desk, "GET /ready"), "503");
    assert_eq!(put("/undrain").1, Some(CallEffect::PhaseChanged(LifecycleEvent::Undrain, Phase::Serving)));
    assert_eq!(put("/undrain").1, None);
    assert_eq!(status(&desk, "GET /ready"), "200");
    desk.lifecycle.apply(LifecycleEvent::Stop);
    assert_eq!(status(&desk, "GET /ready"), "503");
    assert_eq!(status(&desk, "PUT /undrain"), "409", "nothing brings back a node that ends");
    assert_eq!(status(&desk, "PUT /drain"), "200");
}

#[test]
fn wrong_calls_get_the_answers_of_http() {
    let desk = OpsEndpoint::new(["read"]);
    desk.lifecycle.apply(LifecycleEvent::Ready);
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
        assert_eq!(status(&desk, line), wanted, "{line}");
    }
    assert!(said(&desk, b"GET /drain HTTP/1.1\r\n\r\n").0.contains("\r\nAllow: PUT\r\n"));
    assert_eq!(desk.lifecycle.phase(), Phase::Serving, "a GET has drained the node");
    let (head, _) = said(&desk, b"HEAD /metrics HTTP/1.1\r\n\r\n");
    let (whole, _) = said(&desk, b"GET /metrics HTTP/1.1\r\n\r\n");
    assert!(head.ends_with("\r\n\r\n") && whole.starts_with(&head), "HEAD: the same head, no body");
    let body = whole.split_once("\r\n\r\n").unwrap().1;
    assert!(whole.contains(&format!("Content-Length: {}\r\n", body.len())));
    assert!(whole.contains("Connection: close\r\n") && whole.contains("version=0.0.4"));
}

#[test]
fn heads_are_waited_for_refused_or_cut_but_never_guessed() {
    let desk = OpsEndpoint::new(["read"]);
    let call = b"PUT /drain HTTP/1.1\r\nHost: x\r\n\r\n";
    for cut in 0..call.len() {
        assert_eq!(said(&desk, &call[..cut]), ("unfinished".into(), None), "{cut}");
    }
    assert_eq!(desk.lifecycle.phase(), Phase::Starting, "half a call has drained the node");
    for bad in [&b"\x16\x03\x01\x02\x00\x01"[..], b"PING\r\n\r\n", b"GET /ready HTTP/1.1\r\nno colon\r\n\r\n"]
    {
        assert!(said(&desk, bad).0.starts_with("HTTP/1.1 400 "), "{bad:?}");
    }
    let long = [b"GET /ready HTTP/1.1\r\nX: ".to_vec(), vec![b'x'; MAX_HEAD_BYTES]].concat();
    assert!(said(&desk, &long).0.starts_with("HTTP/1.1 431 "));
    let many = format!("GET /ready HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(100));
    assert!(said(&desk, many.as_bytes()).0.starts_with("HTTP/1.1 431 "));
    assert!(desk.timeout_response().starts_with(b"HTTP/1.1 408 "));
}

#[test]
fn zones_are_read_and_ordered_only_where_there_is_a_board_and_with_an_end() {
    let desk = OpsEndpoint::new(["read"]);
    assert_eq!(status(&desk, "GET /places"), "404", "switched off, there is nothing of it");
    assert_eq!(status(&desk, "PUT /places/hold?zone=a&how=out&for_s=60"), "404");
    let zones = || ["a", "b c"].map(String::from).to_vec();
    desk.zone_status.set(ZoneStatusBoard::new(zones(), true)).unwrap();
    let put = |target: &str| said(&desk, format!("PUT {target} HTTP/1.1\r\n\r\n").as_bytes());
    let order = |zone, how, span| Some(CallEffect::Order(ZoneOrder { zone, kind: how, duration_ms: span }));
    let (told, follows) = put("/places/hold?zone=b%20c&how=drain&for_s=60");
    assert_eq!(follows, order(1, OrderKind::Drain, 60_000));
    assert!(told.starts_with("HTTP/1.1 202 ") && told.ends_with("\r\nb c drain for 60 s\n"), "{told}");
    assert_eq!(put("/places/release?zone=a").1, order(0, OrderKind::Released, 0));
    for (target, why) in [
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
        let (told, follows) = put(target);
        assert!(told.starts_with("HTTP/1.1 400 ") && told.ends_with(&format!("\r\n{why}\n")), "{told}");
        assert_eq!(follows, None, "{target}");
    }
    for (line, wanted) in [("GET /places/hold", "405"), ("PUT /places", "405"), ("GET /places", "200")] {
        assert_eq!(status(&desk, line), wanted, "{line}");
    }
    desk.zone_status.get().unwrap().publish("{}".into(), vec![false, true]);
    assert!(said(&desk, b"GET /places HTTP/1.1\r\n\r\n").0.ends_with("\r\n\r\n{}"));
    let (told, follows) = put("/places/hold?zone=a&how=out&for_s=60");
    assert!(told.contains("none would be left") && follows.is_none(), "{told}");
    let alone = OpsEndpoint::new(["read"]);
    alone.zone_status.set(ZoneStatusBoard::new(zones(), false)).unwrap();
    let (told, follows) = said(&alone, b"PUT /places/hold?zone=a&how=out&for_s=60 HTTP/1.1\r\n\r\n");
    assert!(told.starts_with("HTTP/1.1 400 ") && follows.is_none(), "nodes that do not agree hold nothing");
}
