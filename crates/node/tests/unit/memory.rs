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
    let half = budget.share_half();
    assert_eq!(fill(&budget).len(), 512);
    drop(half);
    assert_eq!(fill(&budget).len(), 1024);
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
