use std::ops::Range;

use utils::Incarnation;

/// Whether the whole content of a target or store has to be read again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Reread {
    /// What is known follows from all events so far.
    NotNeeded,
    /// Events are missing; entries are doubtful until a snapshot is read.
    Needed,
}

/// Position in the numbered changes of one process.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Feed {
    /// Run of the process, once known.
    incarnation: Option<Incarnation>,
    /// Number of the first change that was not applied.
    next: u64,
    /// Whether changes are missing.
    is_doubtful: bool,
}

/// What a feed makes of a batch of changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Advance {
    /// The process started anew: all that is known of it is void.
    pub(crate) restarted: bool,
    /// Positions in the batch that are new.
    pub(crate) fresh: Range<usize>,
}

impl Feed {
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    pub(crate) fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    pub(crate) fn doubt(&mut self) {
        self.is_doubtful = true;
    }

    /// Takes `count` changes from number `first` on.
    pub(crate) fn advance(&mut self, incarnation: Incarnation, first: u64, count: usize) -> Advance {
        let restarted = self.incarnation != Some(incarnation);
        if restarted {
            *self = Self {
                incarnation: Some(incarnation),
                ..Self::default()
            };
        }
        if first > self.next {
            self.is_doubtful = true;
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

    /// Takes a whole snapshot; changes from `next` on follow it.
    pub(crate) fn restart(&mut self, incarnation: Incarnation, next: u64) {
        *self = Self {
            incarnation: Some(incarnation),
            next,
            is_doubtful: false,
        };
    }

    pub(crate) fn reread(&self) -> Reread {
        if self.is_doubtful {
            Reread::Needed
        } else {
            Reread::NotNeeded
        }
    }
}
