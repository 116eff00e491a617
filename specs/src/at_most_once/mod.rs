//! Calls that must not be repeated, over the ledger's own transition functions.

mod steps;
mod world;

use error_stack::Report;
use ledger::{LedgerError, Protocol};

use crate::Spec;
pub use world::{CallMutant, World, WorldAction};

/// Two hosts, a few tries of one call, and faults.
#[derive(Debug, Clone)]
pub struct AtMostOnce {
    /// The daemon's rules.
    protocol: Protocol,
    /// Number of tries.
    tries: u8,
    /// Answers of the table service that may be lost or late.
    losses: u8,
    /// Hosts that may be replaced.
    kills: u8,
    /// A fault of the code.
    mutant: Option<CallMutant>,
    /// Whether the last try has another body.
    has_other_body: bool,
    /// The only invariant that is checked, if not all are.
    watched: Option<CallInvariant>,
}

/// What must hold in every state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallInvariant {
    /// The call runs at most once.
    RunsAtMostOnce,
    /// A try whose caller was told `not-run` does not run.
    NotRunIsTrue,
    /// A caller is told `ran` only if the call ran.
    RanIsTrue,
    /// Nothing is sent after the claim's deadline.
    SentInTime,
    /// When all is quiet, no claim of a living host is left over.
    NoClaimLeftOver,
}

impl CallInvariant {
    /// Every invariant.
    pub const ALL: [Self; 5] = [
        Self::RunsAtMostOnce,
        Self::NotRunIsTrue,
        Self::RanIsTrue,
        Self::SentInTime,
        Self::NoClaimLeftOver,
    ];
}

impl AtMostOnce {
    /// The specification with `tries` tries, `losses` lost answers and `kills` replaced hosts.
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
    /// As [`Protocol::load`].
    pub fn new(tries: u8, losses: u8, kills: u8) -> Result<Self, Report<LedgerError>> {
        Ok(Self {
            protocol: Protocol::load()?,
            tries,
            losses,
            kills,
            mutant: None,
            has_other_body: false,
            watched: None,
        })
    }

    /// The same with a fault of the code.
    pub fn with_mutant(mut self, mutant: CallMutant) -> Self {
        self.mutant = Some(mutant);
        self
    }

    /// The same, but only one invariant is checked.
    pub fn watching(mut self, invariant: CallInvariant) -> Self {
        self.watched = Some(invariant);
        self
    }

    /// The same with another body in the last try.
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
        vec![World::new(self.losses, self.kills)]
    }

    fn steps(&self, state: &World) -> Vec<(WorldAction, World)> {
        steps::all(self, state)
    }

    fn violated(&self, state: &World) -> Option<CallInvariant> {
        match self.watched {
            Some(invariant) => state.breaks(invariant).then_some(invariant),
            None => CallInvariant::ALL
                .into_iter()
                .find(|invariant| state.breaks(*invariant)),
        }
    }
}
