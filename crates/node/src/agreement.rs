//! Transport and integration of the agreement among nodes: datagrams between members on a separate socket,
//! and the exchange with the node. Exists only if the operator's file enables it; otherwise no socket is
//! opened and nothing is sent.

use std::cell::OnceCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use brassrouter::ZoneRouting;
use mothpier_accord::{Config, Effect, Member, MemberId, Message, Millis, Timing};
use mothpier_host::{Datagrams, Host};
use mothpier_plan::{Evidence, OrderKind, Plan, Planner, ZoneOrder, ZoneOrders, ZoneState};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

use crate::input::Input;
use crate::locality::LocalityController;
use crate::operator::AgreementConfig;

/// Interval at which the leader evaluates the evidence of all members.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Share of a zone's attempts (of 255) without a response from which the exchange with the leader is
/// accelerated.
const URGENT_UNANSWERED_SHARE: u8 = 80;
/// Maximum time between two calls of [`Agreement::tick`].
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Interval between attempts to open the address while another process of this node owns it.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of log reminders of an operator's order that is still in force, since it may have been forgotten.
const ORDER_REMINDER_INTERVAL: Duration = Duration::from_secs(600);

/// Changes that the node has to apply.
#[derive(Default)]
pub struct AgreementChanges {
    /// New routing of keys to zones.
    pub routing: Option<ZoneRouting>,
    /// Whether clients must leave this node, if that has changed.
    pub clients_leave: Option<bool>,
    /// Lines for the log.
    pub log_lines: Vec<String>,
}

/// This node as a member of the agreement.
pub struct Agreement<H: Host> {
    member: Member,
    /// Empty while another process of this node owns the address; this process does not participate then.
    socket: Rc<OnceCell<H::Datagrams>>,
    participates: bool,
    receive_task: AbortHandle,
    members: Arc<[SocketAddr]>,
    own_id: MemberId,
    tuning: mothpier_plan::Tuning,
    zones: Vec<String>,
    start: Instant,
    planner: Option<Planner>,
    next_plan_at: Instant,
    active_plan: Plan,
    /// This node's own zone.
    own_zone: Option<usize>,
    orders: ZoneOrders,
    /// Decides about zones that this node alone cannot reach and that the plan keeps in service.
    local_planner: Planner,
    abandoned_zones: Vec<bool>,
    /// By zone, the order that was logged last, and when.
    logged_orders: Vec<(Option<OrderKind>, Instant)>,
    /// By zone, the share of keys that the module was given last.
    key_shares: Vec<f64>,
    clients_leave: bool,
}

impl<H: Host> Drop for Agreement<H> {
    fn drop(&mut self) {
        self.receive_task.abort();
    }
}

/// Opens the address as soon as it is free, and receives the messages of members.
async fn receive_messages<H: Host>(
    host: H,
    listen: SocketAddr,
    socket: Rc<OnceCell<H::Datagrams>>,
    members: Arc<[SocketAddr]>,
    events: mpsc::Sender<Input>,
) {
    while socket.get().is_none() {
        sleep(OPEN_RETRY_INTERVAL).await;
        if let Ok(datagrams) = host.datagrams(listen).await {
            host.log(format_args!("accord: this process now takes part"));
            // Sent before any message: the node must not handle one for a member that has not started.
            let _ = events.send(Input::JoinAgreement).await;
            let _ = socket.set(datagrams);
        }
    }
    let Some(socket) = socket.get() else { return };
    let mut buffer = [0; mothpier_accord::MAX_MESSAGE_BYTES + 1];
    loop {
        let (length, sender) = mothpier_host::receiving::receive_with_backoff(socket, &mut buffer).await;
        let Some(member) = members.iter().position(|a| *a == sender) else { continue };
        if let Ok(message) = Message::decode(&buffer[..length]) {
            // Dropped if the queue is full, as any datagram may be.
            let _ = events.try_send(Input::AgreementMessage { from: member as MemberId, message });
        }
        tokio::task::yield_now().await;
    }
}

impl<H: Host> Agreement<H> {
    /// Opens the socket and starts to receive; `None` if the agreement is disabled. Datagrams from unknown
    /// senders and invalid ones are dropped. If another process of this node may own the address, opening is
    /// retried until it is free.
    ///
    /// # Errors
    /// The socket cannot be opened.
    pub async fn open(
        host: &H,
        (settings, shared): (&AgreementConfig, bool),
        (own_id, seed): (u32, u64),
        (zones, own_zone): (Vec<String>, Option<u8>),
        events: mpsc::Sender<Input>,
    ) -> Result<Option<Agreement<H>>, String> {
        let Some(listen) = settings.listen.filter(|_| settings.on) else { return Ok(None) };
        let socket = Rc::new(OnceCell::new());
        let result = mothpier_host::opening::datagrams_with_retry(host, listen, shared).await;
        let participates = result.is_ok();
        match result {
            Ok(datagrams) => drop(socket.set(datagrams)),
            Err(e) if shared => host.log(format_args!(
                "accord: cannot open {listen}: {e}: this process takes part after its predecessor has ended"
            )),
            Err(e) => return Err(format!("cannot open {listen}: {e}")),
        }
        let receive_task =
            receive_messages(host.clone(), listen, socket.clone(), settings.members.clone(), events);
        let timing = Timing::default();
        let config = Config { me: own_id as MemberId, voters: settings.voters.clone(), timing };
        let (start, zone_count) = (Instant::now(), zones.len());
        // The seed differs at each start. Incarnation 0 stands for none.
        let incarnation = (seed ^ (seed >> 32)) as u32 | 1;
        Ok(Some(Agreement {
            member: Member::start(config, incarnation, 0),
            socket,
            participates,
            receive_task: tokio::task::spawn_local(receive_task).abort_handle(),
            members: settings.members.clone(),
            own_id: own_id as MemberId,
            tuning: settings.plan.clone(),
            logged_orders: vec![(None, start); zones.len()],
            zones,
            start,
            planner: None,
            next_plan_at: start,
            active_plan: Plan::default(),
            own_zone: own_zone.map(usize::from),
            orders: ZoneOrders::default(),
            local_planner: Planner::for_single_node(&settings.plan, zone_count, 0),
            abandoned_zones: vec![false; zone_count],
            key_shares: Vec::new(),
            clients_leave: false,
        }))
    }

    /// Starts as a member now that this process owns the address. Until a moment ago another process voted
    /// under the same index, and what that one has granted must expire first.
    pub fn join(&mut self) {
        if !std::mem::replace(&mut self.participates, true) {
            self.member = self.member.restarted(self.now());
        }
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// Time until the agreement has work to do.
    pub fn wait(&self) -> Duration {
        // A process that does not participate yet is woken by an input.
        if !self.participates {
            return MAX_WAIT;
        }
        let until_member_due = Duration::from_millis(self.member.next_due().saturating_sub(self.now()));
        let until_next_plan = match self.planner {
            Some(_) => self.next_plan_at.saturating_duration_since(Instant::now()),
            None => MAX_WAIT,
        };
        until_member_due.min(until_next_plan).clamp(Duration::from_millis(1), MAX_WAIT)
    }

    /// Advances the agreement to the present time.
    pub fn tick(&mut self, locality: &mut LocalityController) -> AgreementChanges {
        let mut evidence = locality.evidence().evidence();
        let has_new_orders = self.orders.has_newer_than(&self.active_plan.orders);
        if has_new_orders {
            evidence.orders = self.orders.messages(self.now());
        }
        let report = self.local_planner.evidence_to_report(&evidence, &self.active_plan);
        self.member.set_evidence(report.encode());
        let is_unanswered = evidence.zones.iter().any(|(_, share)| *share >= URGENT_UNANSWERED_SHARE);
        self.member.set_urgent(is_unanswered || has_new_orders || self.has_zone_in_transition());
        let now = self.now();
        // Orders apply before any evidence, so the local decision ignores them.
        self.local_planner.add_evidence(
            now,
            self.own_id,
            Evidence { orders: Vec::new(), ..evidence.clone() },
        );
        self.local_planner.step(now);
        let mut effects = Vec::new();
        if !self.participates {
            return self.apply_effects(effects, locality);
        }
        self.member.tick(self.now(), &mut effects);
        if self.member.leader_ballot().is_some() && Instant::now() >= self.next_plan_at {
            self.next_plan_at = Instant::now() + PLAN_INTERVAL;
            let now = self.now();
            if let Some(planner) = &mut self.planner {
                planner.add_evidence(now, self.own_id, report);
                let plan = planner.step(now).encode();
                self.member.set_plan(now, plan, &mut effects);
                if let Some((number, _)) = self.member.applied_plan() {
                    planner.plan_published(self.own_id, number.sequence);
                }
            }
        }
        self.apply_effects(effects, locality)
    }

    /// Whether a zone is in transition; one without keys that the operator keeps out is not.
    fn has_zone_in_transition(&self) -> bool {
        let plan = &self.active_plan;
        let is_kept_out = |zone: usize| plan.open_share(zone) == 0.0 && plan.active_order(zone).is_some();
        plan.zones.iter().enumerate().any(|(zone, z)| z.state != ZoneState::Serving && !is_kept_out(zone))
    }

    /// The operator has given an order about a zone at this node.
    pub fn give_order(&mut self, order: ZoneOrder, locality: &mut LocalityController) -> AgreementChanges {
        let now = self.now();
        match self.orders.issue(now, self.own_id, order, self.zones.len()) {
            Ok(()) => self.tick(locality),
            Err(reason) => AgreementChanges {
                log_lines: vec![format!("accord: operator's order rejected: {reason}")],
                ..AgreementChanges::default()
            },
        }
    }

    /// Handles a message from a member.
    pub fn handle_message(
        &mut self,
        from: MemberId,
        message: Message,
        locality: &mut LocalityController,
    ) -> AgreementChanges {
        let mut effects = Vec::new();
        self.member.handle(self.now(), from, message, &mut effects);
        self.apply_effects(effects, locality)
    }

    fn apply_effects(
        &mut self,
        new_effects: Vec<Effect>,
        locality: &mut LocalityController,
    ) -> AgreementChanges {
        let mut changes = AgreementChanges::default();
        let mut effects = VecDeque::from(new_effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Send(to, message) => {
                    let address = self.members.get(usize::from(to));
                    if let (Some(bytes), Some(address), Some(socket)) =
                        (message.encode(), address, self.socket.get())
                    {
                        // A message that cannot be sent at once is lost.
                        let _ = socket.try_send_to(&bytes, *address);
                    }
                }
                Effect::ApplyPlan(number, bytes) => {
                    let Ok(plan) = Plan::decode(&bytes) else {
                        changes.log_lines.push(format!(
                            "accord: ignoring unreadable plan {} of node {}",
                            number.sequence, number.term.voter
                        ));
                        continue;
                    };
                    if plan.describe(&self.zones) != self.active_plan.describe(&self.zones) {
                        let (round, voter, description) =
                            (number.term.round, number.term.voter, plan.describe(&self.zones));
                        let number = number.sequence;
                        changes
                            .log_lines
                            .push(format!("accord: plan {round}.{number} of node {voter}: {description}"));
                    }
                    let now = self.now();
                    self.orders.merge(now, &plan.orders, self.zones.len());
                    self.active_plan = plan;
                }
                Effect::DropPlan => {
                    changes.log_lines.push("accord: nothing heard for too long: no plan is acted on".into());
                    self.active_plan = Plan::default();
                }
                Effect::BecameLeader(ballot) => {
                    changes
                        .log_lines
                        .push(format!("accord: this node decides from now on (round {})", ballot.round));
                    let (zones, now) = (self.zones.len(), self.now());
                    let recovery_ends = self.member.recovery_ends().unwrap_or(now);
                    let tuning = self.tuning.clone();
                    self.planner =
                        Some(Planner::for_new_leader(tuning, zones, &self.active_plan, (now, recovery_ends)));
                }
                Effect::SteppedDown => {
                    changes.log_lines.push("accord: this node no longer decides".into());
                    self.planner = None;
                }
                Effect::PlanApplied(from, sequence) => {
                    if let Some(planner) = &mut self.planner {
                        planner.plan_applied(from, sequence);
                    }
                }
                Effect::RecoveredPlan(bytes) => effects.extend(self.adopt_plan(&bytes)),
                Effect::Evidence(from, bytes) => {
                    let now = self.now();
                    if let (Some(planner), Ok(evidence)) = (&mut self.planner, Evidence::decode(&bytes)) {
                        // The orders remain in force after this node has ceased to be the leader, since the
                        // plan contains them.
                        self.orders.merge(now, &evidence.orders, self.zones.len());
                        planner.add_evidence(now, from, evidence);
                    }
                }
            }
        }
        self.apply_changes(&mut changes, locality);
        changes
    }

    /// Adopts the plan of an earlier leader, and publishes it at once.
    fn adopt_plan(&mut self, bytes: &[u8]) -> Vec<Effect> {
        let (mut effects, now) = (Vec::new(), self.now());
        if let (Some(planner), Ok(plan)) = (&mut self.planner, Plan::decode(bytes))
            && planner.adopt_predecessor_plan(now, &plan)
        {
            self.member.set_plan(now, planner.plan(now).encode(), &mut effects);
        }
        effects
    }

    /// The share of its keys that goes to each zone: by the plan, or without one by the operator's orders. A
    /// plan by a leader that has not received an order yet, or that restarts its steps, returns no keys to a
    /// zone that the operator keeps out.
    fn compute_key_shares(&self) -> Vec<f64> {
        let has_plan = self.member.applied_plan().is_some();
        let local_plan = self.local_planner.plan(self.now());
        let share_of = |zone: usize| {
            let planned_share = if has_plan { self.active_plan.open_share(zone) } else { 1.0 };
            let share = planned_share.min(local_plan.open_share(zone));
            match self.orders.active(zone, self.now()) {
                Some((kind, _)) if kind.is_out() && !has_plan => 0.0,
                Some((kind, _)) if kind.is_out() => {
                    share.min(self.key_shares.get(zone).copied().unwrap_or(1.0))
                }
                Some((OrderKind::KeepIn, _)) => planned_share,
                _ => share,
            }
        };
        (0..self.zones.len()).map(share_of).collect()
    }

    /// Whether clients must leave this node. If all zones are drained none does, since some node has to
    /// serve.
    fn must_clients_leave(&self) -> bool {
        let is_drained = |zone: usize| {
            self.orders.active(zone, self.now()).is_some_and(|(kind, _)| kind == OrderKind::Drain)
        };
        self.own_zone.is_some_and(is_drained) && !(0..self.zones.len()).all(is_drained)
    }

    /// Applies changes caused by plans, orders or the passage of time, and logs orders.
    fn apply_changes(&mut self, changes: &mut AgreementChanges, locality: &mut LocalityController) {
        let key_shares = self.compute_key_shares();
        if key_shares != self.key_shares {
            changes.routing = Some(locality.apply_plan(key_shares.clone()));
            self.key_shares = key_shares;
        }
        let local_plan = self.local_planner.plan(self.now());
        for (zone, was_abandoned) in self.abandoned_zones.iter_mut().enumerate() {
            let is_abandoned = local_plan.zones.get(zone).is_some_and(|z| z.state == ZoneState::GivenUp);
            if std::mem::replace(was_abandoned, is_abandoned) != is_abandoned {
                let name = &self.zones[zone];
                changes.log_lines.push(match is_abandoned {
                    true => format!("accord: this node cannot reach {name} and stops using it on its own"),
                    false => format!("accord: this node can reach {name} again"),
                });
            }
        }
        let must_leave = self.must_clients_leave();
        if std::mem::replace(&mut self.clients_leave, must_leave) != must_leave {
            changes.clients_leave = Some(must_leave);
        }
        let now = self.now();
        for (zone, (logged_kind, logged_at)) in self.logged_orders.iter_mut().enumerate() {
            let order = self.orders.active(zone, now);
            let kind = order.map(|(kind, _)| kind);
            if kind == *logged_kind && (kind.is_none() || logged_at.elapsed() < ORDER_REMINDER_INTERVAL) {
                continue;
            }
            let (name, issuer) = (&self.zones[zone], self.orders.issued_by(zone).unwrap_or_default());
            let still = if kind == *logged_kind { "still " } else { "" };
            let description = match order {
                None => "no longer kept in or out by order: the observations of nodes decide".into(),
                Some((kind, remaining_ms)) => {
                    let kept = match kind {
                        OrderKind::KeepIn => "kept in",
                        OrderKind::Drain => "kept out, its clients sent elsewhere,",
                        _ => "kept out",
                    };
                    format!(
                        "{kept} by the operator for {} s more (ordered at node {issuer})",
                        remaining_ms.div_ceil(1000)
                    )
                }
            };
            changes.log_lines.push(format!("accord: {name} is {still}{description}"));
            (*logged_kind, *logged_at) = (kind, Instant::now());
        }
    }

    /// Status for the operator: by zone whether it is kept out by order, and the full status as JSON.
    pub fn status(&self) -> (Vec<bool>, serde_json::Value) {
        let now = self.now();
        let plan = self.member.applied_plan().map(|(number, _)| {
            let confirmed_ms_ago = now.saturating_sub(self.member.confirmed_at().unwrap_or(now));
            serde_json::json!({
                "round": number.term.round, "node": number.term.voter, "sequence": number.sequence,
                "heard_ms": confirmed_ms_ago, "says": self.active_plan.describe(&self.zones),
            })
        });
        let orders: Vec<_> = (0..self.zones.len()).map(|z| self.orders.active(z, now)).collect();
        let zones = self.zones.iter().enumerate().map(|(z, name)| {
            let planned = self.active_plan.zones.get(z).map_or("serving", |zone| zone.state.as_str());
            let order = orders[z].map(|(kind, remaining_ms)| {
                let left_s = remaining_ms.div_ceil(1000);
                serde_json::json!({"how": kind.as_str(), "left_s": left_s, "node": self.orders.issued_by(z)})
            });
            let observed = self.planner.as_ref().and_then(|p| p.vote_counts(z));
            let observed = observed.map(|(lost, well)| serde_json::json!({"lost": lost, "well": well}));
            let open = self.key_shares.get(z).copied().unwrap_or(1.0);
            serde_json::json!({"zone": name, "planned": planned, "open": open, "order": order, "seen": observed})
        });
        let status = serde_json::json!({
            "decides": self.member.leader_ballot().is_some(), "plan": plan, "away": self.clients_leave,
            "zones": zones.collect::<Vec<_>>(),
        });
        let kept_out = orders.iter().map(|o| o.is_some_and(|(kind, _)| kind.is_out())).collect();
        (kept_out, status)
    }
}
