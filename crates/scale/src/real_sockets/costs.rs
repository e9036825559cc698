//! The cost of each role between two snapshots of a run.

use std::collections::BTreeMap;

use super::counting::{Channel, ChannelTraffic, HostCounts, Traffic};
use super::plan::SizePlan;
use super::running_fleet::{ReturnTimes, Snapshot};
use super::usage::Usage;
use crate::record::{Change, ChangePropagation, Role, RoleCost};

/// Two snapshots of a run.
pub(super) struct Measurement<'a> {
    /// The size of the fleet.
    pub size: SizePlan,
    /// The number of voters of the agreement, which are the first nodes.
    pub voters: u32,
    /// The snapshot before the measurement.
    pub before: &'a Snapshot,
    /// The snapshot after the measurement.
    pub after: &'a Snapshot,
}

impl Measurement<'_> {
    /// The time between the snapshots, in seconds.
    pub fn seconds(&self) -> f64 {
        (self.after.at - self.before.at).as_secs_f64()
    }

    /// The cost of each role.
    pub fn roles(&self) -> BTreeMap<Role, RoleCost> {
        let mut roles = BTreeMap::new();
        let mut insert = |role, cost: RoleCost| {
            if cost.members > 0 {
                roles.insert(role, cost);
            }
        };
        insert(Role::HollowNode, self.hollow_nodes());
        insert(Role::RealNode, self.real_nodes());
        insert(Role::Discovery, self.discovery());
        insert(Role::CacheServerControl, self.cache_servers());
        let (leaders, voters, followers) = self.agreement_members();
        insert(Role::AgreementLeader, self.agreement(&leaders));
        insert(Role::AgreementVoter, self.agreement(&voters));
        insert(Role::AgreementFollower, self.agreement(&followers));
        roles
    }

    fn hollow_nodes(&self) -> RoleCost {
        let members = self.size.hollow_nodes;
        let all: Vec<u32> = (0..members).collect();
        let traffic = self.hollow_traffic(&all, |c| c.channel != Channel::Accepted);
        let connections: u32 = self.after.hollow.iter().map(|node| node.connections).sum();
        let idle = (&self.before.usage.idle, &self.after.usage.idle);
        let processes = self.before.usage.hollow.iter().zip(&self.after.usage.hollow);
        self.cost(members, traffic, f64::from(connections)).with_usage(members, processes, Some(idle), self)
    }

    /// The traffic of real nodes with stubs and hollow nodes. Traffic between real nodes is not counted.
    fn real_nodes(&self) -> RoleCost {
        let members = self.size.real_nodes;
        let all: Vec<u32> = (0..self.size.hollow_nodes).collect();
        let mut traffic = self.hollow_traffic(&all, |c| c.with_real_node);
        traffic.add(&stub_traffic(&self.before.discovery.real, &self.after.discovery.real));
        let processes = self.before.usage.real.iter().zip(&self.after.usage.real);
        let connections = f64::from(self.after.discovery.real.connections);
        self.cost(members, traffic.mirrored(), connections).with_usage(members, processes, None, self)
    }

    fn discovery(&self) -> RoleCost {
        let (before, after) = (&self.before.discovery, &self.after.discovery);
        let mut traffic = stub_traffic(&before.hollow, &after.hollow);
        traffic.add(&stub_traffic(&before.real, &after.real));
        let connections = f64::from(after.hollow.connections + after.real.connections);
        let idle = (&self.before.usage.idle, &self.after.usage.idle);
        let process = [(&self.before.usage.discovery, &self.after.usage.discovery)];
        self.cost(1, traffic, connections).with_usage(1, process, Some(idle), self)
    }

    /// The cache servers' side of the traffic of hollow nodes. The traffic of real nodes is mostly client
    /// data; if there are any, the processor time for control cannot be separated.
    fn cache_servers(&self) -> RoleCost {
        let (before, after) = (&self.before.cache_servers.hollow, &self.after.cache_servers.hollow);
        let members = self.size.cache_servers;
        let cost = self.cost(members, stub_traffic(before, after), f64::from(after.connections));
        if self.size.real_nodes > 0 {
            return cost;
        }
        let idle = (&self.before.usage.idle, &self.after.usage.idle);
        let process = [(&self.before.usage.cache_servers, &self.after.usage.cache_servers)];
        cost.with_usage(members, process, Some(idle), self)
    }

    /// The agreement's leader, its other voters, and its other members. There is no leader in the result if
    /// it changed between the snapshots.
    fn agreement_members(&self) -> (Vec<u32>, Vec<u32>, Vec<u32>) {
        let voters = self.voters;
        if voters == 0 {
            return Default::default();
        }
        let leaders_in = |snapshot: &Snapshot| -> Vec<u32> {
            (0..voters).filter(|v| snapshot.hollow.get(*v as usize).is_some_and(|node| node.leads)).collect()
        };
        let before = leaders_in(self.before);
        let leaders = if before == leaders_in(self.after) && before.len() == 1 { before } else { Vec::new() };
        let others = (0..voters).filter(|v| !leaders.contains(v)).collect();
        (leaders, others, (voters..self.size.hollow_nodes).collect())
    }

    fn agreement(&self, members: &[u32]) -> RoleCost {
        let traffic = self.hollow_traffic(members, |c| c.channel == Channel::Agreement);
        self.cost(members.len() as u32, traffic, 0.0)
    }

    fn hollow_traffic(&self, members: &[u32], matches: impl Fn(&ChannelTraffic) -> bool + Copy) -> Traffic {
        let mut sum = Traffic::default();
        for member in members {
            let at = *member as usize;
            if let (Some(before), Some(after)) = (self.before.hollow.get(at), self.after.hollow.get(at)) {
                sum.add(&after.sum(matches).since(&before.sum(matches)));
            }
        }
        sum
    }

    fn cost(&self, members: u32, traffic: Traffic, connections: f64) -> RoleCost {
        let each_s = |count: u64| count as f64 / f64::from(members.max(1)) / self.seconds();
        RoleCost {
            members,
            messages_in_per_s: each_s(traffic.messages_in),
            messages_out_per_s: each_s(traffic.messages_out),
            bytes_in_per_s: each_s(traffic.bytes_in),
            bytes_out_per_s: each_s(traffic.bytes_out),
            connections: connections / f64::from(members.max(1)),
            ..RoleCost::default()
        }
    }
}

impl RoleCost {
    /// Adds the resource usage of the role's processes, each minus that of the idle worker.
    fn with_usage<'a>(
        mut self,
        members: u32,
        processes: impl IntoIterator<Item = (&'a Usage, &'a Usage)>,
        idle: Option<(&Usage, &Usage)>,
        measurement: &Measurement<'_>,
    ) -> RoleCost {
        let nothing = Usage::default();
        let (idle_before, idle_after) = idle.unwrap_or((&nothing, &nothing));
        let (idle_user, idle_system) = idle_after.cpu_since(idle_before);
        let (mut resident, mut user, mut system) = (0.0, 0.0, 0.0);
        for (before, after) in processes {
            let (user_s, system_s) = after.cpu_since(before);
            resident += after.resident_bytes - idle_after.resident_bytes;
            user += user_s - idle_user;
            system += system_s - idle_system;
        }
        let each = |sum: f64| Some(sum.max(0.0) / f64::from(members.max(1)));
        self.resident_bytes = each(resident);
        self.user_cpu = each(user / measurement.seconds());
        self.system_cpu = each(system / measurement.seconds());
        self
    }
}

fn stub_traffic(before: &HostCounts, after: &HostCounts) -> Traffic {
    after.sum(|_| true).since(&before.sum(|_| true))
}

/// How long the nodes took to be answered by discovery again.
pub(super) fn propagation(mut returned: ReturnTimes, expected: u32) -> ChangePropagation {
    returned.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let index = (share * returned.len() as f64).ceil() as usize;
        returned.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
    };
    ChangePropagation {
        change: Change::List,
        acted: returned.len() as u32,
        expected,
        p50_s: at(0.5),
        p99_s: at(0.99),
        last_s: at(1.0),
    }
}
