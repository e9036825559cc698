//! Stubs in processes of their own: the cache servers and the origin in one, discovery in another.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use chalksill_world::cache::CacheServer;
use chalksill_world::discovery::Discovery;
use chalksill_world::fleet::{Fleet, Member};
use chalksill_world::observe::{NodeIndex, ObservedEvent, Observer, Phase};
use chalksill_world::origin::Origin;
use mothpier_host::{Host, Listener, SystemHost};
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use super::counting::{ChannelMap, CountingHost, CountingListener};
use super::error::RealSocketsError;
use super::plan::FleetPlan;
use super::protocol::{DiscoveryPlan, DiscoveryReady, Reply, Request, ServerAddresses, StubCounts};
use super::worker::{RequestReceiver, reply};

/// The system host of the stubs.
const SYSTEM_HOST: SystemHost = SystemHost { program: "chalksill" };
/// The number under which stubs know all hollow nodes together.
const HOLLOW_NODES: NodeIndex = 0;
/// The number under which stubs know all real nodes together.
const REAL_NODES: NodeIndex = 1;
/// Any free port.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// One host for each kind of node, so that their traffic is counted separately.
struct Hosts {
    hollow: CountingHost<SystemHost>,
    real: CountingHost<SystemHost>,
}

impl Hosts {
    fn new() -> Hosts {
        let map = || ChannelMap { discovery: None, agreement_port: 0, real_nodes: Rc::new([]) };
        Hosts { hollow: CountingHost::new(SYSTEM_HOST, map()), real: CountingHost::new(SYSTEM_HOST, map()) }
    }

    fn counts(&self) -> StubCounts {
        StubCounts { hollow: self.hollow.counts(), real: self.real.counts() }
    }

    async fn listen(&self) -> Result<Listeners, RealSocketsError> {
        self.listen_at(&ServerAddresses { hollow: ANY_PORT, real: ANY_PORT }).await
    }

    async fn listen_at(&self, at: &ServerAddresses) -> Result<Listeners, RealSocketsError> {
        let failed = |e: std::io::Error| RealSocketsError::Worker(format!("cannot listen: {e}"));
        let hollow = self.hollow.listen(at.hollow).await.map_err(failed)?;
        let real = self.real.listen(at.real).await.map_err(failed)?;
        Ok(Listeners { hollow, real })
    }
}

/// One listener for each kind of node.
struct Listeners {
    hollow: CountingListener<SystemHost>,
    real: CountingListener<SystemHost>,
}

impl Listeners {
    fn addresses(&self) -> Result<ServerAddresses, RealSocketsError> {
        let failed = |e: std::io::Error| RealSocketsError::Worker(e.to_string());
        let hollow = self.hollow.local_addr().map_err(failed)?;
        Ok(ServerAddresses { hollow, real: self.real.local_addr().map_err(failed)? })
    }
}

/// Runs all cache servers and the origin until the process ends.
///
/// # Errors
/// A socket cannot be opened.
pub(super) async fn serve_cache_servers(
    plan: FleetPlan,
    mut requests: RequestReceiver,
) -> Result<(), RealSocketsError> {
    let fleet = Fleet::new(plan.world_scenario()?, plan.seed, Observer::starting_now());
    let hosts = Hosts::new();
    let origin = plan.size.cache_servers as usize;
    let mut addresses = Vec::new();
    for number in 0..origin {
        let listeners = hosts.listen().await?;
        addresses.push(listeners.addresses()?);
        let cache = CacheServer::new(&fleet, number, 0, false);
        fleet.observer.record(ObservedEvent::CacheServerStarted {
            server: number,
            started_ms: 0,
            capacity: cache.capacity(),
            cold: false,
        });
        fleet.add_cache_server(number, cache.clone());
        spawn_local(cache.clone().serve::<CountingHost<SystemHost>>(listeners.hollow, |_| HOLLOW_NODES));
        spawn_local(cache.serve::<CountingHost<SystemHost>>(listeners.real, |_| REAL_NODES));
    }
    let listeners = hosts.listen().await?;
    addresses.push(listeners.addresses()?);
    let origin_stub = Origin::new(&fleet, origin);
    spawn_local(origin_stub.clone().serve::<CountingHost<SystemHost>>(listeners.hollow, |_| HOLLOW_NODES));
    spawn_local(origin_stub.serve::<CountingHost<SystemHost>>(listeners.real, |_| REAL_NODES));
    fleet.warm_caches(&(0..origin).collect::<Vec<_>>());
    reply(&Reply::CacheServersReady(addresses));
    loop {
        match requests.next().await {
            Request::Count => reply(&Reply::StubCounts(hosts.counts())),
            Request::Restart { .. } => {
                return Err(RealSocketsError::Worker("cache servers cannot be restarted".into()));
            }
        }
    }
}

/// Runs discovery until the process ends.
///
/// # Errors
/// A socket cannot be opened.
pub(super) async fn serve_discovery(
    plan: DiscoveryPlan,
    mut requests: RequestReceiver,
) -> Result<(), RealSocketsError> {
    let fleet = Fleet::new(plan.fleet.world_scenario()?, plan.fleet.seed, Observer::starting_now());
    let hosts = Hosts::new();
    let discovery = Discovery::new(&fleet, members(&plan));
    let listeners = hosts.listen().await?;
    let at = listeners.addresses()?;
    let mut serving = serve_lists(&discovery, listeners);
    reply(&Reply::DiscoveryReady(DiscoveryReady {
        hollow: at.hollow,
        real: at.real,
        known_hollow: discovery.known_list(HOLLOW_NODES),
        known_real: discovery.known_list(REAL_NODES),
    }));
    spawn_local(change_list(discovery.clone(), plan.fleet.size.changes_per_s));
    loop {
        match requests.next().await {
            Request::Count => reply(&Reply::StubCounts(hosts.counts())),
            Request::Restart { down_ms } => {
                serving.abort();
                sleep(Duration::from_millis(down_ms)).await;
                serving = serve_lists(&discovery, hosts.listen_at(&at).await?);
                reply(&Reply::Restarted { at_ms: SYSTEM_HOST.unix_time().as_millis() as u64 });
            }
        }
    }
}

/// Serves the list. Aborting the returned handle also closes all connections.
fn serve_lists(discovery: &Rc<Discovery>, listeners: Listeners) -> AbortHandle {
    let local = LocalSet::new();
    local
        .spawn_local(discovery.clone().serve::<CountingHost<SystemHost>>(listeners.hollow, |_| HOLLOW_NODES));
    local.spawn_local(discovery.clone().serve::<CountingHost<SystemHost>>(listeners.real, |_| REAL_NODES));
    spawn_local(local).abort_handle()
}

fn members(plan: &DiscoveryPlan) -> BTreeMap<usize, Member> {
    let zones = plan.fleet.size.configured_zones() as usize;
    let origin = plan.servers.len().saturating_sub(1);
    let member = |(number, server): (usize, &ServerAddresses)| {
        let member = Member {
            id: format!("s-{number:04}"),
            addresses: vec![server.hollow, server.real],
            zone: number % zones,
            is_origin: number == origin,
            phase: Phase::Ready,
            started_ms: 0,
        };
        (number, member)
    };
    plan.servers.iter().enumerate().map(member).collect()
}

/// Changes an entry of the list at this rate: sets one server after another to draining, and back to ready
/// with the next change.
async fn change_list(discovery: Rc<Discovery>, changes_per_s: f64) {
    let servers = discovery.ready_servers();
    if changes_per_s <= 0.0 || servers.is_empty() {
        return pending().await;
    }
    let interval = Duration::from_secs_f64(1.0 / changes_per_s);
    let mut next_change = Instant::now();
    for change in 0.. {
        next_change += interval;
        sleep_until(next_change).await;
        let number = servers[change / 2 % servers.len()];
        if let Some(mut member) = discovery.member(number) {
            member.phase = if change % 2 == 0 { Phase::Draining } else { Phase::Ready };
            discovery.update_after(number, member, Duration::ZERO);
        }
    }
}
