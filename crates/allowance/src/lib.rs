//! The origin's allowance as leases, so that the limits of all nodes hold in sum, at every moment.
//!
//! The origin allows so many outstanding calls, and so many calls in a window of time ([`Permits`]). One part of that is leased: the
//! [`Root`], the leader of the nodes' agreement, grants leases to the [`Aggregator`]s of sites (or regions), and each of these grants parts
//! of its own lease, which end no later, to the [`Node`]s. The other part is never leased: it goes round all nodes by the shared clock
//! ([`Rotation`]), so that a node that reaches nobody still gets a call now and then. [`Budget::divide`] makes the two parts.
//!
//! All of these are machines without sockets, clocks or randomness but what follows from a seed: clock values and messages come in,
//! messages go out. A clock value is one of the process's own monotonic clock, unless it is called shared.
//!
//! # What each believes, for how long, and what it does when it hears nothing
//!
//! - A **grantor** counts a grant until it has ended by its own clock, [`Timing::length`] after it was given, whatever it hears; calls per
//!   window for [`Timing::window`] longer. It counts less only when the holder has said that it uses less. Whoever asks when all is counted
//!   is refused, and told when to come back.
//! - The **root** grants only within its tenure. One that begins grants nothing until all that its predecessor may have granted has ended:
//!   `length + window`, by a clock that may be fast.
//! - An **aggregator** needs not to be the only one of its site: what it grants is part of a lease of its own.
//! - A **holder** believes a lease until it ends by its own clock, counted from *before* it asked. It begins a call only if the call is given
//!   up before that end. One that starts has nothing, and its former life's lease counts at the grantor until that has ended.
//! - A **node** that has no lease makes calls in its turns of the rotation alone.
//!
//! # What this relies on
//!
//! - Clocks run no faster and no slower than true time by more than [`Timing::drift`].
//! - At most one member has a tenure at any time (`mothpier-accord` sees to that).
//! - The origin ends a call when its caller gives it up, or by itself at that time when the caller cannot. A process that is stopped between
//!   looking at its lease and sending the call is the exception that no lease can mend.

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
pub use grantor::{Grantor, MOST_HOLDERS};
pub use holder::{Holder, Lease, Usage};
pub use message::{Asker, Fence, MOST, Message, Refusal, Unreadable, VERSION};
pub use meter::{CallId, Meter};
pub use mutant::Mutant;
pub use node::{Node, Offer, Permit, Source};
pub use permits::{Budget, Permits};
pub use root::{Root, Tenure};
pub use rotation::{Rotation, Turn};
pub use timing::Timing;

/// A value of a process's own clock, or of the shared one where said so, or a span, in milliseconds.
pub type Millis = u64;
/// The number of a holder: of a node, or of an aggregator.
pub type HolderId = u32;
/// A number that is new with each start of a holder's process.
pub type Life = u64;
