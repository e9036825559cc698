use super::*;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A connection that rests, of many that don't.
const RESTING: Situation = Situation { newcomer: false, idle: true, crowded: false, misses_value: false };

#[test]
fn nothing_limits_a_connection_that_is_owed_an_answer() {
    let now = Instant::now();
    for newcomer in [false, true] {
        let situation = Situation { newcomer, idle: false, ..RESTING };
        assert_eq!(Limits::of(&Progress::new(now), situation, now).next(), None);
    }
}

#[test]
fn one_that_rests_goes_when_it_is_crowded_and_else_is_looked_at_again() {
    let start = Instant::now();
    let progress = Progress::new(start);
    let next = |situation, after| Limits::of(&progress, situation, start + after).next().unwrap() - start;
    assert_eq!(next(RESTING, ms(0)), ms(2100));
    assert_eq!(next(RESTING, ms(2099)), ms(2100));
    assert_eq!(next(RESTING, ms(2100)), ms(2350));
    assert_eq!(next(RESTING, ms(9900)), ms(10_000));
    assert_eq!(next(Situation { crowded: true, ..RESTING }, ms(5000)), ms(2100));
}

#[test]
fn a_newcomer_has_its_time_for_a_first_command_and_everybody_for_the_rest_of_one() {
    let start = Instant::now();
    let mut progress = Progress::new(start);
    progress.active = start + ms(2000);
    let newcomer = Situation { newcomer: true, ..RESTING };
    assert_eq!(Limits::of(&progress, newcomer, start).first_command, Some(start + ms(2600)));
    progress.begun = Some(start + ms(500));
    let limits = Limits::of(&progress, newcomer, start);
    assert_eq!((limits.first_command, limits.rest), (None, None));
    assert_eq!(limits.rest_of_command, Some(start + ms(3100)));
    let in_value = Situation { misses_value: true, ..newcomer };
    assert_eq!(Limits::of(&progress, in_value, start).next(), Some(start + ms(4600)), "it need only go on");
    progress.active = start + ms(29_000);
    assert_eq!(Limits::of(&progress, in_value, start).next(), Some(start + ms(30_500)), "but not for ever");
}

#[test]
fn the_nearest_limit_comes_first_and_one_that_has_passed_is_late() {
    let start = Instant::now();
    let progress = Progress::new(start);
    let newcomer = Situation { newcomer: true, ..RESTING };
    let limits = Limits::of(&progress, newcomer, start);
    assert_eq!(
        limits.next(),
        Some(start + ms(2100)),
        "rests, and is looked at before its first command is late"
    );
    assert!(!limits.first_command_is_late() && !limits.rest_of_command_is_late());
    let long_ago = Progress::new(start - ms(2600));
    assert!(Limits::of(&long_ago, newcomer, start).first_command_is_late());
    let mut begun = Progress::new(start);
    begun.begun = Some(start - ms(2600));
    assert!(Limits::of(&begun, newcomer, start).rest_of_command_is_late());
}

#[test]
fn what_a_connection_does_is_told_by_its_pieces_and_by_whether_it_has_asked() {
    let mut progress = Progress::new(Instant::now());
    assert_eq!((progress.activity(true), progress.activity(false)), (Activity::Starting, Activity::Idle));
    progress.piece_arrived();
    progress.command_begun();
    assert_eq!((progress.activity(true), progress.activity(false)), (Activity::Starting, Activity::Starting));
    progress.piece_arrived();
    progress.command_begun();
    assert_eq!((progress.activity(true), progress.activity(false)), (Activity::Writing, Activity::Writing));
    progress.command_complete();
    assert_eq!((progress.activity(true), progress.activity(false)), (Activity::Starting, Activity::Idle));
    assert!(!progress.has_begun() && !progress.idle_too_long());
}
