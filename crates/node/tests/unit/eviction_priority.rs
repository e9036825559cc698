use super::*;

#[test]
fn who_shows_nothing_goes_first_then_who_rests_and_slow_writers_only_for_want_of_room() {
    use Activity::*;
    let ms = Duration::from_millis;
    for (activity, idle, no_room, expected) in [
        (Starting, ms(19), true, None),
        (Idle, ms(19), true, None),
        (Starting, ms(20), false, None),
        (Starting, ms(20), true, Some(EvictionPriority::MayBeStarting)),
        (Starting, ms(299), false, None),
        (Starting, ms(300), false, Some(EvictionPriority::Stalled)),
        (Writing, ms(999), false, None),
        (Writing, ms(999), true, Some(EvictionPriority::MayBeStarting)),
        (Writing, ms(1000), false, Some(EvictionPriority::Stalled)),
        (Idle, ms(20), false, Some(EvictionPriority::Idle)),
        (Idle, ms(5000), false, Some(EvictionPriority::Idle)),
    ] {
        assert_eq!(
            eviction_priority(activity, idle, no_room),
            expected,
            "{activity:?} for {idle:?}, no room: {no_room}"
        );
    }
    assert!(
        EvictionPriority::Stalled < EvictionPriority::Idle
            && EvictionPriority::Idle < EvictionPriority::MayBeStarting
    );
}
