use std::time::Duration;

use utils::{Monotonic, digest};

use super::hosts::SLOTS_PER_BLOCK;
use super::{SlotHosts, SlotSchedule};

/// Number of successive blocks that the open slots of a target can touch.
const OPEN_BLOCKS: usize = 3;

/// The slots of one target that belong to this host.
///
/// ```
/// use std::time::Duration;
/// use gateway::{SlotHosts, SlotQuota, SlotSchedule};
///
/// let schedule = SlotSchedule::for_limit(2.0).unwrap();
/// let now = Duration::from_secs(100);
/// let mut quota = SlotQuota::default();
/// // A host that is not listed has no slots.
/// assert_eq!(quota.free_slot("t1", &schedule, &SlotHosts::new("h1".into()), now, now), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct SlotQuota {
    /// Digest of the target's name, once it is known.
    name_digest: Option<u64>,
    /// This host's slots in the blocks that may be open.
    blocks: [Option<OwnSlots>; OPEN_BLOCKS],
    /// Slots that have been taken and may still be open.
    taken: Vec<u64>,
}

/// The slots of a block that belong to this host.
#[derive(Debug, Clone, Copy)]
struct OwnSlots {
    /// Number of the block.
    block: u64,
    /// Generation of the list of hosts.
    generation: u64,
    /// Whether each slot is this host's.
    is_own: [bool; SLOTS_PER_BLOCK as usize],
}

impl SlotQuota {
    /// Returns the oldest open slot of this host that has not been taken.
    pub fn free_slot(
        &mut self,
        instance: &str,
        schedule: &SlotSchedule,
        hosts: &SlotHosts,
        store_time: Duration,
        now: Monotonic,
    ) -> Option<u64> {
        if !hosts.may_use_slots(now) {
            return None;
        }
        let name_digest = *self
            .name_digest
            .get_or_insert_with(|| digest(instance.as_bytes()).first_u64());
        let mut open = schedule.open_slots_of(name_digest, store_time)?;
        let oldest = *open.start();
        // The time of the store only advances, but for a correction of a few milliseconds.
        self.taken.retain(|slot| *slot + SLOTS_PER_BLOCK >= oldest);
        open.find(|slot| !self.taken.contains(slot) && self.is_own(name_digest, hosts, *slot))
    }

    /// Takes the oldest open slot of this host, if one is free.
    pub fn take(
        &mut self,
        instance: &str,
        schedule: &SlotSchedule,
        hosts: &SlotHosts,
        store_time: Duration,
        now: Monotonic,
    ) -> Option<u64> {
        let slot = self.free_slot(instance, schedule, hosts, store_time, now)?;
        self.taken.push(slot);
        Some(slot)
    }

    fn is_own(&mut self, name_digest: u64, hosts: &SlotHosts, slot: u64) -> bool {
        let block = slot / SLOTS_PER_BLOCK;
        let held = &mut self.blocks[(block % OPEN_BLOCKS as u64) as usize];
        let is_current = |own: &OwnSlots| own.block == block && own.generation == hosts.generation();
        let own = match held {
            Some(own) if is_current(own) => own,
            _ => held.insert(OwnSlots {
                block,
                generation: hosts.generation(),
                is_own: hosts.own_slots(name_digest, block),
            }),
        };
        own.is_own[(slot % SLOTS_PER_BLOCK) as usize]
    }
}
