//! Input to a placement policy.

use chicory_types::{MonoTime, Slot};

/// Server that accepts slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementServer {
    /// Stable hash of its name.
    pub name_hash: u64,
    /// Its share of load relative to the other servers, above zero.
    pub weight: f64,
    /// Fraction of its share that it may be filled up to after a cold start, above zero and at most
    /// `1.0`. A server above that fraction gets no more slots, but keeps those it has.
    pub warmup_factor: f64,
}

impl PlacementServer {
    /// Returns the share of load that the server may currently be filled up to.
    #[must_use]
    pub fn warm_weight(&self) -> f64 {
        self.weight * self.warmup_factor
    }
}

/// Placement state of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotPlace {
    /// The slot cannot be placed: it belongs to another zone, is to move to one, is being released,
    /// or is owned by a server that accepts no slots.
    Fixed,
    /// The slot has no owner and can be placed.
    Free,
    /// The slot is owned by the server with this index in [`PlacementInput::servers`].
    Owned(u16),
}

/// Input to a placement policy for one service.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// The current time.
    pub now: MonoTime,
    /// The servers that accept slots.
    pub servers: &'a [PlacementServer],
    /// Placement state of each slot.
    pub places: &'a [SlotPlace],
    /// Load of each slot, above zero.
    pub loads: &'a [f32],
}

impl PlacementInput<'_> {
    /// Returns the total load of each server.
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

    /// Returns the free slots, in order.
    #[must_use]
    pub fn free_slots(&self) -> Vec<Slot> {
        let places = (0..).zip(self.places);
        let free = places.filter(|(_, place)| **place == SlotPlace::Free);
        free.map(|(slot, _)| slot).collect()
    }

    /// Returns the load of a slot.
    #[must_use]
    pub fn load_of(&self, slot: Slot) -> f64 {
        f64::from(self.loads[usize::from(slot)])
    }

    /// Returns the load of all slots that are owned or free, divided by the weight of all servers.
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
