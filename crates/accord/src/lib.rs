//! One numbered plan that all nodes act on, agreed on without a disk.
//!
//! A few members are voters. At most one of them at a time is the leader: it holds a lease granted by a majority of
//! voters, as in PaxosLease (Trencseni, Gazso, Reinhardt, 2012): ballots, no log, and a voter that starts without state
//! abstains until whatever it may have granted before has expired. The leader answers the queries of all members
//! ([`Message::Query`]) with its plan; a reply counts only for the query that it answers and only for as long as the
//! lease was still to run, so that a plan of a former leader is not acted on, however late it arrives and however long
//! the leader's process was stopped.
//!
//! [`Member`] is the state machine of one member: clock values and messages in, messages and plans out. It has no
//! sockets, no clock and no randomness beyond its seed. It does not interpret plans: they are bytes to it.
//!
//! # What each role relies on, for how long, and what it does without messages
//!
//! - A **voter** keeps to a grant until it expires by its own clock, after `grant`; then it may grant again. After a
//!   start it abstains for `grant`.
//! - A **leader** relies on its lease for `lease` from the beginning of the campaign that won it; then it steps down by
//!   itself. (The published algorithm counts from its second step. The exploration in the tests shows two leaders then:
//!   a promise from before a voter's restart can complete a campaign after that voter has begun to grant again.)
//! - A **follower** acts on a plan until `plan_validity` after the query that the last reply confirmed; then it has no
//!   plan, and its node decides for itself. A follower that the leader does not answer has its query relayed by voters;
//!   the reply counts from the time of the query, whatever path it took.
//! - A **new leader** recovers its predecessor's last plan for two thirds of `query_interval`: it queries members that
//!   have acted on a plan that it doesn't know, before it answers them.
//!
//! `grant` must be longer than `lease` by more than two clocks can differ over that time.

mod member;
mod message;
mod recovery;

pub use member::{Config, Effect, Member, Mutant, Timing};
pub use message::{Ballot, DecodeError, MAX_MESSAGE_BYTES, MESSAGE_VERSION, Message, PlanNumber, Query};

/// A value of a member's own monotonic clock, in milliseconds.
pub type Millis = u64;
/// A member's number.
pub type MemberId = u16;
