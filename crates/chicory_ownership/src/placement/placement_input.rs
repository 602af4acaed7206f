//! What a placement goes by.

use chicory_types::{MonoTime, Slot};

/// A server that accepts slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementServer {
    /// Stable hash of its name.
    pub name_hash: u64,
    /// Its share of load, relative to the others; above zero.
    pub weight: f64,
    /// Part of its share that it may be filled up to after a cold start, in `0.0..=1.0`, above
    /// zero. A server above that part isn't filled further, but keeps what it has.
    pub warmup_factor: f64,
}

impl PlacementServer {
    /// The share of load that it may be filled up to.
    #[must_use]
    pub fn warm_weight(&self) -> f64 {
        self.weight * self.warmup_factor
    }
}

/// Where a slot is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotPlace {
    /// It can't be placed: it belongs to another zone or is being released.
    Fixed,
    /// It has no owner and waits for one.
    Free,
    /// The server with this index in [`PlacementInput::servers`] owns it.
    Owned(u16),
}

/// What a placement goes by.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// The present.
    pub now: MonoTime,
    /// The servers that accept slots.
    pub servers: &'a [PlacementServer],
    /// Where each slot is.
    pub places: &'a [SlotPlace],
    /// Load of each slot, above zero.
    pub loads: &'a [f32],
}

impl PlacementInput<'_> {
    /// Sum of the load of each server.
    #[must_use]
    pub fn server_loads(&self) -> Vec<f64> {
        let mut loads = vec![0.0; self.servers.len()];
        for (place, load) in self.places.iter().zip(self.loads) {
            if let SlotPlace::Owned(server) = place {
                loads[usize::from(*server)] += f64::from(*load);
            }
        }
        loads
    }

    /// The free slots, in order.
    #[must_use]
    pub fn free_slots(&self) -> Vec<Slot> {
        let places = (0..).zip(self.places);
        let free = places.filter(|(_, place)| **place == SlotPlace::Free);
        free.map(|(slot, _)| slot).collect()
    }

    /// Load of a slot.
    #[must_use]
    pub fn load_of(&self, slot: Slot) -> f64 {
        f64::from(self.loads[usize::from(slot)])
    }

    /// Load of all slots that can be placed, over the weight of all servers.
    #[must_use]
    pub fn mean_load(&self) -> f64 {
        let placed = self.places.iter().zip(self.loads);
        let total: f64 = placed
            .filter(|(place, _)| **place != SlotPlace::Fixed)
            .map(|(_, load)| f64::from(*load))
            .sum();
        let weight: f64 = self.servers.iter().map(|server| server.weight).sum();
        total / weight
    }
}
