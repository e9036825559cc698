//! When the connections of clients must be gone: for a drain, at the end of the process, and for a process that takes over. A
//! plan is counted from the moment in which it was told, and nothing that a client does moves it. No I/O.

use std::time::Duration;

use tokio::time::Instant;

/// SIGKILL comes no sooner after SIGTERM than the longest deadline and 0.7 s more; a longer deadline counts as this.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// All is gone so long after that longest deadline: 0.1 s before the earliest SIGKILL.
const BEYOND_DEADLINE: Duration = Duration::from_millis(600);
/// So long before the end of the process a request that comes behind an open one is refused.
const REFUSE_BEFORE_END: Duration = Duration::from_millis(250);
/// So long before the end of the process all that is open fails, that the answers go out.
const FAIL_BEFORE_END: Duration = Duration::from_millis(100);
/// A drain lets a large value that is being passed on go on for so long after the last deadline: it may be many times as
/// large as what a slow client takes in a second.
const LARGE_VALUE: Duration = Duration::from_secs(10);

/// Spans from the moment in which a drain was told. Four seconds after it a client's connection may not be idle, nor have a
/// request from the last two; a process that is held up takes 0.15 s off either.
mod drain {
    use super::Duration;

    /// New connections come for 0.2 s more: what has just come is not told to go.
    pub const CLOSE_ANSWERED: Duration = Duration::from_millis(300);
    /// Clients that ask now and then have met the end of their connection behind an answer by now.
    pub const CLOSE_RESTING: Duration = Duration::from_millis(1200);
    /// What comes later would be from the last two seconds.
    pub const LAST_COMMAND: Duration = Duration::from_millis(1800);
    /// One that comes later than [`LAST_COMMAND`], to ask whether the node serves, has this time for its command.
    pub const LATE_ARRIVAL: Duration = Duration::from_millis(500);
    /// Where something came after [`LAST_COMMAND`] all that is open fails, with time left to write the answers.
    pub const FAIL_RECENT: Duration = Duration::from_millis(3600);
    /// Where something came after [`LAST_COMMAND`] the connection is cut.
    pub const CUT_RECENT: Duration = Duration::from_millis(3750);
}

/// Spans from SIGTERM. New connections come for 0.4 s.
mod stop {
    use super::Duration;

    pub const CLOSE_ANSWERED: Duration = Duration::from_millis(300);
    pub const CLOSE_RESTING: Duration = super::BEYOND_DEADLINE;
}

/// Spans from SIGTERM where another process accepts what is new already.
mod hand_over {
    use super::Duration;

    pub const CLOSE_ANSWERED: Duration = Duration::ZERO;
    pub const CLOSE_RESTING: Duration = Duration::from_millis(650);
}

/// Why connections are to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Staff have told the node to drain.
    Drain,
    /// The process ends.
    Stop,
    /// The process ends, and another one has taken its place.
    HandOver,
}

/// Which of the requests that are open fail before the connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failing {
    /// All.
    All,
    /// Those of connections on which something has come after the last command that is served.
    OfRecentlyUsed,
}

/// When connections go, by what is open on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    cause: Cause,
    told: Instant,
    /// From now on a connection closes behind its last answer.
    close_answered: Instant,
    /// From now on one that rests closes.
    close_resting: Instant,
    /// A request that comes behind an open one from now on is refused.
    refuse_behind_open: Instant,
    /// A command that has not come whole by now is not served any more.
    last_command: Instant,
    /// The same for a connection that came late: so long after that.
    late_arrival: Duration,
    /// What is open fails, and nothing more is read.
    fail: Instant,
    failing: Failing,
    /// Where what is open has failed and the client does not take that, the connection is cut.
    cut_failed: Instant,
    /// Whatever a connection does, it is cut.
    cut: Instant,
}

/// What a connection does, as far as it matters here.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// When it was accepted.
    pub accepted: Instant,
    /// It has sent a whole command in the agreed form.
    pub has_asked: bool,
    /// Part of a command has arrived.
    pub command_begun: bool,
    /// An answer is owed to it.
    pub open: bool,
    /// One of these answers has yet to be found.
    pub waits: bool,
    /// Its commands are read.
    pub reads_commands: bool,
    /// When it was last answered.
    pub answered: Option<Instant>,
    /// When something last came from the client.
    pub received: Instant,
}

/// What is to be done with a connection, from the least to the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Act {
    /// It stays as it is.
    Keep,
    /// It closes, unless a command has come meanwhile.
    CloseUnlessAsked,
    /// It closes; what has arrived is looked for once, and what comes then its client sends once more elsewhere.
    Close,
    /// The command that has not come whole is answered with an error, once it was looked for what has arrived.
    EndCommand,
    /// All that is open fails, and nothing more is read.
    FailOpen,
    /// It ends at once.
    Cut,
}

impl Plan {
    /// For a drain that was told at this time, in a node whose requests live so long at most.
    pub fn drain(told: Instant, longest_deadline: Duration) -> Plan {
        let last_command = told + drain::LAST_COMMAND;
        Plan {
            cause: Cause::Drain,
            told,
            close_answered: told + drain::CLOSE_ANSWERED,
            close_resting: told + drain::CLOSE_RESTING,
            refuse_behind_open: last_command,
            last_command,
            late_arrival: drain::LATE_ARRIVAL,
            fail: told + drain::FAIL_RECENT,
            failing: Failing::OfRecentlyUsed,
            cut_failed: told + drain::CUT_RECENT,
            cut: last_command + longest_deadline + LARGE_VALUE,
        }
    }

    /// For the end of the process, of which it was told at this time.
    pub fn stop(told: Instant, longest_deadline: Duration) -> Plan {
        Plan::end(Cause::Stop, told, longest_deadline, (stop::CLOSE_ANSWERED, stop::CLOSE_RESTING))
    }

    /// For the end of a process whose place another one has taken.
    pub fn hand_over(told: Instant, longest_deadline: Duration) -> Plan {
        let spans = (hand_over::CLOSE_ANSWERED, hand_over::CLOSE_RESTING);
        Plan::end(Cause::HandOver, told, longest_deadline, spans)
    }

    fn end(
        cause: Cause,
        told: Instant,
        longest_deadline: Duration,
        (close_answered, close_resting): (Duration, Duration),
    ) -> Plan {
        let end = told + longest_deadline.min(LONGEST_COUNTED) + BEYOND_DEADLINE;
        let last_command = end - FAIL_BEFORE_END;
        Plan {
            cause,
            told,
            close_answered: told + close_answered,
            close_resting: told + close_resting,
            refuse_behind_open: end - REFUSE_BEFORE_END,
            last_command,
            late_arrival: Duration::ZERO,
            fail: last_command,
            failing: Failing::All,
            cut_failed: end,
            cut: end,
        }
    }

    /// Why connections go.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// When this was told.
    pub fn told(&self) -> Instant {
        self.told
    }

    /// From when on connections that rest close.
    pub fn close_resting(&self) -> Instant {
        self.close_resting
    }

    /// By when every connection has gone.
    pub fn cut(&self) -> Instant {
        self.cut
    }

    /// Whether a request that comes now is refused, on a connection on which another is open or none.
    pub fn refuses(&self, open: bool, now: Instant) -> bool {
        now >= self.last_command || open && now >= self.refuse_behind_open
    }

    /// What is to be done with a connection now.
    pub fn act(&self, standing: &Standing, now: Instant) -> Act {
        let last_command = self.last_command_of(standing);
        if now >= self.cut {
            Act::Cut
        } else if self.fails(standing) && now >= self.fail {
            Act::FailOpen
        } else if standing.command_begun && standing.reads_commands && now >= last_command {
            Act::EndCommand
        } else if standing.open || standing.command_begun || now < self.close_of(standing) {
            Act::Keep
        } else if now >= last_command {
            Act::Close
        } else {
            Act::CloseUnlessAsked
        }
    }

    /// When something else is to be done with a connection, if it goes on as it is.
    pub fn next(&self, standing: &Standing, now: Instant) -> Instant {
        let at_rest = (!standing.open && !standing.command_begun).then(|| self.close_of(standing));
        let begun =
            (standing.command_begun && standing.reads_commands).then(|| self.last_command_of(standing));
        let fails = self.fails(standing).then_some(self.fail);
        let next = [at_rest, begun, fails].into_iter().flatten().filter(|at| *at > now).min();
        next.unwrap_or(self.cut).min(self.cut)
    }

    /// Until when an answer may be written to a client that takes it slowly, from which something was received then, or may
    /// come at any time; `large` where it is a value that is passed on as it comes, for which its client may take its time.
    pub fn write_until(&self, received: Option<Instant>, large: bool) -> Instant {
        let recently = received.is_none_or(|received| received >= self.last_command);
        let short = !large && (self.failing == Failing::All || recently);
        if short { self.cut_failed } else { self.cut }
    }

    /// Whether what is open on a connection fails before it is cut, and has not done so.
    fn fails(&self, standing: &Standing) -> bool {
        let concerned = self.failing == Failing::All || standing.received >= self.last_command;
        concerned && standing.open && (standing.waits || standing.reads_commands)
    }

    /// When a command of a connection must have come whole.
    fn last_command_of(&self, standing: &Standing) -> Instant {
        self.last_command.max(standing.accepted + self.late_arrival)
    }

    /// When a connection on which nothing is open closes.
    fn close_of(&self, standing: &Standing) -> Instant {
        if standing.answered.is_some_and(|answered| answered >= self.close_answered) {
            self.close_answered
        } else if standing.has_asked {
            self.close_resting
        } else {
            // It may only just have come.
            self.last_command_of(standing)
        }
    }
}

/// The plans that are in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plans {
    /// While staff want no clients.
    pub drain: Option<Plan>,
    /// Once the process is to end: nothing takes it back.
    pub end: Option<Plan>,
}

impl Plans {
    /// Whether there are any.
    pub fn are_in_force(&self) -> bool {
        self.drain.is_some() || self.end.is_some()
    }

    fn each(&self) -> impl Iterator<Item = Plan> {
        [self.drain, self.end].into_iter().flatten()
    }

    /// What is to be done with a connection now, and the cause.
    pub fn act(&self, standing: &Standing, now: Instant) -> (Act, Option<Cause>) {
        let acts = self.each().map(|plan| (plan.act(standing, now), Some(plan.cause)));
        acts.max_by_key(|(act, _)| *act).unwrap_or((Act::Keep, None))
    }

    /// When something else is to be done with a connection, if it goes on as it is.
    pub fn next(&self, standing: &Standing, now: Instant) -> Option<Instant> {
        self.each().map(|plan| plan.next(standing, now)).min()
    }

    /// Whether a request that comes now is refused.
    pub fn refuses(&self, open: bool, now: Instant) -> bool {
        self.each().any(|plan| plan.refuses(open, now))
    }

    /// Until when an answer may be written.
    pub fn write_until(&self, received: Option<Instant>, large: bool) -> Option<Instant> {
        self.each().map(|plan| plan.write_until(received, large)).min()
    }

    /// When the last connection is cut.
    pub fn cut(&self) -> Option<Instant> {
        self.each().map(|plan| plan.cut).min()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/retirement.rs"]
mod tests;
