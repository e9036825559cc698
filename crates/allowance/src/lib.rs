//! Distributes the origin's allowance as leases, so that the calls of all nodes together stay within the
//! origin's limits at every moment.
//!
//! The origin limits the number of outstanding calls and the number of calls within a time window
//! ([`Permits`]). One part of this allowance is leased: the [`Root`], which is the leader of the nodes'
//! agreement, grants leases to the [`Aggregator`]s of sites (or regions), and each of these grants parts of
//! its own lease, which end no later, to the [`Node`]s. The other part is never leased: it rotates over all
//! nodes by the shared clock ([`Rotation`]), so that a node that reaches no grantor can still make a call now
//! and then. [`Budget::split`] makes the two parts.
//!
//! All of these are state machines without sockets or clocks, and their randomness follows from a seed: clock
//! values and messages come in, messages go out. A clock value is one of the process's own monotonic clock,
//! unless it is called shared.
//!
//! # What each side assumes, for how long, and what happens without messages
//!
//! - A **grantor** counts a grant as used until it has ended by its own clock, [`Timing::lease_duration`]
//!   after it was given, whatever it receives; calls per window count for [`Timing::window`] longer. It
//!   counts less only when the holder reports that it uses less. A request that finds everything in use is
//!   refused with a time to retry after.
//! - The **root** grants only within its term. At the start of a term it grants nothing until all that its
//!   predecessor may have granted has ended: `lease_duration + window`, by a clock that may be fast.
//! - An **aggregator** need not be the only one of its site: what it grants is part of a lease of its own.
//! - A **holder** trusts a lease until it ends by its own clock, counted from *before* it sent the request.
//!   It begins a call only if the call's deadline is before that end. A holder that starts has no lease, and
//!   the lease of its previous incarnation counts at the grantor until it has ended.
//! - A **node** without a lease makes calls only in its turns of the rotation.
//!
//! # Assumptions
//!
//! - Clocks differ from true time by no more than [`Timing::drift_per_mille`] per thousand.
//! - At most one member has a term at any time (ensured by `mothpier-accord`).
//! - The origin ends a call when its caller gives it up, or by itself at that time if the caller cannot. The
//!   one case that no lease can cover is a process that is stopped between checking its lease and sending the
//!   call.

mod aggregator;
mod grantor;
mod holder;
mod message;
mod meter;
mod mutant;
mod node;
mod permits;
mod random;
mod root;
mod rotation;
mod timing;

pub use aggregator::Aggregator;
pub use grantor::{Grantor, MAX_HOLDERS};
pub use holder::{Holder, Lease, Usage};
pub use message::{DecodeError, Fence, MAX_MESSAGE_BYTES, Message, Refusal, RequestId, VERSION};
pub use meter::{CallId, Meter};
pub use mutant::Mutant;
pub use node::{Node, Offer, Permit, Source};
pub use permits::{Budget, Permits};
pub use root::{Root, Term};
pub use rotation::{Rotation, Turn};
pub use timing::Timing;

/// A value of a process's own clock, or of the shared clock where stated, or a duration, in milliseconds.
pub type Millis = u64;
/// Number of a holder: a node or an aggregator.
pub type HolderId = u32;
/// A number that differs for each start of a holder's process.
pub type Incarnation = u64;
