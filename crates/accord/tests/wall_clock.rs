//! Members whose incarnation number comes from a wall clock that was stepped between two incarnations: whether the
//! number is lower, higher or the same, it neither keeps a member out nor makes anything of its former incarnation
//! count.
#![allow(missing_docs)]

use std::collections::VecDeque;

use mothpier_accord::{Config, Effect, Member, MemberId, Message, Millis, PlanNumber, Timing};

/// The wall clock when the first incarnations start, in milliseconds of a day.
const BEGIN: i64 = 43_200_000;
/// Steps of the wall clock between two incarnations, in milliseconds.
const STEPS: [i64; 4] = [-2_000, 2_000, -3_600_000, 3_600_000];
/// How long a member's process is down between two incarnations.
const DOWN_TIME: Millis = 300;
/// Time for a leader to emerge and for all to receive its plan: all voters abstain first, then campaign in turn.
const SETTLING_TIME: Millis = 8_000;
const VOTERS: [MemberId; 3] = [0, 1, 2];
const MEMBERS: usize = 5;
/// The one-way delay of messages.
const DELAY: Millis = 15;

struct Fleet {
    now: Millis,
    /// When each incarnation began: a process's own clock starts with it.
    started_at: Vec<Millis>,
    members: Vec<Member>,
    net: VecDeque<(Millis, MemberId, MemberId, Message)>,
    /// Plan numbers acted on, with the member, in order.
    applied: Vec<(MemberId, PlanNumber)>,
}

fn start(me: usize, wall: i64) -> Member {
    let config = Config { me: me as MemberId, voters: VOTERS.to_vec(), timing: Timing::default() };
    Member::start(config, wall as u32, 0)
}

impl Fleet {
    fn new() -> Fleet {
        let members = (0..MEMBERS).map(|me| start(me, BEGIN + me as i64)).collect();
        Fleet { now: 0, started_at: vec![0; MEMBERS], members, net: VecDeque::new(), applied: Vec::new() }
    }

    fn carry_out(&mut self, me: usize, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Send(to, message) => {
                    self.net.push_back((self.now + DELAY, me as MemberId, to, message));
                }
                Effect::ApplyPlan(number, _) => self.applied.push((me as MemberId, number)),
                _ => {}
            }
        }
    }

    fn leaders(&self) -> Vec<usize> {
        (0..MEMBERS).filter(|i| self.members[*i].leader_ballot().is_some()).collect()
    }

    /// Runs for a time; whoever leads sets this plan.
    fn run(&mut self, millis: Millis, plan: &[u8]) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            while self.net.front().is_some_and(|(at, ..)| *at <= self.now) {
                let Some((_, from, to, message)) = self.net.pop_front() else { break };
                let (me, mut out) = (usize::from(to), Vec::new());
                let local_time = self.now.saturating_sub(self.started_at[me]);
                // Messages to a process that is down are lost.
                if self.now >= self.started_at[me] {
                    self.members[me].handle(local_time, from, message, &mut out);
                    self.carry_out(me, out);
                }
            }
            for me in 0..MEMBERS {
                if self.now >= self.started_at[me] {
                    let (local_time, mut out) = (self.now - self.started_at[me], Vec::new());
                    self.members[me].tick(local_time, &mut out);
                    self.members[me].set_plan(local_time, plan.to_vec(), &mut out);
                    self.carry_out(me, out);
                }
            }
            assert!(self.leaders().len() <= 1, "{:?} decide at once", self.leaders());
        }
    }

    /// Ends a member's process; it starts again after a step of the wall clock.
    fn restart(&mut self, me: usize, step: i64) {
        self.started_at[me] = self.now + DOWN_TIME;
        self.members[me] = start(me, BEGIN + self.started_at[me] as i64 + step);
    }

    fn all_act_on(&self, plan: &[u8]) -> bool {
        self.members.iter().all(|member| member.applied_plan().is_some_and(|(_, acts_on)| acts_on == plan))
    }
}

#[test]
fn a_member_that_restarts_after_a_step_of_the_wall_clock_takes_part() {
    for step in STEPS {
        for me in 0..MEMBERS {
            let mut fleet = Fleet::new();
            fleet.run(SETTLING_TIME, &[1]);
            assert!(fleet.all_act_on(&[1]), "before");
            // Twice: the clock is stepped and set back.
            for (step, plan) in [(step, [2]), (-step, [3])] {
                let me = if me == 0 { fleet.leaders()[0] } else { me };
                fleet.restart(me, step);
                fleet.run(SETTLING_TIME, &plan);
                assert!(fleet.all_act_on(&plan), "member {me}, a step of {step} ms");
            }
        }
    }
}

#[test]
fn voters_that_all_restart_after_a_step_agree_on_a_higher_number() {
    for step in STEPS {
        let mut fleet = Fleet::new();
        fleet.run(SETTLING_TIME, &[1]);
        let before = fleet.members[3].highest_number();
        VOTERS.iter().for_each(|me| fleet.restart(usize::from(*me), step));
        fleet.run(SETTLING_TIME, &[2]);
        assert!(fleet.all_act_on(&[2]), "a step of {step} ms");
        assert!(fleet.members[3].highest_number() > before, "a step of {step} ms");
        let applied_by_follower: Vec<PlanNumber> =
            fleet.applied.iter().filter(|(me, _)| *me == 3).map(|(_, n)| *n).collect();
        assert!(applied_by_follower.windows(2).all(|w| w[0] < w[1]), "{applied_by_follower:?}");
    }
}

/// In a ballot the round goes before the incarnation: a voter that has promised to the former incarnation reports its
/// round, and the new incarnation campaigns above it.
#[test]
fn a_candidate_with_a_lower_incarnation_campaigns_above_its_former_round() {
    let timing = Timing::default();
    for step in STEPS {
        let mut voter = start(1, BEGIN);
        let (mut former, mut out) = (start(0, BEGIN), Vec::new());
        // It campaigns several times and gets promises: its round is ahead of a new incarnation's first one.
        for i in 0..3 {
            former.start_campaign(timing.grant + i, &mut out);
        }
        let prepares = |out: &[Effect]| -> Vec<Message> {
            let sent = out.iter().filter_map(|e| match e {
                Effect::Send(1, message @ Message::Prepare { .. }) => Some(message.clone()),
                _ => None,
            });
            sent.collect()
        };
        for message in prepares(&out) {
            voter.handle(timing.grant + 5, 0, message, &mut Vec::new());
        }
        let mut candidate = start(0, BEGIN + step);
        let (mut promised, mut tries) = (false, 0);
        let mut now = timing.grant;
        while !promised && tries < 3 {
            let (mut out, mut answers) = (Vec::new(), Vec::new());
            candidate.start_campaign(now, &mut out);
            for message in prepares(&out) {
                voter.handle(now + timing.grant, 0, message, &mut answers);
            }
            for effect in answers {
                if let Effect::Send(_, message) = effect {
                    promised |= matches!(message, Message::Promise { .. });
                    candidate.handle(now, 1, message, &mut Vec::new());
                }
            }
            (now, tries) = (now + timing.retry_interval, tries + 1);
        }
        assert!(promised && tries <= 2, "a step of {step} ms: promised {promised} after {tries} tries");
    }
}
