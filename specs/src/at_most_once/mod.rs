//! Specification of calls that must run at most once. It runs the ledger's own transition functions.

mod steps;
mod world;

use error_stack::Report;
use ledger::{LedgerError, Protocol};

use crate::Spec;
pub use world::{CallMutant, World, WorldAction};

/// Specification of one call that two hosts attempt a few times, with faults.
#[derive(Debug, Clone)]
pub struct AtMostOnce {
    /// The daemon's protocol of claims.
    protocol: Protocol,
    /// Number of attempts to explore.
    attempts: u8,
    /// Number of the table service's answers that may be lost or late.
    losses: u8,
    /// Number of times that a host may be replaced.
    replacements: u8,
    /// Fault that is built into the model.
    mutant: Option<CallMutant>,
    /// Whether the last attempt has a different body.
    has_other_body: bool,
    /// The only invariant to check; `None` checks all.
    only_invariant: Option<CallInvariant>,
}

/// A property that must hold in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallInvariant {
    /// The call runs at most once.
    RunsAtMostOnce,
    /// An attempt whose caller received the outcome `not-run` does not run.
    NotRunIsTrue,
    /// A caller receives the outcome `ran` only if the call ran.
    RanIsTrue,
    /// No call is sent after its claim's deadline.
    SentInTime,
    /// Once no attempt, job, write or call is pending, no running host holds a claim.
    NoLeakedClaim,
}

impl CallInvariant {
    /// All invariants.
    pub const ALL: [Self; 5] = [
        Self::RunsAtMostOnce,
        Self::NotRunIsTrue,
        Self::RanIsTrue,
        Self::SentInTime,
        Self::NoLeakedClaim,
    ];
}

impl AtMostOnce {
    /// Builds the specification with at most `attempts` attempts, `losses` lost answers and `replacements`
    /// replaced hosts.
    ///
    /// ```
    /// use specs::{AtMostOnce, explore};
    ///
    /// let spec = AtMostOnce::new(2, 1, 0)?;
    /// assert!(explore(&spec).states().is_some());
    /// # Ok::<(), error_stack::Report<ledger::LedgerError>>(())
    /// ```
    ///
    /// # Errors
    /// Fails as [`Protocol::load`] does.
    pub fn new(attempts: u8, losses: u8, replacements: u8) -> Result<Self, Report<LedgerError>> {
        Ok(Self {
            protocol: Protocol::load()?,
            attempts,
            losses,
            replacements,
            mutant: None,
            has_other_body: false,
            only_invariant: None,
        })
    }

    /// Builds a fault into the model.
    pub fn with_mutant(mut self, mutant: CallMutant) -> Self {
        self.mutant = Some(mutant);
        self
    }

    /// Restricts the check to one invariant.
    pub fn checking_only(mut self, invariant: CallInvariant) -> Self {
        self.only_invariant = Some(invariant);
        self
    }

    /// Gives the last attempt a different body.
    pub fn with_other_body(mut self) -> Self {
        self.has_other_body = true;
        self
    }
}

impl Spec for AtMostOnce {
    type State = World;
    type Action = WorldAction;
    type Invariant = CallInvariant;

    fn initial(&self) -> Vec<World> {
        vec![World::new(self.losses, self.replacements)]
    }

    fn steps(&self, state: &World) -> Vec<(WorldAction, World)> {
        steps::successors(self, state)
    }

    fn violated(&self, state: &World) -> Option<CallInvariant> {
        match self.only_invariant {
            Some(invariant) => state.violates(invariant).then_some(invariant),
            None => CallInvariant::ALL
                .into_iter()
                .find(|invariant| state.violates(*invariant)),
        }
    }
}
