//! When a command arrived, told apart from when it was read.

use std::cell::Cell;
use std::io;

use super::*;

/// A connection on which bytes lie, the last of which arrived so long ago.
struct Waiting {
    bytes: Cell<&'static [u8]>,
    for_so_long: Option<Duration>,
}

impl Reading for Waiting {
    async fn readable(&self) -> io::Result<()> {
        if self.bytes.get().is_empty() { std::future::pending().await } else { Ok(()) }
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        let bytes = self.bytes.take();
        buffer.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn since_last_arrival(&self) -> Option<Duration> {
        self.for_so_long
    }

    fn remote_end_closed(&self) -> bool {
        false
    }
}

const COMMAND: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const NOW: Micros = 10_000_000;

fn waiting(for_so_long: Option<u64>) -> Waiting {
    Waiting { bytes: Cell::new(COMMAND), for_so_long: for_so_long.map(Duration::from_millis) }
}

/// When the command counts as received that is read now, in milliseconds before now.
async fn counted(unread: Unread, for_so_long: Option<u64>) -> Micros {
    let reading = waiting(for_so_long);
    let mut inbox = Inbox::new(&reading, NOW, unread);
    assert!(inbox.read(|| NOW).await);
    (NOW - inbox.received()) / 1000
}

#[tokio::test(start_paused = true)]
async fn the_wait_of_a_connection_before_it_was_accepted_counts() {
    let since = Unread::Since(Instant::now());
    tokio::time::advance(Duration::from_millis(300)).await;
    assert_eq!(counted(since, Some(120)).await, 120);
    assert_eq!(counted(Unread::Unknown, Some(1_170)).await, 1_170);
}

#[tokio::test(start_paused = true)]
async fn the_machine_is_not_believed_beyond_what_the_node_knows() {
    let since = Unread::Since(Instant::now());
    tokio::time::advance(Duration::from_millis(300)).await;
    assert_eq!(counted(since, Some(5_000)).await, 300);
    assert_eq!(counted(since, None).await, 0);
    assert_eq!(counted(Unread::Nothing, Some(5_000)).await, 0);
}

#[tokio::test(start_paused = true)]
async fn what_comes_behind_a_whole_command_does_not_make_it_younger() {
    let reading = waiting(None);
    let mut inbox = Inbox::new(&reading, NOW, Unread::Nothing);
    assert!(inbox.read(|| NOW).await);
    reading.bytes.set(COMMAND);
    assert!(inbox.read(|| NOW + 700_000).await);
    assert_eq!(inbox.received(), NOW);
}

#[tokio::test(start_paused = true)]
async fn the_time_in_which_nothing_was_read_counts() {
    let reading = waiting(Some(400));
    let mut inbox = Inbox::new(&reading, NOW, Unread::Nothing);
    inbox.stops_reading();
    tokio::time::advance(Duration::from_millis(1_000)).await;
    assert!(inbox.read(|| NOW).await);
    assert_eq!(NOW - inbox.received(), 400_000);
    // From then on each is read as it arrives.
    inbox.buffer.clear();
    reading.bytes.set(COMMAND);
    assert!(inbox.read(|| NOW).await);
    assert_eq!(inbox.received(), NOW);
}
