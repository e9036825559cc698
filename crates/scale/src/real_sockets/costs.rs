//! What each role cost between two looks at a run.

use std::collections::BTreeMap;

use super::counting::{Channel, ChannelTraffic, HostCounts, Traffic};
use super::plan::SizePlan;
use super::stage::{Look, Returned};
use super::usage::Usage;
use crate::record::{Change, ChangeSpread, Role, RoleCost};

/// Two looks at a run, and the time between.
pub(super) struct Measured<'a> {
    /// The size.
    pub size: SizePlan,
    /// Voters of the agreement: the first nodes.
    pub voters: u32,
    /// The look before.
    pub before: &'a Look,
    /// The look after.
    pub after: &'a Look,
}

impl Measured<'_> {
    /// The time between, in seconds.
    pub fn seconds(&self) -> f64 {
        (self.after.at - self.before.at).as_secs_f64()
    }

    /// What each role cost.
    pub fn roles(&self) -> BTreeMap<Role, RoleCost> {
        let mut roles = BTreeMap::new();
        let mut put = |role, cost: RoleCost| {
            if cost.members > 0 {
                roles.insert(role, cost);
            }
        };
        put(Role::HollowNode, self.hollow_nodes());
        put(Role::RealNode, self.real_nodes());
        put(Role::Discovery, self.discovery());
        put(Role::CacheServerControl, self.cache_servers());
        let (leaders, voters, followers) = self.agreement_members();
        put(Role::AgreementLeader, self.agreement(&leaders));
        put(Role::AgreementVoter, self.agreement(&voters));
        put(Role::AgreementFollower, self.agreement(&followers));
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

    /// What stand-ins and hollow nodes saw of real nodes. What real nodes say to each other is not seen.
    fn real_nodes(&self) -> RoleCost {
        let members = self.size.real_nodes;
        let all: Vec<u32> = (0..self.size.hollow_nodes).collect();
        let mut seen = self.hollow_traffic(&all, |c| c.with_real_node);
        seen.add(&stand_in_traffic(&self.before.discovery.real, &self.after.discovery.real));
        let processes = self.before.usage.real.iter().zip(&self.after.usage.real);
        let connections = f64::from(self.after.discovery.real.connections);
        self.cost(members, seen.mirrored(), connections).with_usage(members, processes, None, self)
    }

    fn discovery(&self) -> RoleCost {
        let (before, after) = (&self.before.discovery, &self.after.discovery);
        let mut traffic = stand_in_traffic(&before.hollow, &after.hollow);
        traffic.add(&stand_in_traffic(&before.real, &after.real));
        let connections = f64::from(after.hollow.connections + after.real.connections);
        let idle = (&self.before.usage.idle, &self.after.usage.idle);
        let process = [(&self.before.usage.discovery, &self.after.usage.discovery)];
        self.cost(1, traffic, connections).with_usage(1, process, Some(idle), self)
    }

    /// The cache servers' side of what hollow nodes do; that of real ones is clients' data for the most part, and where there are
    /// some, the processor time can't be told apart.
    fn cache_servers(&self) -> RoleCost {
        let (before, after) = (&self.before.cache_servers.hollow, &self.after.cache_servers.hollow);
        let members = self.size.cache_servers;
        let cost = self.cost(members, stand_in_traffic(before, after), f64::from(after.connections));
        if self.size.real_nodes > 0 {
            return cost;
        }
        let idle = (&self.before.usage.idle, &self.after.usage.idle);
        let process = [(&self.before.usage.cache_servers, &self.after.usage.cache_servers)];
        cost.with_usage(members, process, Some(idle), self)
    }

    /// The agreement's leader, its other voters, and its other members; one whose leader changed has none.
    fn agreement_members(&self) -> (Vec<u32>, Vec<u32>, Vec<u32>) {
        let voters = self.voters;
        if voters == 0 {
            return Default::default();
        }
        let led = |look: &Look| -> Vec<u32> {
            (0..voters).filter(|v| look.hollow.get(*v as usize).is_some_and(|node| node.leads)).collect()
        };
        let before = led(self.before);
        let leaders = if before == led(self.after) && before.len() == 1 { before } else { Vec::new() };
        let others = (0..voters).filter(|v| !leaders.contains(v)).collect();
        (leaders, others, (voters..self.size.hollow_nodes).collect())
    }

    fn agreement(&self, members: &[u32]) -> RoleCost {
        let traffic = self.hollow_traffic(members, |c| c.channel == Channel::Agreement);
        self.cost(members.len() as u32, traffic, 0.0)
    }

    fn hollow_traffic(&self, members: &[u32], wanted: impl Fn(&ChannelTraffic) -> bool + Copy) -> Traffic {
        let mut sum = Traffic::default();
        for member in members {
            let at = *member as usize;
            if let (Some(before), Some(after)) = (self.before.hollow.get(at), self.after.hollow.get(at)) {
                sum.add(&after.sum(wanted).since(&before.sum(wanted)));
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
    /// With what its processes used, each less what one that idles did.
    fn with_usage<'a>(
        mut self,
        members: u32,
        processes: impl IntoIterator<Item = (&'a Usage, &'a Usage)>,
        idle: Option<(&Usage, &Usage)>,
        measured: &Measured<'_>,
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
        self.user_cpu = each(user / measured.seconds());
        self.system_cpu = each(system / measured.seconds());
        self
    }
}

fn stand_in_traffic(before: &HostCounts, after: &HostCounts) -> Traffic {
    after.sum(|_| true).since(&before.sum(|_| true))
}

/// How long it took until nodes were answered again.
pub(super) fn spread(mut returned: Returned, expected: u32) -> ChangeSpread {
    returned.sort_by(f64::total_cmp);
    let at = |part: f64| {
        let place = (part * returned.len() as f64).ceil() as usize;
        returned.get(place.saturating_sub(1)).copied().unwrap_or(0.0)
    };
    ChangeSpread {
        change: Change::List,
        acted: returned.len() as u32,
        expected,
        p50_s: at(0.5),
        p99_s: at(0.99),
        last_s: at(1.0),
    }
}
