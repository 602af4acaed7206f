//! Even placement of free slots.

use chicory_types::Slot;

use super::load_queue::LoadQueue;
use crate::{PlacementInput, SlotAssignment};

/// Ratio to the mean load of the free slots above which a slot is placed individually.
const HOT_FACTOR: f64 = 4.0;

/// Places all free slots so that the load per weight becomes as even as possible.
///
/// Hot slots are placed one by one, hottest first, each on the server with the least load. The
/// other slots are placed in runs, which keeps the number of runs small.
pub fn place_evenly(input: &PlacementInput<'_>) -> Vec<SlotAssignment> {
    let free = input.free_slots();
    if input.servers.is_empty() || free.is_empty() {
        return Vec::new();
    }
    let mut queue = LoadQueue::new(input);
    let total: f64 = free.iter().map(|slot| input.load_of(*slot)).sum();
    #[expect(clippy::cast_precision_loss, reason = "there are at most 16384 slots")]
    let hot_load = HOT_FACTOR * total / free.len() as f64;
    let (mut hot, cold): (Vec<Slot>, Vec<Slot>) = free
        .iter()
        .partition(|slot| input.load_of(**slot) > hot_load);
    hot.sort_by(|a, b| input.load_of(*b).total_cmp(&input.load_of(*a)));
    let mut assign = Vec::with_capacity(free.len());
    for slot in hot {
        let Some(server) = queue.least() else {
            break;
        };
        queue.add(server, input.load_of(slot));
        assign.push(SlotAssignment { slot, server });
    }
    place_cold(input, &cold, &mut queue, &mut assign);
    assign
}

/// Fills the least loaded server up to the common level, then the next one.
fn place_cold(
    input: &PlacementInput<'_>,
    cold: &[Slot],
    queue: &mut LoadQueue,
    assign: &mut Vec<SlotAssignment>,
) {
    let level = common_level(input, cold, queue);
    let mut rest = cold.iter().copied().peekable();
    while rest.peek().is_some() {
        let Some(server) = queue.least() else {
            return;
        };
        let mut load = 0.0;
        while let Some(slot) = rest.peek().copied() {
            let next = load + input.load_of(slot);
            let is_full = queue.warm_load_with(server, next) > level;
            if load > 0.0 && is_full {
                break;
            }
            load = next;
            assign.push(SlotAssignment { slot, server });
            rest.next();
            if is_full {
                break;
            }
        }
        queue.add(server, load);
    }
}

/// Returns the load per weight that the least loaded servers reach when `cold` is spread over them.
fn common_level(input: &PlacementInput<'_>, cold: &[Slot], queue: &LoadQueue) -> f64 {
    let mut remaining_load: f64 = cold.iter().map(|slot| input.load_of(*slot)).sum();
    let mut servers: Vec<(f64, f64)> = (0..)
        .zip(input.servers)
        .map(|(index, server)| (queue.warm_load_with(index, 0.0), server.warm_weight()))
        .collect();
    servers.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut weight = 0.0;
    let mut level = servers.first().map_or(0.0, |(load, _)| *load);
    for (load, own_weight) in servers {
        let needed = (load - level) * weight;
        if needed > remaining_load {
            break;
        }
        remaining_load -= needed;
        level = load;
        weight += own_weight;
    }
    if weight > 0.0 {
        level += remaining_load / weight;
    }
    level
}
