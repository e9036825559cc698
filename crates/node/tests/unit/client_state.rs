use std::sync::Arc;

use tokio::sync::Semaphore;

use super::*;

fn reservation() -> (Arc<Semaphore>, OwnedSemaphorePermit) {
    let memory = Arc::new(Semaphore::new(8));
    let permit = memory.clone().try_acquire_many_owned(5).unwrap();
    (memory, permit)
}

#[test]
fn a_new_connection_reads_commands_and_misses_nothing_of_one() {
    let state = State::new();
    assert!(state.reads_commands() && state.awaits_commands() && state.takes_bytes());
    assert!(!state.client_has_closed() && !state.misses_value() && !state.has_reservation());
}

#[test]
fn what_is_reserved_for_a_value_goes_with_its_command() {
    let (memory, permit) = reservation();
    let mut state = State::new();
    state.expect_value();
    assert!(state.misses_value() && !state.has_reservation());
    state.reserve(permit);
    state.expect_value();
    assert!(state.has_reservation(), "looking at the value again keeps what is reserved for it");
    let reserved = state.command_complete();
    assert!(!state.misses_value() && !state.has_reservation());
    assert_eq!(memory.available_permits(), 3);
    drop(reserved);
    assert_eq!(memory.available_permits(), 8);
    assert!(state.command_complete().is_none());
}

#[test]
fn a_refused_value_is_discarded_to_its_end_and_not_beyond() {
    let mut state = State::new();
    state.expect_value();
    state.refuse_value(5);
    let mut buffer = BytesMut::from(&b"abc"[..]);
    state.discard_refused(&mut buffer);
    assert!(buffer.is_empty() && state.misses_value());
    buffer.extend_from_slice(b"deNEXT");
    state.discard_refused(&mut buffer);
    assert_eq!(&buffer[..], b"NEXT");
    assert!(!state.misses_value());
    state.discard_refused(&mut buffer);
    assert_eq!(&buffer[..], b"NEXT");
}

#[test]
fn behind_the_last_command_only_so_much_is_read() {
    let mut state = State::new();
    state.discard_bytes(MAX_DISCARDED);
    assert!(state.takes_bytes(), "nothing is discarded while commands are read");
    state.finish();
    assert!(!state.reads_commands() && !state.awaits_commands() && !state.client_has_closed());
    state.discard_bytes(MAX_DISCARDED - 1);
    state.finish();
    assert!(state.takes_bytes());
    state.discard_bytes(1);
    assert!(!state.takes_bytes());
    state.finish();
    assert!(!state.takes_bytes(), "finishing again forgets nothing");
}

#[test]
fn the_rest_of_a_refused_value_is_no_flood() {
    let mut state = State::new();
    state.refuse_value(7);
    state.finish();
    state.discard_bytes(MAX_DISCARDED + 6);
    assert!(state.takes_bytes());
    state.discard_bytes(1);
    assert!(!state.takes_bytes());
}

#[test]
fn a_client_that_has_closed_is_read_no_further_but_for_what_it_had_sent() {
    let mut state = State::new();
    state.expect_value();
    state.hang_up();
    assert!(state.reads_commands() && state.client_has_closed());
    assert!(!state.awaits_commands() && !state.takes_bytes());
    assert!(state.misses_value(), "what was missing still is");
    state.finish();
    assert!(!state.reads_commands() && state.client_has_closed() && !state.takes_bytes());
    state.hang_up();
    state.finish();
    assert!(!state.reads_commands() && state.client_has_closed());
}

#[test]
fn no_transition_leads_back_to_reading() {
    for end in [State::finish, State::hang_up] {
        let mut state = State::new();
        end(&mut state);
        state.expect_head();
        state.expect_value();
        state.refuse_value(3);
        assert!(state.command_complete().is_none());
        assert!(!state.awaits_commands());
    }
    let mut state = State::new();
    state.finish();
    state.hang_up();
    assert!(state.client_has_closed() && !state.reads_commands());
}

#[test]
fn what_is_reserved_is_kept_until_the_connection_is_dropped() {
    for hung_up in [false, true] {
        let (memory, permit) = reservation();
        let mut state = State::new();
        state.reserve(permit);
        if hung_up {
            state.hang_up();
        }
        state.finish();
        assert_eq!(memory.available_permits(), 3);
        drop(state);
        assert_eq!(memory.available_permits(), 8);
    }
}
