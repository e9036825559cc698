//! The root of all leases, run by the leader of the nodes' agreement.

use crate::grantor::Grantor;
use crate::message::{Fence, Message, Refusal};
use crate::{Millis, Mutant, Permits, Timing};

/// A period in which this member alone may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Fencing token, higher than that of each earlier term.
    pub fence: Fence,
    /// When it ends by this member's own clock, unless it is extended.
    pub until: Millis,
}

/// A member that may become the root.
#[derive(Clone, Debug)]
pub struct Root {
    timing: Timing,
    budget: Permits,
    leadership: Option<Leadership>,
    mutant: Option<Mutant>,
}

/// State of a member that is the root.
#[derive(Clone, Debug)]
struct Leadership {
    term: Term,
    /// By then everything that the previous root granted has ended.
    grants_from: Millis,
    grantor: Grantor,
}

impl Root {
    /// Creates a member without a term. The budget is what the root leases in any term; it changes only with
    /// [`set_budget`](Self::set_budget).
    pub fn new(timing: Timing, budget: Permits) -> Root {
        Root { timing, budget, leadership: None, mutant: None }
    }

    /// Leaves out one check, for tests.
    pub fn with_mutant(self, mutant: Option<Mutant>) -> Root {
        Root { mutant, ..self }
    }

    /// Changes the budget. A smaller one is fully in force after one lease duration.
    pub fn set_budget(&mut self, budget: Permits) {
        self.budget = budget;
        if let Some(leadership) = &mut self.leadership {
            leadership.grantor.set_budget(budget);
        }
    }

    /// Sets the current term, as reported by the agreement. A term with another fencing token starts without
    /// state.
    pub fn set_term(&mut self, now: Millis, term: Option<Term>) {
        let keeps_table = self.mutant == Some(Mutant::KeepsTableOfPreviousTerm);
        match (&mut self.leadership, term) {
            (Some(leadership), Some(term)) if leadership.term.fence == term.fence || keeps_table => {
                leadership.term = term;
            }
            (Some(_), None) if keeps_table => {}
            (_, None) => self.leadership = None,
            (_, Some(term)) => self.leadership = Some(self.start_term(now, term)),
        }
    }

    fn start_term(&self, now: Millis, term: Term) -> Leadership {
        let grace_period = match self.mutant {
            Some(Mutant::SkipsGracePeriod) => 0,
            _ => self.timing.certainly_elapsed(self.timing.lease_duration + self.timing.window),
        };
        let grantor = Grantor::new(self.timing, self.budget).with_mutant(self.mutant);
        Leadership { term, grants_from: now + grace_period, grantor }
    }

    /// What counts as used, if this member is the root.
    pub fn reserved(&self, now: Millis) -> Option<Permits> {
        self.leadership.as_ref().map(|leadership| leadership.grantor.reserved(now))
    }

    /// Handles a message; may return a reply.
    pub fn handle(&mut self, now: Millis, message: &Message) -> Option<Message> {
        let after_term = self.mutant == Some(Mutant::GrantsAfterTerm);
        let leadership =
            self.leadership.as_mut().filter(|leadership| now < leadership.term.until || after_term);
        match *message {
            Message::Request { from, retained, wanted } => {
                let refuse = |reason, retry_after| Some(Message::Refused { to: from, reason, retry_after });
                let Some(leadership) = leadership else {
                    return refuse(Refusal::NoAuthority, self.timing.min_retry);
                };
                if now < leadership.grants_from {
                    return refuse(Refusal::GracePeriod, leadership.grants_from - now);
                }
                let lease_terms = (leadership.term.fence, self.timing.lease_duration);
                leadership.grantor.handle_request(now, from, (retained, wanted), lease_terms)
            }
            Message::Release { from, retained } => {
                if let Some(leadership) = leadership {
                    leadership.grantor.handle_release(now, from, retained);
                }
                None
            }
            Message::Grant { .. } | Message::Refused { .. } => None,
        }
    }
}
