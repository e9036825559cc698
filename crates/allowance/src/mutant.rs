//! Guards that can be left out, for tests.

/// A guard that is left out: for tests, which must catch each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A grantor does not look at what others hold.
    GrantsOver,
    /// A smaller grant counts at once, though the holder may not know of it yet.
    ShrinksAtOnce,
    /// A holder's new life takes the place of its former one.
    ForgetsFormerLife,
    /// Calls of a lease that has ended do not count for the rest of their window.
    ReturnsCallsAtOnce,
    /// A grantor goes by a message that is older than one that it has heard.
    GoesByOldMessage,
    /// An aggregator grants for longer than its own lease lasts.
    OutlivesOwnLease,
    /// A new root grants at once.
    NoQuiet,
    /// A root that leads again goes on with what it knew of its former tenure.
    KeepsTableOfFormerTenure,
    /// A root grants when its tenure is over.
    GrantsAfterTenure,
    /// A holder counts its lease from when the grant came.
    LeaseFromReceipt,
    /// A holder takes the answer to an earlier question.
    TakesOldAnswer,
    /// A holder takes what was granted to its former life.
    TakesFormerLife,
    /// A holder's lease is not shortened by what clocks may differ.
    NoDrift,
    /// A holder tells its limit alone, not what it uses beyond that.
    HidesUse,
    /// A holder takes a grant of a lower fence than it has seen.
    GoesBack,
    /// A holder's lease never ends.
    NeverEnds,
    /// A call is begun though it may last longer than the lease.
    BeginsPastEnd,
    /// Calls are counted from fixed windows' beginnings.
    FixedWindow,
    /// A turn is used to its edges, whatever clocks may differ.
    TurnWithoutGuard,
    /// A process that starts uses the turn that is under way, which its former life may have used.
    TurnAtStart,
}
