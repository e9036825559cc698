//! The part that is never leased rotates over all nodes, and its sum holds for every error of the clock
//! within the guard.

use mothpier_allowance::{Budget, Node, Permits, Rotation, Source, Timing};

const WINDOW: u64 = 1_000;
const LONGEST_CALL: u64 = 5_000;
const GUARD: u64 = 500;

fn rotation(positions: u32, outstanding: u32, calls: u32) -> Option<Rotation> {
    Rotation::new(positions, Permits { outstanding, calls }, WINDOW, LONGEST_CALL, GUARD)
}

#[test]
fn the_parts_of_an_allowance_add_up_to_the_whole() {
    for outstanding in [0, 1, 3, 80, 13_200] {
        for unleased in [0, 2, 79, 20_000] {
            for rotating in [0, 1, 250, 999, 1_000, 5_000] {
                let whole = Permits { outstanding, calls: outstanding * 3 };
                let unleased = Permits { outstanding: unleased, calls: unleased };
                let budget = Budget::split(whole, unleased, rotating);
                assert_eq!(budget.leased.plus(budget.rotating), whole.minus(unleased));
            }
        }
    }
}

#[test]
fn each_slot_has_as_many_turns_as_permitted_and_each_position_has_one_in_a_cycle() {
    let rotation = rotation(660, 7, 40).expect("enough for a turn");
    let slot_length = 2 * LONGEST_CALL + 2 * GUARD;
    let mut turns = [0u32; 660];
    for number in 0..rotation.cycle_duration() / slot_length {
        let shared = number * slot_length;
        let with_turn: Vec<u32> = (0..660).filter(|p| rotation.turn(*p, shared).is_some()).collect();
        assert_eq!(with_turn.len(), 7);
        let calls: u32 = with_turn.iter().filter_map(|p| rotation.turn(*p, shared)).map(|t| t.calls).sum();
        assert!(2 * calls <= 40, "a window overlaps two slots: {calls} calls in each");
        with_turn.iter().for_each(|position| turns[*position as usize] += 1);
    }
    assert!(turns.iter().all(|turns| (1..=2).contains(turns)), "{turns:?}");
}

#[test]
fn a_position_beyond_the_ring_has_no_turn_and_a_too_small_allowance_has_no_turns() {
    let all = rotation(10, 10, 20).expect("enough for a turn");
    assert!(all.turn(9, 0).is_some());
    assert_eq!(all.turn(10, 0), None);
    assert_eq!(all.turn(u32::MAX, u64::MAX / 2), None);
    assert_eq!(rotation(10, 0, 20), None);
    assert_eq!(rotation(10, 1, 1), None);
    assert_eq!(rotation(0, 1, 2), None);
}

#[test]
fn an_isolated_node_calls_only_in_its_turns_one_call_at_a_time() {
    let timing = Timing::default();
    let rotation = rotation(3, 1, 4).expect("enough for a turn");
    let mut node = Node::start(1, 1, timing, (1, Some(rotation)), (0, 0));
    let wanted = Permits { outstanding: 4, calls: 4 };
    let (mut started, mut call) = (Vec::new(), 0);
    for now in (0..rotation.cycle_duration() * 3).step_by(100) {
        node.tick(now, wanted);
        call += 1;
        if let Some(permit) = node.begin_call((now, now), call, 2_000) {
            assert_eq!(permit.source, Source::Turn);
            started.push(now);
        }
    }
    let slot_length = 2 * LONGEST_CALL + 2 * GUARD;
    // Its first turn began with slot 1, after it started; two calls in each.
    let expected: Vec<u64> = (0..3)
        .flat_map(|round| [0, 2_000].map(|later| (round * 3 + 1) * slot_length + GUARD + later))
        .collect();
    assert_eq!(started, expected);
}

#[test]
fn two_processes_of_one_node_have_no_turn_while_both_may_run() {
    let rotation = rotation(1, 1, 4).expect("enough for a turn");
    let mut node = Node::start(0, 1, Timing::default(), (1, Some(rotation)), (0, 0));
    let slot_length = 2 * LONGEST_CALL + 2 * GUARD;
    let at = |number: u64| (number * slot_length + GUARD, number * slot_length + GUARD);
    assert!(node.begin_call(at(2), 1, 1_000).is_some());
    node.set_sole_process(at(3).1, false);
    assert_eq!(node.begin_call(at(3), 2, 1_000), None);
    node.set_sole_process(at(4).1, true);
    assert_eq!(node.begin_call(at(4), 3, 1_000), None, "the other may have used this slot");
    assert!(node.begin_call(at(5), 4, 1_000).is_some());
}
