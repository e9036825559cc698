//! One numbered plan that all nodes act on, agreed on without a disk.
//!
//! A few members are voters. One of them at a time may decide: it holds a lease that a majority of voters has granted, in the
//! manner of PaxosLease (Trencseni, Gazso, Reinhardt, 2012): ballots, no log, and a voter that starts from nothing abstains
//! until whatever it may have granted before has run out. The decider answers the questions of all members ([`Message::Ask`])
//! with its plan; an answer counts only for the question that it answers and only for as long as the lease had left, so that
//! what an old decider says is not acted on, however late it comes and however long its process was stopped.
//!
//! [`Member`] is one member's machine: clock values and messages in, messages and plans out. It has no sockets, no clock and
//! no randomness but what follows from its seed. What a plan says is no business of this package: it carries bytes.
//!
//! # What each believes, for how long, and what it does when it hears nothing
//!
//! - A **voter** believes a grant until it has run out by its own clock, `hold`; then it grants anew. A start is followed by
//!   silence for `hold`.
//! - A **decider** believes its lease for `lease` from the beginning of the campaign that brought it; then it stops by itself.
//!   (The published algorithm counts from its second step. The exploration shows two deciders then: a promise from before a
//!   voter's restart can complete a campaign after that voter has begun to grant again.)
//! - A **follower** acts on a plan until `life` after the question that the last answer confirmed; then it has none, and its
//!   node does what it does by itself. One that the decider does not answer has its question passed on by voters; the answer
//!   counts from the same stamp, whatever way it came.
//! - A **new decider** learns its predecessor's last plan for two thirds of `ask`: it asks back members that have acted on a
//!   plan which it doesn't know, before it answers them.
//!
//! `hold` must be longer than `lease` by more than two clocks can differ over that time.

mod member;
mod message;
mod succession;

pub use member::{Config, Effect, Member, Mutant, Timing};
pub use message::{Ballot, MAX_MESSAGE_BYTES, Message, PlanNumber, Question, Unreadable, VERSION};

/// A value of a member's own clock, in milliseconds; it only advances.
pub type Millis = u64;
/// A member's number.
pub type MemberId = u16;
