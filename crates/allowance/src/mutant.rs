//! Checks that tests can leave out.

/// A check that is left out, so that tests can verify that they detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A grantor ignores what other holders have.
    IgnoresOtherLeases,
    /// A smaller grant counts immediately, although the holder may not have received it.
    ShrinksImmediately,
    /// A holder's new incarnation replaces its previous one in the table.
    ForgetsPreviousIncarnation,
    /// Calls of an expired lease do not count for the rest of their window.
    FreesCallsImmediately,
    /// A grantor accepts a message older than one that it has received.
    AcceptsStaleRequest,
    /// An aggregator grants for longer than its own lease lasts.
    GrantsBeyondOwnLease,
    /// A new root grants immediately.
    SkipsGracePeriod,
    /// A root that is elected again keeps the table of its previous term.
    KeepsTableOfPreviousTerm,
    /// A root grants after its term has ended.
    GrantsAfterTerm,
    /// A holder measures its lease from when the grant arrived.
    TimesLeaseFromReceipt,
    /// A holder accepts the reply to an earlier request.
    AcceptsStaleReply,
    /// A holder accepts what was granted to its previous incarnation.
    AcceptsPreviousIncarnation,
    /// A holder does not shorten its lease by the possible clock drift.
    IgnoresClockDrift,
    /// A holder reports only its limit, not what it uses beyond that.
    UnderreportsUsage,
    /// A holder accepts a grant with a lower fencing token than it has seen.
    AcceptsLowerFence,
    /// A holder's lease never expires.
    IgnoresExpiry,
    /// A call is begun although it may outlast the lease.
    BeginsCallPastExpiry,
    /// Calls are counted in fixed windows.
    UsesFixedWindows,
    /// A turn is used up to its edges, without the guard interval for clock errors.
    IgnoresGuard,
    /// A process that starts uses the current turn, which its previous incarnation may have used.
    UsesTurnAtStart,
}
