//! `chalksill places`: asks running nodes at their second addresses what they make of zones, and gives them staff's orders.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand, ValueEnum};
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::{Verdict, files};

/// A node that has not answered by then is told as one that does not.
const PATIENCE: Duration = Duration::from_secs(2);
/// Between two looks whether an order is acted on.
const LOOK: Duration = Duration::from_millis(200);
/// A part of the keys that is less than this is none.
const NONE: f64 = 0.001;

/// The subcommands.
#[derive(Subcommand)]
pub enum Places {
    /// What each node acts on, who decides, and what staff have ordered; exit code 1 where nodes differ or do not answer
    Status(Nodes),
    /// Keeps a zone in or out by hand until a time; exit code 1 where that is not acted on in time
    Hold(Hold),
    /// Takes such an order back
    Release(Release),
}

/// Whom to ask.
#[derive(Args)]
pub struct Nodes {
    /// The second address of a node (ROUTER_OPS); several may be named
    #[arg(long, required = true, value_name = "ADDRESS")]
    at: Vec<SocketAddr>,
    /// Prints what the nodes say as JSON
    #[arg(long)]
    json: bool,
}

/// What is wanted of a zone.
#[derive(Clone, Copy, ValueEnum)]
enum How {
    /// It keeps its keys, whatever nodes see
    In,
    /// No keys go there
    Out,
    /// No keys go there, and its nodes tell their front no
    Drain,
}

/// An order.
#[derive(Args)]
pub struct Hold {
    /// The zone, as the settings name it
    zone: String,
    /// What is wanted of it
    #[arg(value_enum)]
    how: How,
    /// For how long: 90s, 20m, 2h (18h at most)
    #[arg(long = "for", value_name = "TIME")]
    span: humantime::Duration,
    #[command(flatten)]
    rest: Order,
}

/// An order taken back.
#[derive(Args)]
pub struct Release {
    /// The zone, as the settings name it
    zone: String,
    #[command(flatten)]
    rest: Order,
}

#[derive(Args)]
struct Order {
    /// The second address of the node that takes the order; all that are named are asked whether they act on it
    #[arg(long, required = true, value_name = "ADDRESS")]
    at: Vec<SocketAddr>,
    /// How long to wait until all of them do
    #[arg(long, default_value = "10s", value_name = "TIME")]
    within: humantime::Duration,
}

/// What a node says.
#[derive(Debug, Serialize, Deserialize)]
struct Said {
    node: u32,
    zone: Option<String>,
    near: Near,
    accord: Option<Accord>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Near {
    state: String,
    spilt: f64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Accord {
    decides: bool,
    plan: Option<Plan>,
    away: bool,
    zones: Vec<Zone>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Plan {
    round: u32,
    node: u16,
    sequence: u32,
    heard_ms: u64,
    says: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct Zone {
    zone: String,
    planned: String,
    open: f64,
    order: Option<Ordered>,
    seen: Option<Seen>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Ordered {
    how: String,
    left_s: u64,
    node: Option<u16>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Seen {
    lost: usize,
    well: usize,
}

/// Carries a subcommand out.
pub fn execute(places: Places) -> Result<Verdict, String> {
    match places {
        Places::Status(nodes) => status(&nodes),
        Places::Hold(hold) => {
            let how = match hold.how {
                How::In => "in",
                How::Out => "out",
                How::Drain => "drain",
            };
            let seconds = hold.span.as_secs().to_string();
            let query = [("zone", hold.zone.as_str()), ("how", how), ("for_s", &seconds)];
            order(&hold.rest, "hold", &query, &hold.zone, Some(how))
        }
        Places::Release(release) => {
            let query = [("zone", release.zone.as_str())];
            order(&release.rest, "release", &query, &release.zone, None)
        }
    }
}

fn agent() -> Agent {
    Agent::config_builder().timeout_global(Some(PATIENCE)).http_status_as_error(false).build().into()
}

/// What a node says; the error is why it says nothing that can be read.
fn ask(agent: &Agent, at: SocketAddr) -> Result<Said, String> {
    let told = |what: String| format!("{at}: {what}");
    let mut answer = agent.get(format!("http://{at}/places")).call().map_err(|e| told(e.to_string()))?;
    let text = answer.body_mut().read_to_string().map_err(|e| told(e.to_string()))?;
    match answer.status().as_u16() {
        200 if text.is_empty() => Err(told("the node has only just begun".into())),
        200 => serde_json::from_str(&text).map_err(|e| told(format!("an answer that can't be read: {e}"))),
        404 => Err(told("places are off there".into())),
        status => Err(told(format!("{status}: {}", text.trim()))),
    }
}

fn ask_all(at: &[SocketAddr]) -> Vec<Result<Said, String>> {
    // One that hangs must not make the others wait: a thread each.
    std::thread::scope(|scope| {
        let asks: Vec<_> = at.iter().map(|at| scope.spawn(|| ask(&agent(), *at))).collect();
        let joined = asks.into_iter().map(|ask| ask.join());
        joined.map(|said| said.unwrap_or_else(|_| Err("asking failed".into()))).collect()
    })
}

fn status(nodes: &Nodes) -> Result<Verdict, String> {
    let all = ask_all(&nodes.at);
    if all.iter().all(Result::is_err) {
        let why: Vec<String> = all.into_iter().filter_map(Result::err).collect();
        return Err(why.join("; "));
    }
    let said: Vec<&Said> = all.iter().flatten().collect();
    if nodes.json {
        println!("{}", files::json(&said)?);
    } else {
        print!("{}", tell(&said));
    }
    all.iter().filter_map(|said| said.as_ref().err()).for_each(|why| eprintln!("{why}"));
    let good = all.iter().all(Result::is_ok) && agree(&said);
    Ok(if good { Verdict::Good } else { Verdict::Broken })
}

/// Whether all act on one plan: the same keys go to each zone.
fn agree(said: &[&Said]) -> bool {
    let acts = |s: &&Said| {
        let accord = s.accord.as_ref()?;
        accord.plan.as_ref()?;
        Some(accord.zones.iter().map(|z| (z.open * 100.0).round() as u32).collect::<Vec<_>>())
    };
    let all: Vec<_> = said.iter().map(acts).collect();
    all.windows(2).all(|pair| pair[0] == pair[1])
}

/// The table for people.
fn tell(said: &[&Said]) -> String {
    let mut text = String::new();
    let decider = said.iter().find_map(|s| s.accord.as_ref().filter(|a| a.decides).map(|a| (s.node, a)));
    match decider {
        Some((node, accord)) => {
            let _ = writeln!(text, "node {node} decides");
            for zone in &accord.zones {
                let seen = zone.seen.as_ref().map_or(String::new(), |s| {
                    format!("; of the nodes that can tell {} lose it, {} do not", s.lost, s.well)
                });
                let order = zone.order.as_ref().map_or(String::new(), |o| {
                    let node = o.node.map_or("?".into(), |n| n.to_string());
                    format!("; ordered {} for {} s more at node {node}", o.how, o.left_s)
                });
                let open = zone.open * 100.0;
                let _ =
                    writeln!(text, "  {}: {}, {open:.0}% of its keys{order}{seen}", zone.zone, zone.planned);
            }
        }
        None => text.push_str("none of these nodes decides\n"),
    }
    for s in said {
        let zone = s.zone.as_deref().unwrap_or("no zone");
        let near = if s.near.spilt > 0.0 {
            format!("near zones {}, {:.0}% of the keys go farther", s.near.state, s.near.spilt * 100.0)
        } else {
            format!("near zones {}", s.near.state)
        };
        let plan = match &s.accord {
            None => "the accord is off".into(),
            Some(Accord { plan: None, .. }) => "acts on no plan".into(),
            Some(Accord { plan: Some(p), away, .. }) => {
                let heard = format!(
                    "plan {}.{} of node {}, heard {} ms ago",
                    p.round, p.sequence, p.node, p.heard_ms
                );
                let away = if *away { "; its clients are to go elsewhere" } else { "" };
                format!("{heard}: {}{away}", p.says)
            }
        };
        let _ = writeln!(text, "node {} in {zone}: {near}; {plan}", s.node);
    }
    text
}

/// Whether a node does to a zone what was ordered.
fn obeys(said: &Said, zone: &str, how: Option<&str>) -> bool {
    let Some(zone) = said.accord.as_ref().and_then(|a| a.zones.iter().find(|z| z.zone == zone)) else {
        return false;
    };
    match how {
        None => zone.order.is_none(),
        Some("in") => zone.order.as_ref().is_some_and(|o| o.how == "in") && zone.open >= 1.0,
        Some(how) => zone.order.as_ref().is_some_and(|o| o.how == how) && zone.open < NONE,
    }
}

fn order(
    order: &Order,
    call: &str,
    query: &[(&str, &str)],
    zone: &str,
    how: Option<&str>,
) -> Result<Verdict, String> {
    let Some(at) = order.at.first() else { return Err("--at: is missing".into()) };
    let mut put = agent().put(format!("http://{at}/places/{call}"));
    for (key, value) in query {
        put = put.query(*key, *value);
    }
    let mut answer = put.send_empty().map_err(|e| format!("{at}: {e}"))?;
    let text = answer.body_mut().read_to_string().unwrap_or_default();
    match answer.status().as_u16() {
        202 => print!("node at {at} takes it: {text}"),
        404 => return Err(format!("{at}: places are off there")),
        _ => return Err(format!("{at}: {}", text.trim())),
    }
    let until = Instant::now() + *order.within;
    loop {
        let all = ask_all(&order.at);
        let lags: Vec<String> = order
            .at
            .iter()
            .zip(&all)
            .filter(|(_, said)| !said.as_ref().is_ok_and(|said| obeys(said, zone, how)))
            .map(|(at, _)| at.to_string())
            .collect();
        if lags.is_empty() {
            println!("all {} nodes that were asked act on it", all.len());
            return Ok(Verdict::Good);
        }
        if Instant::now() >= until {
            println!("not acted on after {}: {}", order.within, lags.join(", "));
            return Ok(Verdict::Broken);
        }
        std::thread::sleep(LOOK);
    }
}
