//! Owner and custodian of each slot of one service.

use chicory_types::{SLOTS_PER_SERVICE, Slot, SlotRun, ZoneName};

use crate::view::{ServerIndex, ServerSlots, SlotState};

/// Index into the list of zones; the greatest value means that a slot has no custodian.
type ZoneIndex = u16;

const NO_ZONE: ZoneIndex = ZoneIndex::MAX;

/// Owner and custodian of each slot of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotMap {
    owners: Vec<SlotState>,
    custodians: Vec<ZoneIndex>,
    zones: Vec<ZoneName>,
}

impl SlotMap {
    pub(crate) fn owner(&self, slot: Slot) -> SlotState {
        self.owners
            .get(usize::from(slot))
            .copied()
            .unwrap_or_default()
    }

    pub(crate) fn custodian(&self, slot: Slot) -> Option<&ZoneName> {
        let index = self.custodians.get(usize::from(slot))?;
        self.zones.get(usize::from(*index))
    }

    pub(crate) fn assign(&mut self, runs: &[SlotRun], state: SlotState) {
        if self.owners.is_empty() {
            self.owners = vec![SlotState::Unowned; usize::from(SLOTS_PER_SERVICE)];
        }
        fill(&mut self.owners, runs, state);
    }

    pub(crate) fn set_custodian(&mut self, runs: &[SlotRun], zone: &str) {
        if self.custodians.is_empty() {
            self.custodians = vec![NO_ZONE; usize::from(SLOTS_PER_SERVICE)];
        }
        let index = self.zone_index(zone);
        fill(&mut self.custodians, runs, index);
    }

    pub(crate) fn server_slots(&self, server: ServerIndex) -> ServerSlots {
        let mut server_slots = ServerSlots::default();
        for (slot, state) in (0..SLOTS_PER_SERVICE).zip(&self.owners) {
            match state {
                SlotState::Owned { server: s, token } if *s == server => {
                    server_slots.owned.push((slot, *token));
                }
                SlotState::Releasing { server: s, .. } if *s == server => {
                    server_slots.releasing.push(slot);
                }
                _ => {}
            }
        }
        server_slots
    }

    fn zone_index(&mut self, zone: &str) -> ZoneIndex {
        let found = self.zones.iter().position(|known| known == zone);
        let position = found.unwrap_or_else(|| {
            self.zones.push(zone.to_owned());
            self.zones.len() - 1
        });
        ZoneIndex::try_from(position).unwrap_or(NO_ZONE)
    }
}

fn fill<T: Copy>(values: &mut [T], runs: &[SlotRun], value: T) {
    for run in runs {
        let end = (usize::from(run.last) + 1).min(values.len());
        let start = usize::from(run.first).min(end);
        values[start..end].fill(value);
    }
}
