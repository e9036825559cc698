//! A cache server sends duplicate responses, milliseconds late, while many clients ask concurrently: no client may get
//! the value of another key. On real sockets, with the daemon as a process.
//!
//! Each test is a run of a fixed length. These environment variables change it:
//!
//! | variable | default | what it sets |
//! | --- | --- | --- |
//! | `SECOND_ANSWERS_SECONDS` | 2 | the length of a run |
//! | `SECOND_ANSWERS_SEED` | 1 | the seed of what clients ask and the server does |
//! | `SECOND_ANSWERS_SHARE` | 0.3 | the share of commands with a duplicate response |
//! | `SECOND_ANSWERS_CLIENTS` | 16 | the number of clients |
//! | `SECOND_ANSWERS_LATEST_MS` | 30 | the maximum delay of a duplicate after the first response |
//! | `SECOND_ANSWERS_TRACE` | | a folder, to which each test writes a trace of each connection |
//!
//! `SECOND_ANSWERS_SECONDS=20 cargo test -p mothpier --test second_answers -- --nocapture` prints the counts
//! of each run, and the cause of each wrong value.
#![allow(missing_docs)]

mod duplicating_server;
mod harness;

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use duplicating_server::trace::{Counts, Wrong};
use duplicating_server::{Behaviour, DuplicatingServer, MISSING, SAME, SeededRandom, UNIQUE, value_of};
use harness::*;

/// The key that all clients ask for repeatedly.
const HOT_KEY: &str = "often";
/// Requests within this time from the start are not counted in attempts per request.
const WARM_UP: Duration = Duration::from_secs(1);
/// Maximum attempts per request at the cache server where there are no duplicate responses.
const MAX_ATTEMPTS_PER_REQUEST: f64 = 1.02;
/// Maximum time of a first response, long enough for commands to overlap.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(6);
/// With so many nodes, a node makes few connections to a cache server and pipelines commands.
const MANY_NODES: (&str, &str) = (r#""balancers":1,"#, r#""balancers":8,"#);
/// A quota that is never reached.
const NO_QUOTA: (&str, &str) = (r#""quotaPerS":1000"#, r#""quotaPerS":100000000"#);

/// Parameters of a run: what clients ask, and what the cache server does.
struct Run {
    name: &'static str,
    seconds: u64,
    clients: usize,
    seed: u64,
    duplicated_share: f64,
    max_duplicate_delay: Duration,
    /// Share of the requests for keys that have the same value.
    same: f64,
    /// Share of the requests for keys that the cache server does not have.
    missing: f64,
    /// Share of the requests for the one key that all clients ask for.
    hot: f64,
    few_connections: bool,
}

impl Run {
    /// A run in which every key is new and has its own value.
    fn new(name: &'static str) -> Self {
        Run {
            name,
            seconds: from_environment("SECONDS", 2),
            clients: from_environment("CLIENTS", 16),
            seed: from_environment("SEED", 1),
            duplicated_share: from_environment("SHARE", 0.3),
            max_duplicate_delay: Duration::from_millis(from_environment("LATEST_MS", 30)),
            same: 0.0,
            missing: 0.0,
            hot: 0.0,
            few_connections: false,
        }
    }

    /// The key of a client's next request.
    fn key(&self, client: usize, number: usize, random: &mut SeededRandom) -> String {
        let drawn = random.next();
        let kind = match drawn {
            _ if drawn < self.hot => return HOT_KEY.to_owned(),
            _ if drawn < self.hot + self.same => SAME,
            _ if drawn < self.hot + self.same + self.missing => MISSING,
            _ => UNIQUE,
        };
        format!("{kind}-{client}-{number}")
    }
}

/// A parameter of a run that an environment variable may set.
fn from_environment<T: FromStr>(name: &str, default: T) -> T {
    match std::env::var(format!("SECOND_ANSWERS_{name}")) {
        Ok(text) => text.parse().unwrap_or_else(|_| panic!("SECOND_ANSWERS_{name} is {text:?}")),
        Err(_) => default,
    }
}

/// Makes the tests of this file run one at a time: each has as many clients as the processor can handle.
fn run_alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The outcomes of the requests of one client, or of all.
#[derive(Default)]
struct Outcomes {
    requests: usize,
    right: usize,
    /// Right values of keys that the cache server does not have.
    fetched: usize,
    wrong: Vec<Wrong>,
    refused: usize,
    failed: usize,
    /// The ids of requests that were sent after the warm-up.
    after_warm_up: Vec<String>,
    slowest: Duration,
}

impl Outcomes {
    fn count(&mut self, key: &str, answer: &str) {
        self.requests += 1;
        match answer.strip_prefix('$') {
            Some(value) if value == value_of(key) => {
                self.right += 1;
                self.fetched += usize::from(key.starts_with(MISSING));
            }
            Some(value) => self.wrong.push(Wrong { key: key.to_owned(), got: value.to_owned() }),
            None if answer.starts_with("-BUSY") => self.refused += 1,
            None => self.failed += 1,
        }
    }

    fn add(&mut self, other: Outcomes) {
        self.requests += other.requests;
        self.right += other.right;
        self.fetched += other.fetched;
        self.wrong.extend(other.wrong);
        self.refused += other.refused;
        self.failed += other.failed;
        self.after_warm_up.extend(other.after_warm_up);
        self.slowest = self.slowest.max(other.slowest);
    }
}

/// The result of a run.
struct Report {
    name: &'static str,
    outcomes: Outcomes,
    counts: Counts,
    origin_calls: usize,
    /// Commands at the cache server for the requests after the warm-up.
    warm_attempts: u32,
    causes: String,
}

impl Report {
    /// Attempts at the cache server per request after the warm-up.
    fn attempts_per_request(&self) -> f64 {
        f64::from(self.warm_attempts) / self.outcomes.after_warm_up.len() as f64
    }

    fn assert_no_wrong_value(&self) {
        assert!(
            self.outcomes.right > 0 && self.counts.duplicates > 0,
            "no right value or no duplicate response"
        );
        let (wrong, requests) = (self.outcomes.wrong.len(), self.outcomes.requests);
        let first = self.outcomes.wrong.first();
        assert_eq!(wrong, 0, "values of other keys in {requests} answers ({}); first: {first:?}", self.name);
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (o, c) = (&self.outcomes, &self.counts);
        writeln!(
            f,
            "{}: {} requests, {} right, {} WRONG, {} refused, {} failed, slowest {:?}",
            self.name,
            o.requests,
            o.right,
            o.wrong.len(),
            o.refused,
            o.failed,
            o.slowest
        )?;
        writeln!(f, "  commands {}, connections {}", c.commands, c.connections)?;
        writeln!(
            f,
            "  duplicate responses {}: {} while idle, {} with one command open, {} with several",
            c.duplicates, c.duplicates_while_idle, c.duplicates_with_one_open, c.duplicates_with_several_open
        )?;
        writeln!(
            f,
            "  after the warm-up {} requests, {:.4} attempts per request; origin calls {}, {} served",
            o.after_warm_up.len(),
            self.attempts_per_request(),
            self.origin_calls,
            o.fetched
        )?;
        f.write_str(&self.causes)
    }
}

/// Runs a client that sends one read after another on a connection, and opens a new one when the node has closed it.
fn ask(run: &Run, client: usize, to: SocketAddr, begun: Instant) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut random = SeededRandom::new(run.seed, &format!("client {client}"));
    let mut connection = Client::connect(to);
    for number in 0.. {
        if begun.elapsed() >= Duration::from_secs(run.seconds) {
            break;
        }
        let (key, id) = (run.key(client, number, &mut random), format!("i-{client}-{number}"));
        let asked = Instant::now();
        if begun.elapsed() >= WARM_UP {
            outcomes.after_warm_up.push(id.clone());
        }
        let answer = connection.ask(&["CACHE.GET", &key, &id, "c=read,t=acme,d=20000"]);
        outcomes.slowest = outcomes.slowest.max(asked.elapsed());
        outcomes.count(&key, &answer);
        if answer == "end" {
            connection = Client::connect(to);
        }
    }
    outcomes
}

/// Executes a run and prints its result.
fn execute(run: &Run) -> Report {
    let _alone = run_alone();
    let server = DuplicatingServer::start(Behaviour {
        seed: run.seed,
        duplicated_share: run.duplicated_share,
        max_duplicate_delay: run.max_duplicate_delay,
        max_response_time: MAX_RESPONSE_TIME,
    });
    let calls = Arc::new(Mutex::new(0));
    let counted = calls.clone();
    let origin = serve(read_call, move |asked| {
        *counted.lock().unwrap() += 1;
        let key = asked[0].split(' ').nth(1).unwrap().trim_start_matches('/');
        http("200 OK", value_of(key))
    });
    let members =
        [member("s-1", server.address, "m", "ready"), member("o-1", origin, "origin", "ready")].join(",");
    let discovery = Discovery::start(&members);
    let mut settings = vec![NO_QUOTA];
    settings.extend(run.few_connections.then_some(MANY_NODES));
    let node = start_node(run.name, &discovery, &settings);
    let (address, begun) = (node.address, Instant::now());
    let mut outcomes = Outcomes::default();
    thread::scope(|scope| {
        let clients: Vec<_> =
            (0..run.clients).map(|c| scope.spawn(move || ask(run, c, address, begun))).collect();
        clients.into_iter().for_each(|c| outcomes.add(c.join().unwrap()));
    });
    let origin_calls = *calls.lock().unwrap();
    let report = Report {
        name: run.name,
        counts: server.trace.counts(),
        origin_calls,
        warm_attempts: server.attempts_of(outcomes.after_warm_up.iter()),
        causes: server.trace.causes(&outcomes.wrong, server.trace.begun.elapsed()).to_string(),
        outcomes,
    };
    if let Ok(folder) = std::env::var("SECOND_ANSWERS_TRACE") {
        let file = std::fs::File::create(format!("{folder}/{}-{}.txt", run.name, run.seed)).unwrap();
        server.trace.write(std::io::BufWriter::new(file));
    }
    println!("{report}");
    report
}

/// Every key is new, and the value is the key.
#[test]
fn no_duplicate_is_taken_for_the_value_of_another_key() {
    execute(&Run::new("unique")).assert_no_wrong_value();
}

/// The same with few connections, on which commands are pipelined.
#[test]
fn no_duplicate_is_taken_for_another_keys_value_on_pipelined_connections() {
    execute(&Run { few_connections: true, ..Run::new("shared") }).assert_no_wrong_value();
}

/// All keys have the same value and there are no duplicate responses: equal responses must not cause further attempts.
#[test]
fn equal_values_without_duplicates_cause_no_further_attempts() {
    for few_connections in [false, true] {
        let run = Run { same: 1.0, duplicated_share: 0.0, few_connections, ..Run::new("equal-once") };
        let report = execute(&run);
        let o = &report.outcomes;
        assert!(o.after_warm_up.len() > run.clients, "too few requests after the warm-up");
        assert_eq!((o.wrong.len(), o.refused, o.failed), (0, 0, 0), "wrong, refused, failed");
        let attempts = report.attempts_per_request();
        assert!(attempts <= MAX_ATTEMPTS_PER_REQUEST, "{attempts} attempts for each request");
    }
}

/// Some keys miss: a miss is sent twice, too, and must not be taken for the response to another key.
#[test]
fn no_duplicate_is_taken_for_another_keys_value_among_misses() {
    let report = execute(&Run { missing: 0.05, ..Run::new("lacked") });
    assert!(report.outcomes.fetched > 0, "nothing was fetched from the origin");
    report.assert_no_wrong_value();
}

/// Three in ten keys have the same value.
#[test]
fn no_duplicate_is_taken_for_another_keys_value_among_equal_values() {
    execute(&Run { same: 0.3, ..Run::new("often-equal") }).assert_no_wrong_value();
}

/// Half of the requests are for one key, whose value does not change.
#[test]
fn no_duplicate_is_taken_for_another_keys_value_beside_a_hot_key() {
    execute(&Run { hot: 0.5, ..Run::new("one-key") }).assert_no_wrong_value();
}
