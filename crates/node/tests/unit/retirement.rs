use super::*;

/// The longest deadline of the node under test.
const LONGEST: Duration = Duration::from_secs(6);
/// A process may be held up for so long between reading its clock and writing.
const HELD_UP: Duration = Duration::from_millis(150);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A connection that was opened long before, was answered then and rests.
fn resting(told: Instant) -> Standing {
    Standing {
        accepted: told - ms(5000),
        has_asked: true,
        command_begun: false,
        open: false,
        waits: false,
        reads_commands: true,
        answered: Some(told - ms(3000)),
        received: told - ms(3000),
    }
}

fn told() -> Instant {
    Instant::now() + Duration::from_secs(3600)
}

/// What is done with a connection at some times after the retirement was told, milliseconds.
fn acts(plan: Plan, standing: Standing, times: &[u64]) -> Vec<Act> {
    times.iter().map(|time| plan.act(&standing, plan.told + ms(*time))).collect()
}

#[test]
fn a_drain_closes_connections_behind_answers_then_those_that_rest_then_those_that_never_asked() {
    let told = told();
    let plan = Plan::drain(told, LONGEST);
    use Act::*;
    assert_eq!(acts(plan, resting(told), &[0, 1199, 1200, 1800]), [Keep, Keep, CloseUnlessAsked, Close]);
    let answered = Standing { answered: Some(told + ms(300)), ..resting(told) };
    assert_eq!(acts(plan, answered, &[300, 1700, 1800]), [CloseUnlessAsked, CloseUnlessAsked, Close]);
    let before = Standing { answered: Some(told + ms(299)), ..resting(told) };
    assert_eq!(acts(plan, before, &[300, 1199]), [Keep, Keep]);
    let unasked = Standing { has_asked: false, answered: None, ..resting(told) };
    assert_eq!(acts(plan, unasked, &[1200, 1799, 1800]), [Keep, Keep, Close]);
    let late = Standing { accepted: told + ms(3000), ..unasked };
    assert_eq!(acts(plan, late, &[3000, 3499, 3500]), [Keep, Keep, Close]);
}

#[test]
fn a_command_that_has_not_come_whole_is_ended_and_what_comes_whole_later_is_refused() {
    let told = told();
    let plan = Plan::drain(told, LONGEST);
    let begun = Standing { command_begun: true, ..resting(told) };
    assert_eq!(acts(plan, begun, &[1700, 1800, 3900]), [Act::Keep, Act::EndCommand, Act::EndCommand]);
    let ended = Standing { open: true, reads_commands: false, ..begun };
    assert_eq!(acts(plan, ended, &[1800, 3900]), [Act::Keep, Act::Keep]);
    assert!(!plan.refuses(true, told + ms(1799)));
    assert!(plan.refuses(true, told + ms(1800)) && plan.refuses(false, told + ms(1800)));
    // Before the end of the process only what stands behind an open request is refused at first.
    let plan = Plan::stop(told, LONGEST);
    assert!(plan.refuses(true, told + ms(3350)) && !plan.refuses(false, told + ms(3350)));
    assert!(!plan.refuses(true, told + ms(3349)) && plan.refuses(false, told + ms(3500)));
}

#[test]
fn what_a_drain_finds_open_may_go_on_unless_something_came_in_the_last_two_seconds() {
    let told = told();
    let plan = Plan::drain(told, LONGEST);
    let open = Standing { open: true, waits: true, received: told + ms(1799), ..resting(told) };
    assert_eq!(acts(plan, open, &[1800, 3600, 4000, 17_799]), [Act::Keep; 4]);
    assert_eq!(acts(plan, open, &[17_800]), [Act::Cut]);
    let recent = Standing { received: told + ms(1800), ..open };
    assert_eq!(acts(plan, recent, &[3599, 3600]), [Act::Keep, Act::FailOpen]);
    let failed = Standing { waits: false, reads_commands: false, ..recent };
    assert_eq!(acts(plan, failed, &[3600]), [Act::Keep]);
    let at = |received, large| plan.write_until(received, large) - told;
    assert_eq!(at(Some(told + ms(1799)), false), ms(17_800));
    assert_eq!(at(Some(told + ms(1800)), false), ms(3750));
    assert_eq!(at(None, false), ms(3750));
    assert_eq!(at(None, true), ms(17_800), "a value that is passed on goes on");
}

#[test]
fn a_drain_has_taken_hold_at_four_seconds_however_the_process_is_held_up() {
    let told = told();
    let plan = Plan::drain(told, LONGEST);
    // Held up as it was told, and again as it acts.
    assert!(plan.cut_failed + HELD_UP <= told + ms(4000));
    assert!(plan.fail + HELD_UP + HELD_UP <= told + ms(4000));
    // What the node takes on was sent before the last two seconds.
    assert!(plan.last_command + HELD_UP <= told + ms(2000));
}

#[test]
fn the_end_of_a_process_is_over_before_the_earliest_sigkill() {
    let told = told();
    for (longest, kill) in
        [(ms(50), ms(750)), (ms(2500), ms(3200)), (ms(3000), ms(3700)), (LONGEST, ms(3700))]
    {
        for plan in [Plan::stop(told, longest), Plan::hand_over(told, longest)] {
            assert_eq!(plan.cut + ms(100), told + kill);
            let begun = Standing { command_begun: true, received: told + kill, ..resting(told) };
            let open = Standing { open: true, waits: true, ..begun };
            let unasked = Standing { has_asked: false, answered: None, ..resting(told) };
            let last = plan.cut - ms(100);
            assert_eq!(plan.act(&begun, last), Act::EndCommand);
            assert_eq!(plan.act(&open, last), Act::FailOpen);
            assert_eq!(plan.act(&unasked, last), Act::Close);
            let states = [begun, open, unasked, resting(told)];
            assert!(states.iter().all(|standing| plan.act(standing, plan.cut) == Act::Cut));
            assert_eq!(plan.write_until(None, true), plan.cut);
        }
    }
}

#[test]
fn where_another_process_accepts_connections_go_behind_their_answers_at_once() {
    let told = told();
    let plan = Plan::hand_over(told, LONGEST);
    let answered = Standing { answered: Some(told), ..resting(told) };
    assert_eq!(acts(plan, answered, &[0]), [Act::CloseUnlessAsked]);
    assert_eq!(acts(plan, resting(told), &[649, 650]), [Act::Keep, Act::CloseUnlessAsked]);
}

/// Every combination of what a connection may do.
fn every_standing(told: Instant) -> impl Iterator<Item = Standing> {
    (0..64u32).flat_map(move |bits| {
        let bit = move |place: u32| bits & (1 << place) != 0;
        [0, 200, 1700, 1900, 3500].into_iter().map(move |time| Standing {
            accepted: if bit(0) { told + ms(time) } else { told - ms(5000) },
            has_asked: bit(1),
            command_begun: bit(2),
            open: bit(3),
            waits: bit(3) && bit(4),
            reads_commands: bit(5),
            answered: bit(1).then_some(told + ms(time)),
            received: told + ms(time),
        })
    })
}

#[test]
fn whatever_a_connection_does_it_is_looked_at_again_until_it_has_gone_and_never_without_end() {
    let told = told();
    let drain = Some(Plan::drain(told, LONGEST));
    for end in
        [None, Some(Plan::stop(told + ms(1200), LONGEST)), Some(Plan::hand_over(told + ms(300), ms(50)))]
    {
        let plans = Plans { drain, end };
        let cut = plans.cut().unwrap();
        for standing in every_standing(told) {
            let mut now = told;
            let mut looks = 0;
            while plans.act(&standing, now).0 == Act::Keep {
                let next = plans.next(&standing, now).expect("a plan is in force");
                assert!(next > now, "{standing:?} at {:?}", now - told);
                assert!(next <= cut, "{standing:?} is held beyond the end");
                (now, looks) = (next, looks + 1);
                assert!(looks < 10, "{standing:?}");
            }
            assert!(now <= cut);
        }
    }
}

#[test]
fn of_two_plans_the_one_that_does_more_holds_and_an_undrain_leaves_the_end() {
    let told = told();
    let drain = Plan::drain(told, LONGEST);
    let end = Plan::stop(told + ms(3900), LONGEST);
    let both = Plans { drain: Some(drain), end: Some(end) };
    let now = told + ms(1800);
    assert_eq!(both.act(&resting(told), now), (Act::Close, Some(Cause::Drain)));
    let undrained = Plans { drain: None, ..both };
    assert_eq!(undrained.act(&resting(told), now).0, Act::Keep);
    assert_eq!(undrained.act(&resting(told), told + ms(4500)), (Act::CloseUnlessAsked, Some(Cause::Stop)));
    assert_eq!(Plans::default().act(&resting(told), now), (Act::Keep, None));
    assert_eq!(Plans::default().next(&resting(told), now), None);
}
