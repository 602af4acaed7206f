//! Greedy placement with a churn budget.

use std::time::Duration;

use chicory_types::{MonoTime, Slot};

use super::free_slots::place_evenly;
use super::load_queue::LoadQueue;
use crate::{PlacementInput, PlacementPlan, PlacementPolicy, SlotPlace};

/// Load of the most loaded server, in percent of the mean, above which rebalancing starts.
pub const REBALANCE_START_PERCENT: u32 = 125;
/// Load of the most loaded server, in percent of the mean, at which rebalancing stops.
pub const REBALANCE_STOP_PERCENT: u32 = 108;
/// Average number of slots of a service that may be moved per minute to balance load.
pub const CHURN_SLOTS_PER_MINUTE: u32 = 240;
/// Maximum number of slots of a service that may be moved at once, after a time without moves.
pub const CHURN_BURST_SLOTS: u32 = 120;
/// Load of a slot, in percent of the mean load of a server, from which it is hot: hot slots are
/// moved even for small improvements of the balance.
const HOT_SLOT_PERCENT: f64 = 0.5;
/// Load of a slot, in percent of the mean load of a server, from which it is kept on a different
/// server than other slots of such load.
const ISOLATION_PERCENT: f64 = 60.0;
/// Load of a server, in percent of the mean, below which cold slots are moved to it.
const UNDERLOAD_PERCENT: u32 = 75;
/// Number of consecutive rounds in which the load must be uneven before slots are moved.
const UNEVEN_ROUNDS: u32 = 2;

/// Greedy placement with a churn budget, hysteresis and isolation of hot slots.
///
/// The hottest slot that fits is moved first, from the most loaded to the least loaded server. A
/// slot whose load exceeds the fair share of a server stays in place, and other slots are moved
/// away from its server.
#[derive(Clone, Copy, Debug)]
pub struct GreedyPlacement {
    budget: f64,
    refilled_at: MonoTime,
    uneven_rounds: u32,
    is_moving: bool,
}

impl Default for GreedyPlacement {
    fn default() -> Self {
        Self {
            budget: f64::from(CHURN_BURST_SLOTS),
            refilled_at: MonoTime::ZERO,
            uneven_rounds: 0,
            is_moving: false,
        }
    }
}

impl GreedyPlacement {
    fn refill_budget(&mut self, now: MonoTime) {
        let span = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        let minutes = span.as_secs_f64() / Duration::from_mins(1).as_secs_f64();
        let refilled = self.budget + minutes * f64::from(CHURN_SLOTS_PER_MINUTE);
        self.budget = refilled.min(f64::from(CHURN_BURST_SLOTS));
    }

    /// Applies hysteresis: rebalancing starts above [`REBALANCE_START_PERCENT`] and continues down
    /// to [`REBALANCE_STOP_PERCENT`].
    fn update_is_moving(&mut self, greatest: f64, mean: f64) {
        let start = mean * f64::from(REBALANCE_START_PERCENT) / 100.0;
        let stop = mean * f64::from(REBALANCE_STOP_PERCENT) / 100.0;
        if greatest <= stop {
            self.is_moving = false;
        }
        self.uneven_rounds = if greatest > start {
            self.uneven_rounds + 1
        } else {
            0
        };
        if self.uneven_rounds >= UNEVEN_ROUNDS {
            self.is_moving = true;
        }
    }
}

impl PlacementPolicy for GreedyPlacement {
    fn place(&mut self, input: &PlacementInput<'_>) -> PlacementPlan {
        PlacementPlan {
            assign: place_evenly(input),
            release: Vec::new(),
        }
    }

    fn rebalance(&mut self, input: &PlacementInput<'_>) -> PlacementPlan {
        self.refill_budget(input.now);
        let mut selector = MoveSelector::new(input);
        let Some(greatest) = selector.queue.greatest() else {
            return PlacementPlan::default();
        };
        let mean = input.mean_load();
        self.update_is_moving(selector.queue.load(greatest), mean);
        if !self.is_moving {
            return PlacementPlan::default();
        }
        let release = selector.select_moves(mean, self.budget);
        #[expect(clippy::cast_precision_loss, reason = "there are at most 16384 slots")]
        let spent = release.len() as f64;
        self.budget -= spent;
        PlacementPlan {
            assign: Vec::new(),
            release,
        }
    }
}

/// Selects the slots to move, one after the other.
struct MoveSelector<'a> {
    input: &'a PlacementInput<'a>,
    queue: LoadQueue,
    /// Slots of each server that are not selected yet. They are sorted by load, coldest first, once
    /// the server is considered.
    slots: Vec<Vec<Slot>>,
}

impl<'a> MoveSelector<'a> {
    fn new(input: &'a PlacementInput<'a>) -> Self {
        let mut slots = vec![Vec::new(); input.servers.len()];
        for (slot, place) in (0..).zip(input.places) {
            if let SlotPlace::Owned(server) = place {
                slots[usize::from(*server)].push(slot);
            }
        }
        Self {
            input,
            queue: LoadQueue::new(input),
            slots,
        }
    }

    fn select_moves(&mut self, mean: f64, budget: f64) -> Vec<Slot> {
        let stop = mean * f64::from(REBALANCE_STOP_PERCENT) / 100.0;
        let mut release = Vec::new();
        let mut budget_left = budget;
        let mut is_sorted = vec![false; self.slots.len()];
        while budget_left >= 1.0 {
            let (Some(from), Some(to)) = (self.queue.greatest(), self.queue.least()) else {
                break;
            };
            if self.queue.load(from) <= stop {
                break;
            }
            let index = usize::from(from);
            if !std::mem::replace(&mut is_sorted[index], true) {
                let input = self.input;
                self.slots[index].sort_by(|a, b| input.load_of(*a).total_cmp(&input.load_of(*b)));
            }
            let Some(slot) = self.take_fitting(from, to, stop, mean) else {
                break;
            };
            if !self.justifies_churn(from, to, slot, mean) {
                break;
            }
            self.queue.add(from, -self.input.load_of(slot));
            self.queue.add(to, self.input.load_of(slot));
            release.push(slot);
            budget_left -= 1.0;
        }
        release
    }

    /// Returns whether the improvement justifies the churn. Cold slots are moved only from a server
    /// far above the mean or to a server far below it.
    fn justifies_churn(&self, from: u16, to: u16, slot: Slot, mean: f64) -> bool {
        let percent_of_mean = |load: f64| load * 100.0 / mean;
        let slot_load = self.queue.share_of(from, self.input.load_of(slot));
        let is_hot = percent_of_mean(slot_load) >= HOT_SLOT_PERCENT;
        is_hot
            || percent_of_mean(self.queue.load(from)) > f64::from(REBALANCE_START_PERCENT)
            || percent_of_mean(self.queue.warm_load_with(to, 0.0)) < f64::from(UNDERLOAD_PERCENT)
    }

    /// Takes the second of two very hot slots from `from`, or else the hottest slot that raises the
    /// load of `to` neither above the limit nor above that of `from`.
    fn take_fitting(&mut self, from: u16, to: u16, stop: f64, mean: f64) -> Option<Slot> {
        if let Some(slot) = self.take_second_hottest(from, to, mean) {
            return Some(slot);
        }
        let limit = stop.min(self.queue.load(from));
        let slots = &mut self.slots[usize::from(from)];
        let fits = |slot: &Slot| self.queue.warm_load_with(to, self.input.load_of(*slot)) < limit;
        let end = slots.partition_point(fits);
        (end > 0).then(|| slots.remove(end - 1))
    }

    /// Takes the second hottest slot from `from` if it is very hot.
    ///
    /// Two very hot slots are separated even if that raises the load of `to` above the limit: `to`
    /// can then lower its load by releasing cold slots, which is not enough for a server that keeps
    /// two very hot slots.
    fn take_second_hottest(&mut self, from: u16, to: u16, mean: f64) -> Option<Slot> {
        let slots = &mut self.slots[usize::from(from)];
        let second = slots.len().checked_sub(2)?;
        let load = self.input.load_of(slots[second]);
        let needs_isolation = self.queue.share_of(from, load) * 100.0 >= mean * ISOLATION_PERCENT;
        let is_better = self.queue.warm_load_with(to, load) < self.queue.load(from);
        (needs_isolation && is_better).then(|| slots.remove(second))
    }
}
