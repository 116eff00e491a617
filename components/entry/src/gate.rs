use std::sync::atomic::{AtomicU64, Ordering};

use notes::NoteState;
use utils::Monotonic;

use crate::view::Serving;

/// The time until which the host may accept new requests, and the oldest change that its view must contain.
///
/// The control thread updates the gate after it has published a view. The traffic threads read it without a
/// lock.
#[derive(Debug, Default)]
pub(crate) struct NoteGate {
    /// Highest change published so far. An older view accepts no new requests.
    highest: AtomicU64,
    /// Time until which the host may accept new requests, in nanoseconds of its monotonic clock.
    serves_until: AtomicU64,
}

impl NoteGate {
    /// Permits new requests until `serves_until`, under views with at least the changes of `state`.
    pub(crate) fn open(&self, state: &NoteState, serves_until: Monotonic) {
        self.highest.fetch_max(state.highest(), Ordering::AcqRel);
        let nanos = u64::try_from(serves_until.as_nanos()).unwrap_or(u64::MAX);
        self.serves_until.store(nanos, Ordering::Release);
    }

    /// Returns whether the host may accept new requests under a view with `state`.
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
    fn an_outdated_view_accepts_no_new_requests() {
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
