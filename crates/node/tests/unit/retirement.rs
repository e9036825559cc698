use super::*;

/// The longest deadline of the node under test.
const LONGEST_DEADLINE: Duration = Duration::from_secs(6);
/// How long a process may be delayed between reading its clock and writing.
const MAX_DELAY: Duration = Duration::from_millis(150);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A connection that was opened and answered long before, and is idle.
fn idle(announced_at: Instant) -> ConnectionSnapshot {
    ConnectionSnapshot {
        accepted_at: announced_at - ms(5000),
        has_sent_command: true,
        has_partial_command: false,
        has_pending_replies: false,
        awaits_node: false,
        reads_commands: true,
        last_replied_at: Some(announced_at - ms(3000)),
        last_received_at: announced_at - ms(3000),
        taking: ReplyTaking::default(),
    }
}

fn announced_at() -> Instant {
    Instant::now() + Duration::from_secs(3600)
}

/// The actions for a connection at these times after the announcement, in milliseconds.
fn actions(plan: RetirementPlan, snapshot: ConnectionSnapshot, times: &[u64]) -> Vec<RetirementAction> {
    times.iter().map(|time| plan.action(&snapshot, plan.announced_at + ms(*time))).collect()
}

#[test]
fn drain_closes_answered_then_idle_then_unused_connections() {
    let announced_at = announced_at();
    let plan = RetirementPlan::drain(announced_at, LONGEST_DEADLINE);
    use RetirementAction::*;
    assert_eq!(actions(plan, idle(announced_at), &[0, 1199, 1200, 1800]), [Keep, Keep, CloseIfIdle, Close]);
    let answered = ConnectionSnapshot { last_replied_at: Some(announced_at + ms(300)), ..idle(announced_at) };
    assert_eq!(actions(plan, answered, &[300, 1700, 1800]), [CloseIfIdle, CloseIfIdle, Close]);
    let before = ConnectionSnapshot { last_replied_at: Some(announced_at + ms(299)), ..idle(announced_at) };
    assert_eq!(actions(plan, before, &[300, 1199]), [Keep, Keep]);
    let unused = ConnectionSnapshot { has_sent_command: false, last_replied_at: None, ..idle(announced_at) };
    assert_eq!(actions(plan, unused, &[1200, 1799, 1800]), [Keep, Keep, Close]);
    let late = ConnectionSnapshot { accepted_at: announced_at + ms(3000), ..unused };
    assert_eq!(actions(plan, late, &[3000, 3499, 3500]), [Keep, Keep, Close]);
}

#[test]
fn incomplete_command_fails_and_later_command_is_refused() {
    let announced_at = announced_at();
    let plan = RetirementPlan::drain(announced_at, LONGEST_DEADLINE);
    let partial = ConnectionSnapshot { has_partial_command: true, ..idle(announced_at) };
    assert_eq!(
        actions(plan, partial, &[1700, 1800, 3900]),
        [RetirementAction::Keep, RetirementAction::FailPartialCommand, RetirementAction::FailPartialCommand]
    );
    let ended = ConnectionSnapshot { has_pending_replies: true, reads_commands: false, ..partial };
    assert_eq!(actions(plan, ended, &[1800, 3900]), [RetirementAction::Keep, RetirementAction::Keep]);
    assert!(!plan.refuses(true, announced_at + ms(1799)));
    assert!(plan.refuses(true, announced_at + ms(1800)) && plan.refuses(false, announced_at + ms(1800)));
    // Before the end of the process, only requests behind an open one are refused at first.
    let plan = RetirementPlan::stop(announced_at, LONGEST_DEADLINE);
    assert!(plan.refuses(true, announced_at + ms(3350)) && !plan.refuses(false, announced_at + ms(3350)));
    assert!(!plan.refuses(true, announced_at + ms(3349)) && plan.refuses(false, announced_at + ms(3500)));
}

#[test]
fn drain_keeps_open_requests_unless_input_is_recent() {
    let announced_at = announced_at();
    let plan = RetirementPlan::drain(announced_at, LONGEST_DEADLINE);
    let open = ConnectionSnapshot {
        has_pending_replies: true,
        awaits_node: true,
        last_received_at: announced_at + ms(1799),
        ..idle(announced_at)
    };
    assert_eq!(actions(plan, open, &[1800, 3600, 4000, 17_799]), [RetirementAction::Keep; 4]);
    assert_eq!(actions(plan, open, &[17_800]), [RetirementAction::Disconnect]);
    let recent = ConnectionSnapshot { last_received_at: announced_at + ms(1800), ..open };
    assert_eq!(actions(plan, recent, &[3599, 3600]), [RetirementAction::Keep, RetirementAction::FailOpen]);
    let failed = ConnectionSnapshot { awaits_node: false, reads_commands: false, ..recent };
    assert_eq!(actions(plan, failed, &[3600]), [RetirementAction::Keep]);
    let taking = ReplyTaking::default();
    let at = |last_received_at, large| plan.write_until(last_received_at, large, taking) - announced_at;
    assert_eq!(at(Some(announced_at + ms(1799)), false), ms(17_800));
    assert_eq!(at(Some(announced_at + ms(1800)), false), ms(3750));
    assert_eq!(at(None, false), ms(3750));
    assert_eq!(at(None, true), ms(17_800), "a value being relayed continues");
}

#[test]
fn drain_is_complete_after_four_seconds_despite_delays() {
    let announced_at = announced_at();
    let plan = RetirementPlan::drain(announced_at, LONGEST_DEADLINE);
    // Delayed when the drain was announced, and again when it acts.
    assert!(plan.disconnect_failed + MAX_DELAY <= announced_at + ms(4000));
    assert!(plan.fail + MAX_DELAY + MAX_DELAY <= announced_at + ms(4000));
    // Requests that the node accepts were sent before the last two seconds.
    assert!(plan.last_command + MAX_DELAY <= announced_at + ms(2000));
}

#[test]
fn process_end_precedes_earliest_sigkill() {
    let announced_at = announced_at();
    for (longest, kill) in
        [(ms(50), ms(750)), (ms(2500), ms(3200)), (ms(3000), ms(3700)), (LONGEST_DEADLINE, ms(3700))]
    {
        for plan in
            [RetirementPlan::stop(announced_at, longest), RetirementPlan::hand_over(announced_at, longest)]
        {
            assert_eq!(plan.disconnect_all + ms(100), announced_at + kill);
            let partial = ConnectionSnapshot {
                has_partial_command: true,
                last_received_at: announced_at + kill,
                ..idle(announced_at)
            };
            let open = ConnectionSnapshot { has_pending_replies: true, awaits_node: true, ..partial };
            let unused =
                ConnectionSnapshot { has_sent_command: false, last_replied_at: None, ..idle(announced_at) };
            let last = plan.disconnect_all - ms(100);
            assert_eq!(plan.action(&partial, last), RetirementAction::FailPartialCommand);
            assert_eq!(plan.action(&open, last), RetirementAction::FailOpen);
            assert_eq!(plan.action(&unused, last), RetirementAction::Close);
            let states = [partial, open, unused, idle(announced_at)];
            assert!(
                states.iter().all(
                    |snapshot| plan.action(snapshot, plan.disconnect_all) == RetirementAction::Disconnect
                )
            );
            // A value that is relayed goes on: the platform may kill the process later.
            let taking = ReplyTaking::default();
            assert_eq!(plan.write_until(None, true, taking), plan.disconnect_all + LARGE_VALUE_GRACE);
            assert_eq!(plan.end_of_writing(), plan.disconnect_all + LARGE_VALUE_GRACE);
            assert!(plan.write_until(None, false, taking) <= plan.disconnect_all);
        }
    }
}

#[test]
fn handover_closes_connections_behind_replies_at_once() {
    let announced_at = announced_at();
    let plan = RetirementPlan::hand_over(announced_at, LONGEST_DEADLINE);
    let answered = ConnectionSnapshot { last_replied_at: Some(announced_at), ..idle(announced_at) };
    assert_eq!(actions(plan, answered, &[0]), [RetirementAction::CloseIfIdle]);
    assert_eq!(
        actions(plan, idle(announced_at), &[649, 650]),
        [RetirementAction::Keep, RetirementAction::CloseIfIdle]
    );
}

/// Guards against ready replies that are dropped because a large value before them outlasted the end of the process.
#[test]
fn replies_are_written_beyond_the_end_as_long_as_the_client_takes_them() {
    let announced_at = announced_at();
    let plan = RetirementPlan::stop(announced_at, LONGEST_DEADLINE);
    let after = |milliseconds| plan.disconnect_all + ms(milliseconds);
    let taking = ReplyTaking { taken_at: Some(after(2000)), large_value_ended_at: Some(after(2000)) };
    let open = ConnectionSnapshot { has_pending_replies: true, taking, ..idle(announced_at) };
    assert_eq!(plan.action(&open, after(2000)), RetirementAction::FailOpen);
    let failed = ConnectionSnapshot { reads_commands: false, ..open };
    assert_eq!(plan.action(&failed, after(4999)), RetirementAction::Keep);
    assert_eq!(plan.next_change(&failed, after(4999)), after(5000));
    assert_eq!(plan.action(&failed, after(5000)), RetirementAction::Disconnect);
    assert_eq!(plan.write_until(None, false, taking), after(5000));
    let written = ConnectionSnapshot { has_pending_replies: false, ..failed };
    assert_eq!(plan.action(&written, after(2000)), RetirementAction::Close);
    let at_last = ReplyTaking { taken_at: Some(after(9900)), ..taking };
    assert_eq!(plan.write_until(None, false, at_last), plan.end_of_writing());
}

/// Four seconds after a drain a connection with a recent request may be open only because of a large value.
#[test]
fn a_drain_is_put_off_by_replies_only_behind_a_large_value() {
    let announced_at = announced_at();
    let plan = RetirementPlan::drain(announced_at, LONGEST_DEADLINE);
    let taken_at = Some(announced_at + ms(3700));
    let alone = ReplyTaking { taken_at, large_value_ended_at: None };
    assert_eq!(plan.write_until(None, false, alone), announced_at + ms(3750));
    let behind = ReplyTaking {
        taken_at: Some(announced_at + ms(8000)),
        large_value_ended_at: Some(announced_at + ms(8000)),
    };
    assert_eq!(plan.write_until(None, false, behind), announced_at + ms(11_000));
    let earlier = ReplyTaking { taken_at, large_value_ended_at: Some(announced_at + ms(3700)) };
    assert_eq!(plan.write_until(None, false, earlier), announced_at + ms(3750));
}

/// Every combination of connection states.
fn every_snapshot(announced_at: Instant) -> impl Iterator<Item = ConnectionSnapshot> {
    (0..64u32).flat_map(move |bits| {
        let bit = move |place: u32| bits & (1 << place) != 0;
        [0, 200, 1700, 1900, 3500].into_iter().map(move |time| ConnectionSnapshot {
            accepted_at: if bit(0) { announced_at + ms(time) } else { announced_at - ms(5000) },
            has_sent_command: bit(1),
            has_partial_command: bit(2),
            has_pending_replies: bit(3),
            awaits_node: bit(3) && bit(4),
            reads_commands: bit(5),
            last_replied_at: bit(1).then_some(announced_at + ms(time)),
            last_received_at: announced_at + ms(time),
            taking: ReplyTaking::default(),
        })
    })
}

#[test]
fn every_connection_state_reaches_its_end() {
    let announced_at = announced_at();
    let drain = Some(RetirementPlan::drain(announced_at, LONGEST_DEADLINE));
    for end in [
        None,
        Some(RetirementPlan::stop(announced_at + ms(1200), LONGEST_DEADLINE)),
        Some(RetirementPlan::hand_over(announced_at + ms(300), ms(50))),
    ] {
        let plans = RetirementPlans { drain, end };
        let closed_by = plans.disconnect_all_at().unwrap();
        for snapshot in every_snapshot(announced_at) {
            let mut now = announced_at;
            let mut checks = 0;
            while plans.action(&snapshot, now).0 == RetirementAction::Keep {
                let next = plans.next_change(&snapshot, now).expect("a plan is active");
                assert!(next > now, "{snapshot:?} at {:?}", now - announced_at);
                assert!(next <= closed_by, "{snapshot:?} stays open beyond the end");
                (now, checks) = (next, checks + 1);
                assert!(checks < 10, "{snapshot:?}");
            }
            assert!(now <= closed_by);
        }
    }
}

#[test]
fn stricter_plan_applies_and_undrain_keeps_end_plan() {
    let announced_at = announced_at();
    let drain = RetirementPlan::drain(announced_at, LONGEST_DEADLINE);
    let end = RetirementPlan::stop(announced_at + ms(3900), LONGEST_DEADLINE);
    let both = RetirementPlans { drain: Some(drain), end: Some(end) };
    let now = announced_at + ms(1800);
    assert_eq!(
        both.action(&idle(announced_at), now),
        (RetirementAction::Close, Some(RetirementCause::Drain))
    );
    let undrained = RetirementPlans { drain: None, ..both };
    assert_eq!(undrained.action(&idle(announced_at), now).0, RetirementAction::Keep);
    assert_eq!(
        undrained.action(&idle(announced_at), announced_at + ms(4500)),
        (RetirementAction::CloseIfIdle, Some(RetirementCause::Stop))
    );
    assert_eq!(RetirementPlans::default().action(&idle(announced_at), now), (RetirementAction::Keep, None));
    assert_eq!(RetirementPlans::default().next_change(&idle(announced_at), now), None);
}
