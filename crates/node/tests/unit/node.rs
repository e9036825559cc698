//! What the node keeps of servers, and what it makes of their reports.

use std::net::SocketAddr;

use mothpier_host::SystemHost;

use super::*;

const HOST: SystemHost = SystemHost { program: "test" };

const SITE: &str = r#"{"classes":[{"name":"read"}],"machineTypes":["m","origin"],"zones":["a"],
    "specifics":{"mode":"aside","originKind":1},"report":{"fields":["lat_ms","busy"]}}"#;

#[test]
fn figures_that_no_load_can_have_are_dropped_with_their_report() {
    let site = brassrouter::settings::parse(SITE.as_bytes()).unwrap();
    assert_eq!(load(&site, "lat_ms=5,busy=0.5").values[..2], [5.0, 0.5]);
    for bad in ["lat_ms=5,busy=NaN", "lat_ms=inf,busy=0.5", "lat_ms=5,busy=-1", "busy=1e30,lat_ms=1", "x", ""]
    {
        assert_eq!(load(&site, bad), LoadReport::default(), "{bad}");
    }
}

/// A node beside no other, with what another process of it has handed on; its inputs go nowhere.
fn test_node(clock: Clock, inherited: Option<ResumedState>) -> (Node<SystemHost>, mpsc::Receiver<Input>) {
    let (events, inputs) = mpsc::channel(8);
    let limits = servers::Limits {
        node_count: 1,
        attempts_per_connection: 32,
        idle_close: Duration::from_secs(60),
        connect_timeout: Duration::from_secs(30),
        max_connections: 8,
    };
    let desk = OpsEndpoint::new(["read"]);
    let parts = Components {
        servers: Servers::new(HOST, limits, desk.metrics.clone(), events.clone()),
        origins: Origins::new(
            HOST,
            Duration::from_secs(60),
            Duration::from_secs(30),
            8,
            desk.metrics.clone(),
            events,
        ),
        peers: None,
        subscription: watch::channel(Subscription::default()).0,
        ops_endpoint: desk,
        has_ops_address: false,
        storm_monitor: None,
        locality: None,
        agreement: None,
        lifecycle_changed: Rc::default(),
        predecessor: inherited,
        supports_handover: true,
        recorder: None,
    };
    let site = brassrouter::settings::parse(SITE.as_bytes()).unwrap();
    (Node::new(HOST, site, 1, clock, parts), inputs)
}

/// Of the caps the dead have all but two parts, one of this process and one of the next, which acts on half of the caps: it
/// counts half of what it is told at the start, and all of what it is told at the end of this process.
#[test]
fn a_process_that_takes_over_is_told_of_the_part_that_belongs_to_the_dead() {
    on_runtime(async {
        let (mut node, _inputs) = test_node(Clock::start(&HOST), None);
        let limit = node.policy.inheritable_state().outstanding_limit;
        let mut told = |sharers| {
            node.input(Input::ProcessCount(sharers));
            [true, false].map(|whole| node.known(whole).remaining.inherited.origin_calls.len())
        };
        assert_eq!(told(2), [0, 0]);
        let part = |of: f64| (limit / of) as usize;
        let (quarter, more) = (part(2.0) - part(4.0), part(2.0) - part(8.0));
        assert!(quarter > 1);
        assert_eq!(told(4), [0, 0], "nobody has died");
        node.input(Input::ProcessEnded { origin_calls_end_within: Duration::from_secs(60) });
        let mut told = |sharers| {
            node.input(Input::ProcessCount(sharers));
            [true, false].map(|whole| node.known(whole).remaining.inherited.origin_calls.len())
        };
        assert_eq!(told(4), [2 * quarter, quarter]);
        assert_eq!(told(8), [2 * more, more]);
        assert_eq!(told(2), [0, 0], "their calls are over");
    });
}

/// Runs a test where connections may be opened.
fn on_runtime(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Ids are ever new: what the list no longer names must leave nothing behind, and come back as it was.
#[test]
fn servers_that_have_left_leave_nothing_behind() {
    on_runtime(async {
        let (mut node, _inputs) = test_node(Clock::start(&HOST), None);
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut told = |id: u32, kind, phase, list| {
            let member =
                format!(r#"{{"id":"s-{id}","host_port":"{address}","flavor":"{kind}","phase":"{phase}"}}"#);
            let text =
                format!(r#"{{"revision":1,"complete":{},"members":[{member}]}}"#, list == ListKind::Full);
            node.list(serde_json::from_str(&text).unwrap(), list);
            node.settle();
            (node.numbers.len(), node.origin_ids.len(), node.parts.servers.len(), node.parts.origins.len())
        };
        for id in 0..100 {
            // By a change, and by a whole list that names it no longer.
            for (kind, here) in [("m", (1, 0, 1, 0)), ("origin", (1, 1, 0, 1))] {
                assert_eq!(told(id, kind, "ready", ListKind::Delta), here);
                told(id, kind, "draining", ListKind::Delta);
                assert_eq!(told(id, kind, "gone", ListKind::Delta), (0, 0, 0, 0));
                assert_eq!(told(id, kind, "ready", ListKind::Full), here);
                assert_eq!(told(1000 + id, kind, "ready", ListKind::Full), here);
                assert_eq!(told(1000 + id, kind, "gone", ListKind::Full), (0, 0, 0, 0));
            }
        }
    });
}

#[test]
fn a_clock_goes_on_from_the_process_before_it_whatever_the_wall_clock_says() {
    const TOLD: Micros = 1_700_000_000_000_000;
    const HOUR: Micros = 3_600_000_000;
    let cases = [(TOLD, 0), (TOLD + 100_000, 100_000), (TOLD + 2_000_000, 0), (TOLD - 2_000_000, 0)];
    for (wall, passed) in cases.into_iter().chain([(TOLD + HOUR, 0), (TOLD - HOUR, 0), (0, 0)]) {
        let clock = Clock { start: Instant::now(), unix: wall }.continued_from(TOLD);
        assert_eq!(clock.unix - TOLD, passed, "a wall clock at {wall}");
    }
}

#[test]
fn starts_keep_their_times_in_the_next_process_of_a_node() {
    on_runtime(async {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let list = |first_up_since: u64, revision: u64| -> ServerList {
            let member = |id: &str, up: u64| {
                format!(
                    r#"{{"id":"{id}","host_port":"{address}","flavor":"m","phase":"ready","up_since_ms":{up}}}"#
                )
            };
            let members = [member("a", first_up_since), member("b", 0)].join(",");
            let text = format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#);
            serde_json::from_str(&text).unwrap()
        };
        let starts = |node: &Node<SystemHost>| {
            let mut lines = node.policy.listed_servers();
            lines.sort_by_key(|line| line.started_at);
            lines.iter().map(|line| line.started_at).collect::<Vec<_>>()
        };
        let (mut first, _inputs) = test_node(Clock { start: Instant::now(), unix: 50_000_000 }, None);
        first.list(list(7_000_000, 1), ListKind::Full);
        first.settle();
        // Discovery's clock has been stepped back.
        first.list(list(3_000_000, 2), ListKind::Full);
        first.settle();
        let known = first.known(true);
        let policy: Policy = postcard::from_bytes(&known.module_state).unwrap();
        let clock = Clock { start: Instant::now(), unix: 1 }.continued_from(policy.now());
        assert!(clock.now() >= policy.now());
        let inherited = ResumedState { policy: Some(policy), inherited: known.remaining.inherited.clone() };
        let (mut next, _inputs) = test_node(clock, Some(inherited));
        let told = crate::handover::decode_list(&known).unwrap();
        next.inherit_start_times(&told);
        next.list(told, ListKind::Cached);
        next.settle();
        assert_eq!(starts(&next), starts(&first));
        assert!(starts(&next)[0] == 0 && starts(&next)[1] >= 50_000_000, "{:?}", starts(&next));
    });
}
