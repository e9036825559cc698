//! The root of all leases: the leader of the nodes' agreement.

use crate::grantor::Grantor;
use crate::message::{Fence, Message, Refusal};
use crate::{Millis, Mutant, Permits, Timing};

/// A span in which this member alone may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Its number: higher than that of each tenure before.
    pub fence: Fence,
    /// When it ends by this member's own clock, if it is not prolonged.
    pub until: Millis,
}

/// A member that may be the root.
#[derive(Clone, Debug)]
pub struct Root {
    timing: Timing,
    budget: Permits,
    leads: Option<Leads>,
    mutant: Option<Mutant>,
}

/// What it knows as the root.
#[derive(Clone, Debug)]
struct Leads {
    tenure: Tenure,
    /// What the root before it granted has ended by then.
    quiet_until: Millis,
    grantor: Grantor,
}

impl Root {
    /// One that has no tenure yet. The budget is what the root of any tenure leases: it changes only with [`set_budget`](Self::set_budget).
    pub fn new(timing: Timing, budget: Permits) -> Root {
        Root { timing, budget, leads: None, mutant: None }
    }

    /// The same with a guard left out: for tests.
    pub fn with_mutant(self, mutant: Option<Mutant>) -> Root {
        Root { mutant, ..self }
    }

    /// Another budget from now on. A smaller one is wholly in force after the length of a lease.
    pub fn set_budget(&mut self, budget: Permits) {
        self.budget = budget;
        if let Some(leads) = &mut self.leads {
            leads.grantor.set_budget(budget);
        }
    }

    /// What the agreement says at a time. A tenure with another fence begins from nothing.
    pub fn tenure(&mut self, now: Millis, tenure: Option<Tenure>) {
        let keeps_table = self.mutant == Some(Mutant::KeepsTableOfFormerTenure);
        match (&mut self.leads, tenure) {
            (Some(leads), Some(tenure)) if leads.tenure.fence == tenure.fence || keeps_table => {
                leads.tenure = tenure;
            }
            (Some(_), None) if keeps_table => {}
            (_, None) => self.leads = None,
            (_, Some(tenure)) => self.leads = Some(self.begin(now, tenure)),
        }
    }

    fn begin(&self, now: Millis, tenure: Tenure) -> Leads {
        let quiet = match self.mutant {
            Some(Mutant::NoQuiet) => 0,
            _ => self.timing.surely_passed(self.timing.length + self.timing.window),
        };
        let grantor = Grantor::new(self.timing, self.budget).with_mutant(self.mutant);
        Leads { tenure, quiet_until: now + quiet, grantor }
    }

    /// What counts as used, where it is the root.
    pub fn counted(&self, now: Millis) -> Option<Permits> {
        self.leads.as_ref().map(|leads| leads.grantor.counted(now))
    }

    /// A message has come; perhaps there is an answer.
    pub fn handle(&mut self, now: Millis, message: &Message) -> Option<Message> {
        let after_tenure = self.mutant == Some(Mutant::GrantsAfterTenure);
        let leads = self.leads.as_mut().filter(|leads| now < leads.tenure.until || after_tenure);
        match *message {
            Message::Ask { from, keeps, wanted } => {
                let refuse = |why, retry_after| Some(Message::Refused { to: from, why, retry_after });
                let Some(leads) = leads else { return refuse(Refusal::NoGrantor, self.timing.retry) };
                if now < leads.quiet_until {
                    return refuse(Refusal::Quiet, leads.quiet_until - now);
                }
                let terms = (leads.tenure.fence, self.timing.length);
                leads.grantor.ask(now, from, (keeps, wanted), terms)
            }
            Message::Return { from, keeps } => {
                if let Some(leads) = leads {
                    leads.grantor.give_back(now, from, keeps);
                }
                None
            }
            Message::Grant { .. } | Message::Refused { .. } => None,
        }
    }
}
