//! The account of memory without the node that uses it.

use std::time::Duration;

use tokio::time::timeout;

use super::replies::UNRESERVED_REPLIES;
use super::*;

const MIB: usize = 1024 * 1024;
/// Long enough for what needs no wait, and short for what waits in vain.
const SHORT: Duration = Duration::from_millis(20);

fn budget(limit_bytes: usize) -> Rc<MemoryBudget> {
    MemoryBudget::new(limit_bytes, Arc::default())
}

/// Reserves as many replies of the usual size as there is room for.
fn fill(budget: &Rc<MemoryBudget>) -> Vec<ReplyMemory> {
    let next = || budget.reserve_for_request(USUAL_RESPONSE_BYTES).ok();
    std::iter::from_fn(next).map(|permit| ReplyMemory::new(budget.clone(), permit)).collect()
}

/// As many requests are admitted as half of the memory holds replies of the usual size, at each limit that a node may have.
#[test]
fn requests_are_admitted_to_half_of_the_memory() {
    for mib in [32, 48, 64, 128, 192] {
        assert_eq!(fill(&budget(mib * MIB)).len(), mib * 16, "{mib} MiB");
    }
}

#[test]
fn a_small_reply_makes_room_for_other_requests() {
    let budget = budget(32 * MIB);
    let mut replies = fill(&budget);
    replies.iter_mut().for_each(|reply| reply.hold(100, Vec::new()).unwrap());
    assert!(fill(&budget).len() > 450);
}

/// Replies of any size stay within the shares of requests and large replies, and one that finds no room keeps none.
#[test]
fn large_replies_are_held_while_there_is_room() {
    let budget = budget(32 * MIB);
    let mut replies = fill(&budget);
    let size = 64 * 1024;
    let held = replies.iter_mut().filter_map(|reply| reply.hold(size, Vec::new()).ok()).count();
    assert!(held * size <= 18 * MIB, "{held}");
    // Those refused have released what they had, so that nearly all of it holds replies.
    assert!(held * size > 17 * MIB, "{held}");
    drop(replies);
    assert_eq!(fill(&budget).len(), 512);
}

#[test]
fn two_processes_share_the_memory() {
    let budget = budget(64 * MIB);
    let half = budget.share_with(OtherProcess::Successor);
    assert_eq!(fill(&budget).len(), 512);
    drop(half);
    assert_eq!(fill(&budget).len(), 1024);
}

/// Guards against a successor that takes half of the memory while its predecessor holds nearly all.
#[test]
fn two_processes_together_hold_no_more_than_the_limit() {
    let (old, new) = (budget(32 * MIB), budget(32 * MIB));
    let mut requests = fill(&old);
    let old_share = old.share_with(OtherProcess::Successor);
    let new_share = new.share_with(OtherProcess::Predecessor);
    let mut last_admitted = 0;
    loop {
        // Nothing of what is reserved has arrived yet; all of it may.
        new_share.limit_beside(old_share.most_bytes(None), None);
        let admitted = fill(&new).len();
        let together = old_share.most_bytes(None) + new_share.most_bytes(None);
        assert!(together <= 28 * MIB as u64, "{together}: two MiB for each process are left to other uses");
        assert!(admitted >= last_admitted && admitted > 0, "{admitted} after {last_admitted}");
        last_admitted = admitted;
        assert_eq!(old.reserve_for_request(1).is_ok(), requests.len() < 256, "{}", requests.len());
        if requests.is_empty() {
            break;
        }
        requests.truncate(requests.len() / 2);
    }
    assert_eq!(last_admitted, 256, "half of what a process may have alone");
    drop(new_share);
    assert_eq!(fill(&new).len(), 512);
}

/// What the allocator keeps counts as well.
#[test]
fn resident_memory_beside_reservations_leaves_less_to_reserve() {
    let budget = budget(32 * MIB);
    let share = budget.share_with(OtherProcess::Successor);
    share.limit_to_resident_half(Some(2 * MIB as u64));
    assert_eq!(fill(&budget).len(), 256);
    share.limit_to_resident_half(Some(10 * MIB as u64));
    assert_eq!(fill(&budget).len() * USUAL_RESPONSE_BYTES / MIB, 4, "of the 6 MiB that are left of 16");
    assert_eq!(share.most_bytes(Some(10 * MIB as u64)), 16 * MIB as u64);
}

/// A process may be the successor of one and the predecessor of the next at the same moment.
#[test]
fn takeovers_in_a_row_give_back_all_memory() {
    let budget = budget(32 * MIB);
    for _ in 0..3 {
        let beside_predecessor = budget.share_with(OtherProcess::Predecessor);
        let beside_successor = budget.share_with(OtherProcess::Successor);
        beside_predecessor.limit_to_minimum();
        assert!(fill(&budget).len() < 64);
        drop(beside_predecessor);
        assert_eq!(fill(&budget).len(), 256);
        drop(beside_successor);
        assert_eq!(fill(&budget).len(), 512);
    }
}

/// Replies that wait for slow clients must not keep other responses from being received.
#[tokio::test]
async fn replies_leave_room_for_responses_that_are_received() {
    let budget = budget(32 * MIB);
    let mut replies = fill(&budget);
    let held = replies.iter_mut().filter_map(|reply| reply.hold(64 * 1024, Vec::new()).ok()).count();
    assert!(held < replies.len());
    let mut buffers: Vec<ReceiveMemory> = (0..64).map(|_| ReceiveMemory::new(budget.clone())).collect();
    for buffer in &mut buffers {
        assert_eq!(buffer.reserve(64 * 1024, SHORT).await, Ok(()));
    }
}

/// A response that was received must not lose its memory to another that waits for some.
#[tokio::test]
async fn a_reply_keeps_the_memory_that_its_response_was_received_in() {
    let budget = budget(32 * MIB);
    let mut replies = fill(&budget);
    let mut buffer = ReceiveMemory::new(budget.clone());
    let response_bytes = 64 * 1024 + READ_SIZE_BYTES;
    buffer.reserve(4 * MIB + 2 * USUAL_RESPONSE_BYTES - response_bytes, SHORT).await.unwrap();
    let mut complete = ReceiveMemory::new(budget.clone());
    complete.reserve(response_bytes, SHORT).await.unwrap();
    let mut others = ReceiveMemory::new(budget.clone());
    let mut waiting = std::pin::pin!(others.reserve(4 * MIB, Duration::from_secs(60)));
    assert!(timeout(SHORT, waiting.as_mut()).await.is_err(), "there is memory left");
    assert_eq!(replies[0].hold(64 * 1024, complete.take()), Ok(()));
    assert_eq!(replies[1].hold(64 * 1024, Vec::new()), Err(OutOfMemory));
}

#[tokio::test]
async fn receive_buffers_wait_for_memory_and_no_longer_than_allowed() {
    let budget = budget(32 * MIB);
    let (mut all, mut next) = (ReceiveMemory::new(budget.clone()), ReceiveMemory::new(budget.clone()));
    let everything = 20 * MIB + USUAL_RESPONSE_BYTES;
    all.reserve(everything, SHORT).await.unwrap();
    assert_eq!(next.reserve(64 * 1024, SHORT).await, Err(OutOfMemory));
    assert_eq!(next.reserve(USUAL_RESPONSE_BYTES, SHORT).await, Ok(()), "reserved with its request");
    let response = all.take();
    assert_eq!(next.reserve(64 * 1024, SHORT).await, Err(OutOfMemory), "the response still holds it");
    drop(response);
    assert_eq!(next.reserve(64 * 1024, SHORT).await, Ok(()));
    drop(next.take());
    assert_eq!(all.reserve(everything, SHORT).await, Ok(()));
}

#[test]
fn a_long_queue_reserves_memory_until_it_is_short_again() {
    let budget = budget(32 * MIB);
    let mut queue = QueueMemory::new(budget.clone());
    assert_eq!(queue.hold(1000), Ok(()));
    let others = fill(&budget);
    assert_eq!(others.len(), 504, "250 KiB are for the queue");
    assert_eq!(queue.hold(2000), Err(OutOfMemory));
    assert_eq!(queue.hold(UNRESERVED_REPLIES), Ok(()));
    drop(others);
    assert_eq!(fill(&budget).len(), 512);
}
