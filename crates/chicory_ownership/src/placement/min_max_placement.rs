//! Lexicographic min-max placement.

use chicory_types::Slot;

use super::free_slots::place_evenly;
use super::load_queue::LoadQueue;
use crate::{PlacementInput, PlacementPlan, PlacementPolicy, SlotPlace};

/// Lexicographic min-max placement: lowers the greatest load as far as possible, then the next.
///
/// It optimizes balance by local search, without regard to churn: a slot is moved whenever that
/// lowers the load of the most loaded server whose load can still be lowered.
#[derive(Clone, Copy, Debug, Default)]
pub struct MinMaxPlacement;

/// Minimum relative reduction of load that justifies a move.
const MIN_GAIN: f64 = 0.001;

impl PlacementPolicy for MinMaxPlacement {
    fn place(&mut self, input: &PlacementInput<'_>) -> PlacementPlan {
        PlacementPlan {
            assign: place_evenly(input),
            release: Vec::new(),
        }
    }

    fn rebalance(&mut self, input: &PlacementInput<'_>) -> PlacementPlan {
        let mut queue = LoadQueue::new(input);
        let mut slots = sorted_slots(input);
        let mut settled = vec![false; input.servers.len()];
        let mut release = Vec::new();
        while let Some(from) = greatest_unsettled(&queue, &settled) {
            let Some(to) = queue.least() else {
                break;
            };
            let own = &mut slots[usize::from(from)];
            let limit = queue.load(from) * (1.0 - MIN_GAIN);
            let fits = |slot: &Slot| queue.warm_load_with(to, input.load_of(*slot)) < limit;
            let end = own.partition_point(fits);
            if end == 0 || from == to {
                settled[usize::from(from)] = true;
                continue;
            }
            let slot = own.remove(best_fit(input, &queue, own, end, from, to));
            queue.add(from, -input.load_of(slot));
            queue.add(to, input.load_of(slot));
            release.push(slot);
        }
        PlacementPlan {
            assign: Vec::new(),
            release,
        }
    }
}

/// Returns the index of the slot whose move brings the loads of both servers closest together.
fn best_fit(
    input: &PlacementInput<'_>,
    queue: &LoadQueue,
    own: &[Slot],
    end: usize,
    from: u16,
    to: u16,
) -> usize {
    let middle = |slot: &Slot| {
        let load = input.load_of(*slot);
        queue.warm_load_with(to, load) < queue.load_without(from, load)
    };
    own[..end].partition_point(middle).min(end - 1)
}

fn greatest_unsettled(queue: &LoadQueue, settled: &[bool]) -> Option<u16> {
    let open = (0..).zip(settled).filter(|(_, settled)| !**settled);
    let open = open.map(|(server, _)| server);
    open.max_by(|a, b| queue.load(*a).total_cmp(&queue.load(*b)))
}

/// Returns the slots of each server, coldest first.
fn sorted_slots(input: &PlacementInput<'_>) -> Vec<Vec<Slot>> {
    let mut slots = vec![Vec::new(); input.servers.len()];
    for (slot, place) in (0..).zip(input.places) {
        if let SlotPlace::Owned(server) = place {
            slots[usize::from(*server)].push(slot);
        }
    }
    for own in &mut slots {
        own.sort_by(|a, b| input.load_of(*a).total_cmp(&input.load_of(*b)));
    }
    slots
}
