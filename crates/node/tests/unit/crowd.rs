use super::*;

#[test]
fn who_shows_nothing_goes_first_then_who_rests_and_slow_writers_only_for_want_of_room() {
    use Activity::*;
    let ms = Duration::from_millis;
    for (activity, idle, no_room, expected) in [
        (Begins, ms(19), true, None),
        (Rests, ms(19), true, None),
        (Begins, ms(20), false, None),
        (Begins, ms(20), true, Some(Turn::MayAsk)),
        (Begins, ms(299), false, None),
        (Begins, ms(300), false, Some(Turn::Stalled)),
        (Writes, ms(999), false, None),
        (Writes, ms(999), true, Some(Turn::MayAsk)),
        (Writes, ms(1000), false, Some(Turn::Stalled)),
        (Rests, ms(20), false, Some(Turn::Rests)),
        (Rests, ms(5000), false, Some(Turn::Rests)),
    ] {
        assert_eq!(turn(activity, idle, no_room), expected, "{activity:?} for {idle:?}, no room: {no_room}");
    }
    assert!(Turn::Stalled < Turn::Rests && Turn::Rests < Turn::MayAsk);
}
