use std::cell::Cell;
use std::fmt;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// A specification with finitely many states.
pub trait Spec {
    /// Everything that decides what happens next.
    type State: Clone + Eq + Hash + fmt::Debug;
    /// One step, also a fault.
    type Action: Clone + fmt::Debug;
    /// Names what must hold in every state.
    type Invariant: Copy + Eq + fmt::Debug;

    /// The states that a run may begin with.
    fn initial(&self) -> Vec<Self::State>;

    /// Every step that is possible in a state, with the state that it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Action, Self::State)>;

    /// The first invariant that does not hold in a state.
    fn violated(&self, state: &Self::State) -> Option<Self::Invariant>;
}

/// What the exploration of a specification found.
#[derive(Debug, Clone)]
pub enum Explored<S: Spec> {
    /// All reachable states hold every invariant.
    Holds {
        /// Number of reachable states.
        states: usize,
    },
    /// The shortest run to a state that breaks an invariant.
    Broken(Counterexample<S>),
}

/// A run, step by step.
#[derive(Debug, Clone)]
pub struct Counterexample<S: Spec> {
    /// What does not hold in the last state.
    pub invariant: S::Invariant,
    /// State that the run begins with.
    pub initial: S::State,
    /// Steps with the states that they lead to.
    pub steps: Vec<(S::Action, S::State)>,
}

/// Either the start before a specification's initial states, or one of its states.
type Node<S> = Option<<S as Spec>::State>;

/// Visits every reachable state, breadth first, until one breaks an invariant.
///
/// ```
/// use specs::{Explored, Spec, explore};
///
/// #[derive(Debug, Clone)]
/// struct Counter {
///     limit: u8,
/// }
///
/// impl Spec for Counter {
///     type State = u8;
///     type Action = &'static str;
///     type Invariant = &'static str;
///
///     fn initial(&self) -> Vec<u8> {
///         vec![0]
///     }
///
///     fn steps(&self, state: &u8) -> Vec<(&'static str, u8)> {
///         if *state < self.limit { vec![("add", state + 1)] } else { Vec::new() }
///     }
///
///     fn violated(&self, state: &u8) -> Option<&'static str> {
///         (*state > 3).then_some("at most 3")
///     }
/// }
///
/// assert_eq!(explore(&Counter { limit: 3 }).states(), Some(4));
/// let Explored::Broken(found) = explore(&Counter { limit: 9 }) else { panic!() };
/// assert_eq!(found.steps.len(), 4);
/// ```
pub fn explore<S: Spec>(spec: &S) -> Explored<S> {
    let expanded = Cell::new(0);
    let path = search(spec, &expanded, |state| spec.violated(state).is_some());
    let Some(path) = path else {
        return Explored::Holds {
            states: expanded.get(),
        };
    };
    match path.last().and_then(|last| spec.violated(last)) {
        Some(invariant) => Explored::Broken(replay(spec, &path, invariant)),
        None => Explored::Holds {
            states: expanded.get(),
        },
    }
}

/// The fewest steps to a state that `is_wanted`; `None` if no reachable state is. Shows that a specification can get
/// anywhere at all.
pub fn fewest_steps<S: Spec>(spec: &S, is_wanted: impl Fn(&S::State) -> bool) -> Option<usize> {
    search(spec, &Cell::new(0), is_wanted).map(|path| path.len() - 1)
}

/// Shortest path of states to a wanted one; counts the states that were expanded.
fn search<S: Spec>(
    spec: &S,
    expanded: &Cell<usize>,
    is_wanted: impl Fn(&S::State) -> bool,
) -> Option<Vec<S::State>> {
    let successors = |node: &Node<S>| -> Vec<Node<S>> {
        let Some(state) = node else {
            return spec.initial().into_iter().map(Some).collect();
        };
        expanded.set(expanded.get() + 1);
        spec.steps(state)
            .into_iter()
            .map(|(_, next)| Some(next))
            .collect()
    };
    let path = bfs(&None, successors, |node: &Node<S>| {
        node.as_ref().is_some_and(&is_wanted)
    })?;
    Some(path.into_iter().flatten().collect())
}

/// Names the steps between the states of a path.
fn replay<S: Spec>(spec: &S, path: &[S::State], invariant: S::Invariant) -> Counterexample<S> {
    let steps = path.windows(2).filter_map(|pair| {
        let mut taken = spec.steps(&pair[0]).into_iter();
        taken.find(|(_, next)| *next == pair[1])
    });
    Counterexample {
        invariant,
        initial: path[0].clone(),
        steps: steps.collect(),
    }
}

impl<S: Spec> Explored<S> {
    /// Number of states if every invariant holds.
    pub fn states(&self) -> Option<usize> {
        match self {
            Self::Holds { states } => Some(*states),
            Self::Broken(_) => None,
        }
    }

    /// The invariant that is broken, if one is.
    pub fn broken(&self) -> Option<S::Invariant> {
        match self {
            Self::Holds { .. } => None,
            Self::Broken(found) => Some(found.invariant),
        }
    }
}

impl<S: Spec> fmt::Display for Explored<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Holds { states } => write!(f, "holds in all {states} states"),
            Self::Broken(found) => write!(f, "{found}"),
        }
    }
}

impl<S: Spec> fmt::Display for Counterexample<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "broken: {:?}, after {} steps",
            self.invariant,
            self.steps.len()
        )?;
        writeln!(f, "  0. {:?}", self.initial)?;
        for (i, (action, state)) in self.steps.iter().enumerate() {
            writeln!(f, "  {}. {action:?} -> {state:?}", i + 1)?;
        }
        Ok(())
    }
}
