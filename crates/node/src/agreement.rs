//! The way of the accord: datagrams between members, on a socket of its own, and what the node tells and is told. It is there
//! only where the operator's file switches it on; without it no socket is opened and nothing is sent.

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
use crate::operator::Accord as Settings;

/// Between two looks of the decider at what all members see.
const PLANS: Duration = Duration::from_millis(100);
/// Where this part of a zone's attempts (of 255) is silent, the decider is asked, and told, more often.
const HURRY: u8 = 80;
/// The longest that the node sleeps over the accord.
const LONGEST: Duration = Duration::from_millis(250);
/// Between two tries to have the address while another process of this node has it.
const ADDRESS: Duration = Duration::from_millis(100);
/// As often people are told of an order of theirs that still stands: it may have been forgotten.
const REMIND: Duration = Duration::from_secs(600);

/// What it wants of the node.
#[derive(Default)]
pub struct Wanted {
    /// Keys' orders are taken so from now on.
    pub pool: Option<ZoneRouting>,
    /// Clients are to go elsewhere from now on, or may come again.
    pub away: Option<bool>,
    /// Lines for people.
    pub lines: Vec<String>,
}

/// This node as a member.
pub struct Agreement<H: Host> {
    member: Member,
    /// Its address; while another process of this node has it, this one takes no part.
    socket: Rc<OnceCell<H::Datagrams>>,
    takes_part: bool,
    inbox: AbortHandle,
    members: Arc<[SocketAddr]>,
    me: MemberId,
    figures: mothpier_plan::Tuning,
    zones: Vec<String>,
    start: Instant,
    planner: Option<Planner>,
    plans_at: Instant,
    acts_on: Plan,
    /// This node's own zone.
    zone: Option<usize>,
    orders: ZoneOrders,
    /// What this node does by itself about zones that it can't reach and the plan keeps.
    own: Planner,
    apart: Vec<bool>,
    /// By zone, the order that people were last told of, and when.
    told: Vec<(Option<OrderKind>, Instant)>,
    /// What the module was last told of each zone, and whether clients were told to go elsewhere.
    opened: Vec<f64>,
    away: bool,
}

impl<H: Host> Drop for Agreement<H> {
    fn drop(&mut self) {
        self.inbox.abort();
    }
}

/// Takes the address, as soon as it can be had, and hears members.
async fn hear<H: Host>(
    host: H,
    listen: SocketAddr,
    socket: Rc<OnceCell<H::Datagrams>>,
    members: Arc<[SocketAddr]>,
    events: mpsc::Sender<Input>,
) {
    while socket.get().is_none() {
        sleep(ADDRESS).await;
        if let Ok(opened) = host.datagrams(listen).await {
            host.log(format_args!("accord: this process takes part from now on"));
            // Before any message: the node must not take one for a member that has not begun.
            let _ = events.send(Input::Joins).await;
            let _ = socket.set(opened);
        }
    }
    let Some(socket) = socket.get() else { return };
    let mut buffer = [0; mothpier_accord::MAX_MESSAGE_BYTES + 1];
    loop {
        let (length, sender) = mothpier_host::receiving::receive_with_backoff(socket, &mut buffer).await;
        let Some(member) = members.iter().position(|a| *a == sender) else { continue };
        if let Ok(message) = Message::decode(&buffer[..length]) {
            // One that finds the queue full is dropped, as it might have been on its way.
            let _ = events.try_send(Input::Member { from: member as MemberId, message });
        }
        tokio::task::yield_now().await;
    }
}

impl<H: Host> Agreement<H> {
    /// Opens the socket and begins to listen; `None` where it is switched off. Datagrams of strangers, and what is no message,
    /// are dropped. Where another process of this node may have the address, it is tried for until it is free.
    ///
    /// # Errors
    /// A socket that can't be opened.
    pub async fn open(
        host: &H,
        (settings, shared): (&Settings, bool),
        (me, seed): (u32, u64),
        (zones, zone): (Vec<String>, Option<u8>),
        events: mpsc::Sender<Input>,
    ) -> Result<Option<Agreement<H>>, String> {
        let Some(listen) = settings.listen.filter(|_| settings.on) else { return Ok(None) };
        let socket = Rc::new(OnceCell::new());
        let opened = mothpier_host::opening::datagrams_with_retry(host, listen, shared).await;
        let takes_part = opened.is_ok();
        match opened {
            Ok(opened) => drop(socket.set(opened)),
            Err(e) if shared => host.log(format_args!(
                "accord: cannot open {listen}: {e}: this process takes part when the other has ended"
            )),
            Err(e) => return Err(format!("cannot open {listen}: {e}")),
        }
        let inbox = hear(host.clone(), listen, socket.clone(), settings.members.clone(), events);
        let timing = Timing::default();
        let config = Config { me: me as MemberId, voters: settings.voters.clone(), timing };
        let (start, site_zones) = (Instant::now(), zones.len());
        // A seed is new with each start; a life is never 0, which stands for none.
        let life = (seed ^ (seed >> 32)) as u32 | 1;
        Ok(Some(Agreement {
            member: Member::start(config, life, 0),
            socket,
            takes_part,
            inbox: tokio::task::spawn_local(inbox).abort_handle(),
            members: settings.members.clone(),
            me: me as MemberId,
            figures: settings.plan.clone(),
            told: vec![(None, start); zones.len()],
            zones,
            start,
            planner: None,
            plans_at: start,
            acts_on: Plan::default(),
            zone: zone.map(usize::from),
            orders: ZoneOrders::default(),
            own: Planner::for_single_node(&settings.plan, site_zones, 0),
            apart: vec![false; site_zones],
            opened: Vec::new(),
            away: false,
        }))
    }

    /// The address is this process's from now on. What it was as a member begins only here: until a moment ago another process
    /// voted under this number, and what that one has granted has to run out first.
    pub fn begin(&mut self) {
        if !std::mem::replace(&mut self.takes_part, true) {
            self.member = self.member.restarted(self.now());
        }
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// How long until it has something to do by itself.
    pub fn wait(&self) -> Duration {
        // What comes to a process that takes no part yet comes as an input.
        if !self.takes_part {
            return LONGEST;
        }
        let due = Duration::from_millis(self.member.next_due().saturating_sub(self.now()));
        let plans = match self.planner {
            Some(_) => self.plans_at.saturating_duration_since(Instant::now()),
            None => LONGEST,
        };
        due.min(plans).clamp(Duration::from_millis(1), LONGEST)
    }

    /// Time has gone on.
    pub fn tick(&mut self, near: &mut LocalityController) -> Wanted {
        let mut seen = near.seen().evidence();
        let ordered = self.orders.has_newer_than(&self.acts_on.orders);
        if ordered {
            seen.orders = self.orders.messages(self.now());
        }
        let tells = self.own.evidence_to_report(&seen, &self.acts_on);
        self.member.set_evidence(tells.encode());
        let silent = seen.zones.iter().any(|(_, silent)| *silent >= HURRY);
        self.member.set_urgent(silent || ordered || self.moves());
        let now = self.now();
        // Orders are no matter of its own: they go before all that nodes see.
        self.own.add_evidence(now, self.me, Evidence { orders: Vec::new(), ..seen.clone() });
        self.own.step(now);
        let mut out = Vec::new();
        if !self.takes_part {
            return self.carry_out(out, near);
        }
        self.member.tick(self.now(), &mut out);
        if self.member.leader_ballot().is_some() && Instant::now() >= self.plans_at {
            self.plans_at = Instant::now() + PLANS;
            let now = self.now();
            if let Some(planner) = &mut self.planner {
                planner.add_evidence(now, self.me, tells);
                let plan = planner.step(now).encode();
                self.member.set_plan(now, plan, &mut out);
                if let Some((number, _)) = self.member.applied_plan() {
                    planner.plan_published(self.me, number.sequence);
                }
            }
        }
        self.carry_out(out, near)
    }

    /// Whether some zone is on its way; one that staff keep out, and that has no keys left, is not.
    fn moves(&self) -> bool {
        let plan = &self.acts_on;
        let rests = |zone: usize| plan.open_share(zone) == 0.0 && plan.active_order(zone).is_some();
        plan.zones.iter().enumerate().any(|(zone, z)| z.state != ZoneState::Serving && !rests(zone))
    }

    /// Staff order something of a zone at this node.
    pub fn order(&mut self, wish: ZoneOrder, near: &mut LocalityController) -> Wanted {
        let now = self.now();
        match self.orders.issue(now, self.me, wish, self.zones.len()) {
            Ok(()) => self.tick(near),
            Err(why) => Wanted {
                lines: vec![format!("accord: staff's order is not taken: {why}")],
                ..Wanted::default()
            },
        }
    }

    /// A message of a member has come.
    pub fn told(&mut self, from: MemberId, message: Message, near: &mut LocalityController) -> Wanted {
        let mut out = Vec::new();
        self.member.handle(self.now(), from, message, &mut out);
        self.carry_out(out, near)
    }

    fn carry_out(&mut self, out: Vec<Effect>, near: &mut LocalityController) -> Wanted {
        let mut wanted = Wanted::default();
        let mut effects = VecDeque::from(out);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Send(to, message) => {
                    let address = self.members.get(usize::from(to));
                    if let (Some(bytes), Some(address), Some(socket)) =
                        (message.encode(), address, self.socket.get())
                    {
                        // One that can't go at once is lost.
                        let _ = socket.try_send_to(&bytes, *address);
                    }
                }
                Effect::ApplyPlan(number, bytes) => {
                    let Ok(plan) = Plan::decode(&bytes) else {
                        wanted.lines.push(format!(
                            "accord: plan {} of node {} can't be read, and is not acted on",
                            number.sequence, number.term.voter
                        ));
                        continue;
                    };
                    if plan.describe(&self.zones) != self.acts_on.describe(&self.zones) {
                        let (round, voter, what) =
                            (number.term.round, number.term.voter, plan.describe(&self.zones));
                        let number = number.sequence;
                        wanted.lines.push(format!("accord: plan {round}.{number} of node {voter}: {what}"));
                    }
                    let now = self.now();
                    self.orders.merge(now, &plan.orders, self.zones.len());
                    self.acts_on = plan;
                }
                Effect::DropPlan => {
                    wanted.lines.push("accord: nothing heard for too long: no plan is acted on".into());
                    self.acts_on = Plan::default();
                }
                Effect::BecameLeader(ballot) => {
                    wanted
                        .lines
                        .push(format!("accord: this node decides from now on (round {})", ballot.round));
                    let (zones, now) = (self.zones.len(), self.now());
                    let learns_until = self.member.recovery_ends().unwrap_or(now);
                    let figures = self.figures.clone();
                    self.planner =
                        Some(Planner::for_new_leader(figures, zones, &self.acts_on, (now, learns_until)));
                }
                Effect::SteppedDown => {
                    wanted.lines.push("accord: this node no longer decides".into());
                    self.planner = None;
                }
                Effect::PlanApplied(from, sequence) => {
                    if let Some(planner) = &mut self.planner {
                        planner.plan_applied(from, sequence);
                    }
                }
                Effect::RecoveredPlan(bytes) => effects.extend(self.learn(&bytes)),
                Effect::Evidence(from, bytes) => {
                    let now = self.now();
                    if let (Some(planner), Ok(evidence)) = (&mut self.planner, Evidence::decode(&bytes)) {
                        // What this node knows of orders lives on in the plan when it has ceased to decide.
                        self.orders.merge(now, &evidence.orders, self.zones.len());
                        planner.add_evidence(now, from, evidence);
                    }
                }
            }
        }
        self.obey(&mut wanted, near);
        wanted
    }

    /// An earlier decider's plan, which this node goes on from: all are told of it at once.
    fn learn(&mut self, bytes: &[u8]) -> Vec<Effect> {
        let (mut out, now) = (Vec::new(), self.now());
        if let (Some(planner), Ok(plan)) = (&mut self.planner, Plan::decode(bytes))
            && planner.adopt_predecessor_plan(now, &plan)
        {
            self.member.set_plan(now, planner.plan(now).encode(), &mut out);
        }
        out
    }

    /// The part of its keys that goes to each zone: as the plan says, and without one as staff have ordered. A plan of somebody who
    /// has yet to hear of an order, or who begins anew with its steps, gives no keys back to what staff keep out.
    fn opens(&self) -> Vec<f64> {
        let planned = self.member.applied_plan().is_some();
        let own = self.own.plan(self.now());
        let one = |zone: usize| {
            let planned_open = if planned { self.acts_on.open_share(zone) } else { 1.0 };
            let open = planned_open.min(own.open_share(zone));
            match self.orders.active(zone, self.now()) {
                Some((how, _)) if how.is_out() && !planned => 0.0,
                Some((how, _)) if how.is_out() => open.min(self.opened.get(zone).copied().unwrap_or(1.0)),
                Some((OrderKind::KeepIn, _)) => planned_open,
                _ => open,
            }
        };
        (0..self.zones.len()).map(one).collect()
    }

    /// Whether clients are to leave this node. Where all zones are drained none is: somebody has to serve.
    fn leaves(&self) -> bool {
        let drained =
            |z: usize| self.orders.active(z, self.now()).is_some_and(|(how, _)| how == OrderKind::Drain);
        self.zone.is_some_and(drained) && !(0..self.zones.len()).all(drained)
    }

    /// Does what has changed by plans, by orders, or by time alone, and tells people of orders.
    fn obey(&mut self, wanted: &mut Wanted, near: &mut LocalityController) {
        let open = self.opens();
        if open != self.opened {
            wanted.pool = Some(near.act_on(open.clone()));
            self.opened = open;
        }
        let own = self.own.plan(self.now());
        for (zone, apart) in self.apart.iter_mut().enumerate() {
            let now = own.zones.get(zone).is_some_and(|z| z.state == ZoneState::GivenUp);
            if std::mem::replace(apart, now) != now {
                let name = &self.zones[zone];
                wanted.lines.push(match now {
                    true => format!("accord: this node has no way to {name} and leaves it by itself"),
                    false => format!("accord: this node has a way to {name} again"),
                });
            }
        }
        let leaves = self.leaves();
        if std::mem::replace(&mut self.away, leaves) != leaves {
            wanted.away = Some(leaves);
        }
        let now = self.now();
        for (zone, (told, at)) in self.told.iter_mut().enumerate() {
            let order = self.orders.active(zone, now);
            let how = order.map(|(how, _)| how);
            if how == *told && (how.is_none() || at.elapsed() < REMIND) {
                continue;
            }
            let (name, by) = (&self.zones[zone], self.orders.issued_by(zone).unwrap_or_default());
            let still = if how == *told { "still " } else { "" };
            let what = match order {
                None => "no longer kept in or out by staff: what nodes see decides".into(),
                Some((how, left)) => {
                    let kept = match how {
                        OrderKind::KeepIn => "kept in",
                        OrderKind::Drain => "kept out, its clients sent elsewhere,",
                        _ => "kept out",
                    };
                    format!("{kept} by staff for {} s more (ordered at node {by})", left.div_ceil(1000))
                }
            };
            wanted.lines.push(format!("accord: {name} is {still}{what}"));
            (*told, *at) = (how, Instant::now());
        }
    }

    /// What holds, for the board: by zone whether staff keep it out, and all of it as a value.
    pub fn status(&self) -> (Vec<bool>, serde_json::Value) {
        let now = self.now();
        let plan = self.member.applied_plan().map(|(number, _)| {
            let heard = now.saturating_sub(self.member.confirmed_at().unwrap_or(now));
            serde_json::json!({
                "round": number.term.round, "node": number.term.voter, "sequence": number.sequence,
                "heard_ms": heard, "says": self.acts_on.describe(&self.zones),
            })
        });
        let orders: Vec<_> = (0..self.zones.len()).map(|z| self.orders.active(z, now)).collect();
        let zones = self.zones.iter().enumerate().map(|(z, name)| {
            let planned = self.acts_on.zones.get(z).map_or("serving", |zone| zone.state.as_str());
            let order = orders[z].map(|(how, left)| {
                let left_s = left.div_ceil(1000);
                serde_json::json!({"how": how.as_str(), "left_s": left_s, "node": self.orders.issued_by(z)})
            });
            let why = self.planner.as_ref().and_then(|p| p.vote_counts(z));
            let why = why.map(|(lost, well)| serde_json::json!({"lost": lost, "well": well}));
            let open = self.opened.get(z).copied().unwrap_or(1.0);
            serde_json::json!({"zone": name, "planned": planned, "open": open, "order": order, "seen": why})
        });
        let status = serde_json::json!({
            "decides": self.member.leader_ballot().is_some(), "plan": plan, "away": self.away,
            "zones": zones.collect::<Vec<_>>(),
        });
        let out = orders.iter().map(|o| o.is_some_and(|(how, _)| how.is_out())).collect();
        (out, status)
    }
}
