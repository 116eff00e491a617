use std::sync::atomic::{AtomicU64, Ordering};

use notes::NoteState;
use utils::Monotonic;

use crate::view::Serving;

/// Until when the host may take new work, and which change its view must hold at least.
///
/// The control thread writes it after it has published a view, the traffic threads read it without a lock.
#[derive(Debug, Default)]
pub(crate) struct NoteGate {
    /// Change that a view must hold.
    highest: AtomicU64,
    /// End of the time in which the host may take new work, in nanoseconds of the host's clock.
    serves_until: AtomicU64,
}

impl NoteGate {
    /// Lets work in until a moment, under views that hold at least this state.
    pub(crate) fn open(&self, state: &NoteState, serves_until: Monotonic) {
        self.highest.fetch_max(state.highest(), Ordering::AcqRel);
        let nanos = u64::try_from(serves_until.as_nanos()).unwrap_or(u64::MAX);
        self.serves_until.store(nanos, Ordering::Release);
    }

    /// Whether new work may be taken now under a view of this state.
    pub(crate) fn serving(&self, state: &NoteState, now: Monotonic) -> Serving {
        if state.head == 0 {
            return Serving::NoNote;
        }
        let serves_until = u128::from(self.serves_until.load(Ordering::Acquire));
        let is_current = state.highest() >= self.highest.load(Ordering::Acquire);
        match is_current && now.as_nanos() < serves_until {
            true => Serving::Yes,
            false => Serving::Unconfirmed,
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    #[test]
    fn an_older_view_takes_no_new_work() {
        let gate = NoteGate::default();
        let state = |head, staged| NoteState {
            head,
            staged,
            version: head,
        };
        assert_eq!(gate.serving(&state(0, None), Duration::ZERO), Serving::NoNote);
        gate.open(&state(1, Some(2)), Duration::from_secs(1));
        assert_eq!(
            gate.serving(&state(1, None), Duration::ZERO),
            Serving::Unconfirmed
        );
        assert_eq!(gate.serving(&state(1, Some(2)), Duration::ZERO), Serving::Yes);
        assert_eq!(gate.serving(&state(2, None), Duration::ZERO), Serving::Yes);
        assert_eq!(
            gate.serving(&state(2, None), Duration::from_secs(1)),
            Serving::Unconfirmed
        );
    }
}
