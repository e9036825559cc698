//! Consequences of daily and of rarer failures in a fleet of the target size.

use mothpier_accord::Timing;

use super::formulas::*;
use crate::target::Target;
use crate::text::format_number;

/// A kind of failure and its consequences at the target size.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The component that fails.
    pub component: &'static str,
    /// How often it fails.
    pub frequency: &'static str,
    /// What the failure causes.
    pub effect: &'static str,
    /// How long the consequences last.
    pub duration: String,
    /// What the failure costs.
    pub cost: String,
}

/// Lists daily and rarer failures.
pub fn failures(fleet: &Target) -> Vec<Failure> {
    let failure = |component, frequency, effect, duration, cost| Failure {
        component,
        frequency,
        effect,
        duration,
        cost,
    };
    vec![
        failure(
            "a node dies",
            "most of 12 machines a day",
            "its clients' connections end; no other node tells of it, for nodes do not watch each other",
            "until its clients have connected elsewhere: not measured".into(),
            "nothing of control at others".into(),
        ),
        failure(
            "the leader of the agreement dies",
            "one node of all",
            "voters hold their grant until it has run out, then one campaigns; followers go on with their plan",
            format!("{} s at the most without loss of messages", format_number(leader_change_s())),
            format!("no new plan in that time; the plan held lives {} s", format_number(plan_validity_s())),
        ),
        failure(
            "a node is restarted",
            "most of 910 machines a day",
            "it asks discovery for the list; as a voter it abstains for its hold",
            format!("{} s as a voter", format_number(Timing::default().grant as f64 / 1_000.0)),
            format!("{} bytes of lists a day", format_number(restart_bytes_per_day(fleet))),
        ),
        failure(
            "a cache server is restarted",
            "its part of 910 machines a day",
            "three changes of the list, each of which ends every watch; nodes begin with it cold",
            "10 s of warming by default".into(),
            format!(
                "{} answers of discovery; {} calls at once allowed to it, {} due to it",
                format_number(CHANGES_PER_RESTART * fleet.nodes),
                format_number(cold_calls(fleet)),
                format_number(cold_calls_bound(fleet))
            ),
        ),
        failure(
            "a rack or a switch",
            "one a week",
            "nothing knows of racks or sites: its nodes and cache servers are lost one by one",
            "as for each of them; none measured together".into(),
            format!("{} nodes where it takes a site", format_number(nodes_per_site(fleet))),
        ),
        failure(
            "a zone",
            "once or twice a year",
            "all members ask three times as often; the leader gives the zone up and moves its keys by steps",
            "half of 300 nodes act after 0.86 to 0.87 s in a play of the machines (measured, \
             `measurements/places.md`); not measured at this size"
                .into(),
            format!(
                "{} messages/s at the leader; {} nodes and {} cache servers are gone",
                format_number(leader_messages_urgent(fleet)),
                format_number(nodes_per_zone(fleet)),
                format_number(servers_per_zone(fleet))
            ),
        ),
        failure(
            "a region loses all others",
            "for an hour now and then",
            "its nodes ask voters in turn and fall back to no plan; each leaves by itself zones that it can't reach",
            format!("{} s until they fall back, then as long as it lasts", format_number(plan_validity_s())),
            format!(
                "{} messages/s without an answer, {} in an hour",
                format_number(partitioned_region_messages(fleet)),
                format_number(3_600.0 * partitioned_region_messages(fleet))
            ),
        ),
        failure(
            "discovery is restarted",
            "not told",
            "every watch is opened anew at once, and asks for the whole list where the revision is not known",
            format!(
                "{} s of turns at 1 ms a call, and calls that have waited {} s are failed",
                format_number(discovery_restart_s(fleet)),
                format_number(DISCOVERY_QUEUE_TIMEOUT_S)
            ),
            format!("{} bytes", format_number(discovery_restart_bytes(fleet))),
        ),
    ]
}
