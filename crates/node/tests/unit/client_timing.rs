use super::*;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// An idle connection while few are open.
const IDLE: LimitConditions =
    LimitConditions { newcomer: false, idle: true, crowded: false, awaits_value: false };

#[test]
fn no_limit_while_replies_are_pending() {
    let now = Instant::now();
    for newcomer in [false, true] {
        let conditions = LimitConditions { newcomer, idle: false, ..IDLE };
        assert_eq!(Limits::of(&Progress::new(now), conditions, now).earliest(), None);
    }
}

#[test]
fn idle_connection_closes_when_crowded_and_else_is_checked_again() {
    let start = Instant::now();
    let progress = Progress::new(start);
    let next =
        |conditions, after| Limits::of(&progress, conditions, start + after).earliest().unwrap() - start;
    assert_eq!(next(IDLE, ms(0)), ms(2100));
    assert_eq!(next(IDLE, ms(2099)), ms(2100));
    assert_eq!(next(IDLE, ms(2100)), ms(2350));
    assert_eq!(next(IDLE, ms(9900)), ms(10_000));
    assert_eq!(next(LimitConditions { crowded: true, ..IDLE }, ms(5000)), ms(2100));
}

#[test]
fn first_command_and_rest_of_a_command_have_limits() {
    let start = Instant::now();
    let mut progress = Progress::new(start);
    progress.last_active_at = start + ms(2000);
    let newcomer = LimitConditions { newcomer: true, ..IDLE };
    assert_eq!(Limits::of(&progress, newcomer, start).first_command, Some(start + ms(2600)));
    progress.command_started_at = Some(start + ms(500));
    let limits = Limits::of(&progress, newcomer, start);
    assert_eq!((limits.first_command, limits.idle), (None, None));
    assert_eq!(limits.rest_of_command, Some(start + ms(3100)));
    let in_value = LimitConditions { awaits_value: true, ..newcomer };
    assert_eq!(
        Limits::of(&progress, in_value, start).earliest(),
        Some(start + ms(4600)),
        "only the gap between reads is limited"
    );
    progress.last_active_at = start + ms(29_000);
    assert_eq!(
        Limits::of(&progress, in_value, start).earliest(),
        Some(start + ms(30_500)),
        "but so is the value as a whole"
    );
}

#[test]
fn earliest_limit_comes_first_and_passed_limit_is_late() {
    let start = Instant::now();
    let progress = Progress::new(start);
    let newcomer = LimitConditions { newcomer: true, ..IDLE };
    let limits = Limits::of(&progress, newcomer, start);
    assert_eq!(
        limits.earliest(),
        Some(start + ms(2100)),
        "the idle limit comes before that of the first command"
    );
    assert!(!limits.first_command_is_late() && !limits.rest_of_command_is_late());
    let long_ago = Progress::new(start - ms(2600));
    assert!(Limits::of(&long_ago, newcomer, start).first_command_is_late());
    let mut partial = Progress::new(start);
    partial.command_started_at = Some(start - ms(2600));
    assert!(Limits::of(&partial, newcomer, start).rest_of_command_is_late());
}

#[test]
fn activity_depends_on_reads_and_earlier_commands() {
    let mut progress = Progress::new(Instant::now());
    assert_eq!((progress.activity(true), progress.activity(false)), (Activity::Starting, Activity::Idle));
    progress.record_read();
    progress.record_partial_command();
    assert_eq!((progress.activity(true), progress.activity(false)), (Activity::Starting, Activity::Starting));
    progress.record_read();
    progress.record_partial_command();
    assert_eq!((progress.activity(true), progress.activity(false)), (Activity::Writing, Activity::Writing));
    progress.command_complete();
    assert_eq!((progress.activity(true), progress.activity(false)), (Activity::Starting, Activity::Idle));
    assert!(!progress.has_partial_command() && !progress.is_idle_too_long());
}
