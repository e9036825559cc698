//! The part that is never leased goes round all nodes, and its sum holds for every reading of the clock within the guard.

use mothpier_allowance::{Budget, Node, Permits, Rotation, Source, Timing};

const WINDOW: u64 = 1_000;
const CALL: u64 = 5_000;
const GUARD: u64 = 500;

fn rotation(places: u32, outstanding: u32, calls: u32) -> Option<Rotation> {
    Rotation::new(places, Permits { outstanding, calls }, WINDOW, CALL, GUARD)
}

#[test]
fn the_parts_of_an_allowance_never_sum_up_to_more_than_it() {
    for outstanding in [0, 1, 3, 80, 13_200] {
        for unleased in [0, 2, 79, 20_000] {
            for rotating in [0, 1, 250, 999, 1_000, 5_000] {
                let whole = Permits { outstanding, calls: outstanding * 3 };
                let unleased = Permits { outstanding: unleased, calls: unleased };
                let budget = Budget::divide(whole, unleased, rotating);
                assert_eq!(budget.leased.plus(budget.rotating), whole.less(unleased));
            }
        }
    }
}

#[test]
fn in_each_slot_so_many_places_have_a_turn_as_the_permits_say_and_each_place_in_its_round() {
    let rotation = rotation(660, 7, 40).expect("enough for a turn");
    let slot = 2 * CALL + 2 * GUARD;
    let mut turns = [0u32; 660];
    for number in 0..rotation.round() / slot {
        let shared = number * slot;
        let with_turn: Vec<u32> = (0..660).filter(|p| rotation.turn(*p, shared).is_some()).collect();
        assert_eq!(with_turn.len(), 7);
        let calls: u32 = with_turn.iter().filter_map(|p| rotation.turn(*p, shared)).map(|t| t.calls).sum();
        assert!(2 * calls <= 40, "a window meets two slots: {calls} calls in each");
        with_turn.iter().for_each(|place| turns[*place as usize] += 1);
    }
    assert!(turns.iter().all(|turns| (1..=2).contains(turns)), "{turns:?}");
}

#[test]
fn a_place_beyond_the_ring_has_no_turn_and_too_small_an_allowance_has_none_for_anyone() {
    let all = rotation(10, 10, 20).expect("enough for a turn");
    assert!(all.turn(9, 0).is_some());
    assert_eq!(all.turn(10, 0), None);
    assert_eq!(all.turn(u32::MAX, u64::MAX / 2), None);
    assert_eq!(rotation(10, 0, 20), None);
    assert_eq!(rotation(10, 1, 1), None);
    assert_eq!(rotation(0, 1, 2), None);
}

#[test]
fn a_node_that_reaches_nobody_calls_in_its_turns_alone_one_call_at_a_time() {
    let timing = Timing::default();
    let rotation = rotation(3, 1, 4).expect("enough for a turn");
    let mut node = Node::start(1, 1, timing, (1, Some(rotation)), (0, 0));
    let wanted = Permits { outstanding: 4, calls: 4 };
    let (mut begun, mut call) = (Vec::new(), 0);
    for time in (0..rotation.round() * 3).step_by(100) {
        node.tick(time, wanted);
        call += 1;
        if let Some(permit) = node.begin((time, time), call, 2_000) {
            assert_eq!(permit.source, Source::Turn);
            begun.push(time);
        }
    }
    let slot = 2 * CALL + 2 * GUARD;
    // Its first turn began with slot 1, after it started; two calls in each.
    let expected: Vec<u64> =
        (0..3).flat_map(|round| [0, 2_000].map(|later| (round * 3 + 1) * slot + GUARD + later)).collect();
    assert_eq!(begun, expected);
}

#[test]
fn of_two_processes_that_are_one_node_neither_has_a_turn_while_both_may_run() {
    let rotation = rotation(1, 1, 4).expect("enough for a turn");
    let mut node = Node::start(0, 1, Timing::default(), (1, Some(rotation)), (0, 0));
    let slot = 2 * CALL + 2 * GUARD;
    let at = |number: u64| (number * slot + GUARD, number * slot + GUARD);
    assert!(node.begin(at(2), 1, 1_000).is_some());
    node.set_alone(at(3).1, false);
    assert_eq!(node.begin(at(3), 2, 1_000), None);
    node.set_alone(at(4).1, true);
    assert_eq!(node.begin(at(4), 3, 1_000), None, "the other may have used this slot");
    assert!(node.begin(at(5), 4, 1_000).is_some());
}
