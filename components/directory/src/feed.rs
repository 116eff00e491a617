use std::ops::Range;

use utils::Incarnation;

/// Whether the whole content of a target or store has to be read again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Reread {
    /// The recorded content reflects all events so far.
    NotNeeded,
    /// Events are missing; entries are unconfirmed until a snapshot is read.
    Needed,
}

/// Position in the numbered changes of one process incarnation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Feed {
    /// Incarnation of the process, once known.
    incarnation: Option<Incarnation>,
    /// Number of the first change that has not been applied.
    next: u64,
    /// Whether changes are missing.
    is_stale: bool,
}

/// The effect of a batch of changes on a [`Feed`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Advance {
    /// Whether the process was restarted, which invalidates all recorded content.
    pub(crate) restarted: bool,
    /// Indexes of the changes in the batch that have not been applied before.
    pub(crate) fresh: Range<usize>,
}

impl Feed {
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    pub(crate) fn is_stale(&self) -> bool {
        self.is_stale
    }

    pub(crate) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Advances over `count` changes from number `first` on, and detects restarts and gaps.
    pub(crate) fn advance(&mut self, incarnation: Incarnation, first: u64, count: usize) -> Advance {
        let restarted = self.incarnation != Some(incarnation);
        if restarted {
            *self = Self {
                incarnation: Some(incarnation),
                ..Self::default()
            };
        }
        if first > self.next {
            self.is_stale = true;
        }
        let known = usize::try_from(self.next.saturating_sub(first))
            .unwrap_or(usize::MAX)
            .min(count);
        self.next = self.next.max(first + count as u64);
        Advance {
            restarted,
            fresh: known..count,
        }
    }

    /// Sets the position after a snapshot; changes from number `next` on follow it.
    pub(crate) fn reset(&mut self, incarnation: Incarnation, next: u64) {
        *self = Self {
            incarnation: Some(incarnation),
            next,
            is_stale: false,
        };
    }

    pub(crate) fn reread(&self) -> Reread {
        if self.is_stale {
            Reread::Needed
        } else {
            Reread::NotNeeded
        }
    }
}
