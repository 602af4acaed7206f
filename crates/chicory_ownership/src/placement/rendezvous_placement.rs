//! Placement by rendezvous hashing.

use chicory_types::Slot;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{PlacementInput, PlacementPlan, PlacementPolicy, SlotAssignment, SlotPlace};

/// Placement by weighted rendezvous hashing, regardless of load.
///
/// Each slot belongs to the server with the greatest score, so adding or removing a server moves
/// only the slots of that server. Load that is concentrated on few slots is not redistributed.
#[derive(Clone, Copy, Debug, Default)]
pub struct RendezvousPlacement;

impl RendezvousPlacement {
    fn owner_of(input: &PlacementInput<'_>, slot: Slot) -> Option<u16> {
        let scores = (0..)
            .zip(input.servers)
            .map(|(index, server)| (index, score(slot, server.name_hash, server.weight)));
        let best = scores.max_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(index, _)| index)
    }
}

impl PlacementPolicy for RendezvousPlacement {
    fn place(&mut self, input: &PlacementInput<'_>) -> PlacementPlan {
        let free = input.free_slots().into_iter();
        let assign = free.filter_map(|slot| {
            let server = Self::owner_of(input, slot)?;
            Some(SlotAssignment { slot, server })
        });
        PlacementPlan {
            assign: assign.collect(),
            release: Vec::new(),
        }
    }

    fn rebalance(&mut self, input: &PlacementInput<'_>) -> PlacementPlan {
        let owned = (0..).zip(input.places).filter_map(|(slot, place)| {
            let SlotPlace::Owned(server) = place else {
                return None;
            };
            (Self::owner_of(input, slot) != Some(*server)).then_some(slot)
        });
        PlacementPlan {
            assign: Vec::new(),
            release: owned.collect(),
        }
    }
}

/// Returns the score of a server for a slot. The number of slots for which a server has the
/// greatest score is on average proportional to its weight.
fn score(slot: Slot, name_hash: u64, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(&slot.to_le_bytes(), name_hash);
    #[expect(clippy::cast_precision_loss, reason = "a score needs no exact hash")]
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight / uniform.ln()
}
