//! `chalksill places`: queries the operations endpoints of running nodes for their view of zones, and sends them
//! orders of the operator.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand, ValueEnum};
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::{Verdict, files};

/// Time-out of a call to an operations endpoint; a node that takes longer counts as not answering.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks whether nodes act on an order.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// A zone counts as out where its share of the keys is below this.
const MAX_SHARE_OUT: f64 = 0.001;

/// Subcommands of `chalksill places`.
#[derive(Subcommand)]
pub enum Places {
    /// Shows the plan that each node acts on, the leader and the operator's orders; exit code 1 where nodes differ or do not answer
    Status(Nodes),
    /// Holds a zone in or out for a time; exit code 1 where nodes do not act on the order in time
    Hold(Hold),
    /// Withdraws the order for a zone
    Release(Release),
}

/// Arguments of `places status`.
#[derive(Args)]
pub struct Nodes {
    /// The address of a node's operations endpoint (ROUTER_OPS); may be repeated
    #[arg(long, required = true, value_name = "ADDRESS")]
    at: Vec<SocketAddr>,
    /// Prints the answers of the nodes as JSON
    #[arg(long)]
    json: bool,
}

/// What an order asks of a zone.
#[derive(Clone, Copy, ValueEnum)]
enum How {
    /// The zone keeps its keys, whatever nodes observe
    In,
    /// No keys go to the zone
    Out,
    /// No keys go to the zone, and its nodes report themselves as not ready
    Drain,
}

/// Arguments of `places hold`.
#[derive(Args)]
pub struct Hold {
    /// The zone, as the settings name it
    zone: String,
    /// What is ordered
    #[arg(value_enum)]
    how: How,
    /// For how long: 90s, 20m, 2h (18h at most)
    #[arg(long = "for", value_name = "TIME")]
    duration: humantime::Duration,
    #[command(flatten)]
    targets: OrderTargets,
}

/// Arguments of `places release`.
#[derive(Args)]
pub struct Release {
    /// The zone, as the settings name it
    zone: String,
    #[command(flatten)]
    targets: OrderTargets,
}

/// Where an order goes, and how long to wait for it.
#[derive(Args)]
struct OrderTargets {
    /// The address of a node's operations endpoint (ROUTER_OPS); may be repeated: the first node takes the order, and all
    /// are asked whether they act on it
    #[arg(long, required = true, value_name = "ADDRESS")]
    at: Vec<SocketAddr>,
    /// How long to wait until all of them act on it
    #[arg(long, default_value = "10s", value_name = "TIME")]
    within: humantime::Duration,
}

/// Answer of a node to `GET /places`.
#[derive(Debug, Serialize, Deserialize)]
struct NodeStatus {
    node: u32,
    zone: Option<String>,
    #[serde(rename = "near")]
    locality: Locality,
    #[serde(rename = "accord")]
    agreement: Option<Agreement>,
}

/// How a node keeps traffic in near zones.
#[derive(Debug, Serialize, Deserialize)]
struct Locality {
    state: String,
    /// Share of the keys that goes to farther zones.
    #[serde(rename = "spilt")]
    spillover: f64,
}

/// State of a node in the agreement on zones.
#[derive(Debug, Serialize, Deserialize)]
struct Agreement {
    #[serde(rename = "decides")]
    is_leader: bool,
    plan: Option<Plan>,
    /// Whether the node sends its clients elsewhere.
    #[serde(rename = "away")]
    clients_leave: bool,
    zones: Vec<Zone>,
}

/// The plan that a node acts on.
#[derive(Debug, Serialize, Deserialize)]
struct Plan {
    round: u32,
    node: u16,
    sequence: u32,
    /// Time since the plan was last confirmed.
    #[serde(rename = "heard_ms")]
    confirmed_ms_ago: u64,
    #[serde(rename = "says")]
    summary: String,
}

/// A zone of the plan.
#[derive(Debug, Serialize, Deserialize)]
struct Zone {
    zone: String,
    planned: String,
    /// Share of its keys that goes to the zone.
    #[serde(rename = "open")]
    key_share: f64,
    order: Option<ZoneOrder>,
    #[serde(rename = "seen")]
    observations: Option<Observations>,
}

/// An operator's order for a zone.
#[derive(Debug, Serialize, Deserialize)]
struct ZoneOrder {
    how: String,
    left_s: u64,
    node: Option<u16>,
}

/// How many nodes see a zone as lost, and how many do not.
#[derive(Debug, Serialize, Deserialize)]
struct Observations {
    lost: usize,
    well: usize,
}

/// Executes a subcommand.
pub fn execute(places: Places) -> Result<Verdict, String> {
    match places {
        Places::Status(nodes) => status(&nodes),
        Places::Hold(hold) => {
            let how = match hold.how {
                How::In => "in",
                How::Out => "out",
                How::Drain => "drain",
            };
            let seconds = hold.duration.as_secs().to_string();
            let query = [("zone", hold.zone.as_str()), ("how", how), ("for_s", &seconds)];
            send_order(&hold.targets, "hold", &query, &hold.zone, Some(how))
        }
        Places::Release(release) => {
            let query = [("zone", release.zone.as_str())];
            send_order(&release.targets, "release", &query, &release.zone, None)
        }
    }
}

/// An HTTP client that returns error statuses as answers.
fn agent() -> Agent {
    Agent::config_builder().timeout_global(Some(CALL_TIMEOUT)).http_status_as_error(false).build().into()
}

/// Fetches the status of a node; the error names the node and why there is no valid answer.
fn fetch_status(agent: &Agent, at: SocketAddr) -> Result<NodeStatus, String> {
    let error = |what: String| format!("{at}: {what}");
    let mut answer = agent.get(format!("http://{at}/places")).call().map_err(|e| error(e.to_string()))?;
    let text = answer.body_mut().read_to_string().map_err(|e| error(e.to_string()))?;
    match answer.status().as_u16() {
        200 if text.is_empty() => Err(error("the node has just started and has no status yet".into())),
        200 => serde_json::from_str(&text).map_err(|e| error(format!("invalid answer: {e}"))),
        404 => Err(error("places are switched off at this node".into())),
        status => Err(error(format!("{status}: {}", text.trim()))),
    }
}

/// Fetches the status of all nodes at the same time, in the order of their addresses.
fn fetch_all(at: &[SocketAddr]) -> Vec<Result<NodeStatus, String>> {
    // A thread for each node, so that a node that hangs does not delay the others.
    std::thread::scope(|scope| {
        let calls: Vec<_> = at.iter().map(|at| scope.spawn(|| fetch_status(&agent(), *at))).collect();
        let joined = calls.into_iter().map(|call| call.join());
        joined.map(|status| status.unwrap_or_else(|_| Err("the thread of a call panicked".into()))).collect()
    })
}

fn status(nodes: &Nodes) -> Result<Verdict, String> {
    let all = fetch_all(&nodes.at);
    if all.iter().all(Result::is_err) {
        let errors: Vec<String> = all.into_iter().filter_map(Result::err).collect();
        return Err(errors.join("; "));
    }
    let answered: Vec<&NodeStatus> = all.iter().flatten().collect();
    if nodes.json {
        println!("{}", files::to_json(&answered)?);
    } else {
        print!("{}", status_text(&answered));
    }
    all.iter().filter_map(|status| status.as_ref().err()).for_each(|error| eprintln!("{error}"));
    let good = all.iter().all(Result::is_ok) && agree(&answered);
    Ok(if good { Verdict::Good } else { Verdict::Broken })
}

/// Whether all nodes act on one plan: each zone has the same share of its keys at all of them.
fn agree(nodes: &[&NodeStatus]) -> bool {
    let key_shares = |status: &&NodeStatus| {
        let agreement = status.agreement.as_ref()?;
        agreement.plan.as_ref()?;
        Some(agreement.zones.iter().map(|z| (z.key_share * 100.0).round() as u32).collect::<Vec<_>>())
    };
    let all: Vec<_> = nodes.iter().map(key_shares).collect();
    all.windows(2).all(|pair| pair[0] == pair[1])
}

/// Formats the status of nodes as text.
fn status_text(nodes: &[&NodeStatus]) -> String {
    let mut text = String::new();
    let leader = nodes.iter().find_map(|s| s.agreement.as_ref().filter(|a| a.is_leader).map(|a| (s.node, a)));
    match leader {
        Some((node, agreement)) => {
            let _ = writeln!(text, "node {node} is the leader");
            for zone in &agreement.zones {
                let observations = zone.observations.as_ref().map_or(String::new(), |o| {
                    format!(
                        "; of the nodes that can judge it, {} see it as lost and {} do not",
                        o.lost, o.well
                    )
                });
                let order = zone.order.as_ref().map_or(String::new(), |o| {
                    let node = o.node.map_or("?".into(), |n| n.to_string());
                    format!("; ordered {} for another {} s at node {node}", o.how, o.left_s)
                });
                let percent = zone.key_share * 100.0;
                let _ = writeln!(
                    text,
                    "  {}: {}, {percent:.0}% of its keys{order}{observations}",
                    zone.zone, zone.planned
                );
            }
        }
        None => text.push_str("none of these nodes is the leader\n"),
    }
    for status in nodes {
        let zone = status.zone.as_deref().unwrap_or("no zone");
        let locality = if status.locality.spillover > 0.0 {
            format!(
                "near zones {}, {:.0}% of the keys go to farther zones",
                status.locality.state,
                status.locality.spillover * 100.0
            )
        } else {
            format!("near zones {}", status.locality.state)
        };
        let agreement = match &status.agreement {
            None => "the agreement on zones is off".into(),
            Some(Agreement { plan: None, .. }) => "acts on no plan".into(),
            Some(Agreement { plan: Some(plan), clients_leave, .. }) => {
                let source = format!(
                    "plan {}.{} of node {}, confirmed {} ms ago",
                    plan.round, plan.sequence, plan.node, plan.confirmed_ms_ago
                );
                let suffix = if *clients_leave { "; its clients are sent elsewhere" } else { "" };
                format!("{source}: {}{suffix}", plan.summary)
            }
        };
        let _ = writeln!(text, "node {} in {zone}: {locality}; {agreement}", status.node);
    }
    text
}

/// Whether a node acts on the order for a zone.
fn acts_on_order(status: &NodeStatus, zone: &str, how: Option<&str>) -> bool {
    let Some(zone) = status.agreement.as_ref().and_then(|a| a.zones.iter().find(|z| z.zone == zone)) else {
        return false;
    };
    match how {
        None => zone.order.is_none(),
        Some("in") => zone.order.as_ref().is_some_and(|o| o.how == "in") && zone.key_share >= 1.0,
        Some(how) => zone.order.as_ref().is_some_and(|o| o.how == how) && zone.key_share < MAX_SHARE_OUT,
    }
}

/// Sends an order to the first node, and waits until all nodes act on it.
fn send_order(
    targets: &OrderTargets,
    call: &str,
    query: &[(&str, &str)],
    zone: &str,
    how: Option<&str>,
) -> Result<Verdict, String> {
    let Some(at) = targets.at.first() else { return Err("--at is required".into()) };
    let mut request = agent().put(format!("http://{at}/places/{call}"));
    for (key, value) in query {
        request = request.query(*key, *value);
    }
    let mut answer = request.send_empty().map_err(|e| format!("{at}: {e}"))?;
    let text = answer.body_mut().read_to_string().unwrap_or_default();
    match answer.status().as_u16() {
        202 => print!("node at {at} takes it: {text}"),
        404 => return Err(format!("{at}: places are switched off at this node")),
        _ => return Err(format!("{at}: {}", text.trim())),
    }
    let deadline = Instant::now() + *targets.within;
    loop {
        let all = fetch_all(&targets.at);
        let lagging: Vec<String> = targets
            .at
            .iter()
            .zip(&all)
            .filter(|(_, status)| !status.as_ref().is_ok_and(|status| acts_on_order(status, zone, how)))
            .map(|(at, _)| at.to_string())
            .collect();
        if lagging.is_empty() {
            println!("all {} nodes that were asked act on it", all.len());
            return Ok(Verdict::Good);
        }
        if Instant::now() >= deadline {
            println!("not acted on after {}: {}", targets.within, lagging.join(", "));
            return Ok(Verdict::Broken);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
