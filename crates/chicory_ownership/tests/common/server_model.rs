//! Model of a backend server that accepts grants.

use std::time::Duration;

use chicory_ownership::{RunMap, ServerRecord};
use chicory_types::{ClockRateMargin, FencingToken, MonoTime, Slot};

use super::clock_model::ClockModel;
use super::message::ServerGrant;

pub struct ServerModel {
    pub record: ServerRecord,
    pub clock: ClockModel,
    pub is_alive: bool,
    pub frozen_until: Duration,
    pub next_announce: Duration,
    pub dispatcher: Option<usize>,
    pub lease_end: MonoTime,
    pub granted_at: MonoTime,
    pub slots: RunMap<FencingToken>,
}

impl ServerModel {
    pub fn new(record: ServerRecord, clock: ClockModel) -> Self {
        Self {
            record,
            clock,
            is_alive: true,
            frozen_until: Duration::ZERO,
            next_announce: Duration::ZERO,
            dispatcher: None,
            lease_end: MonoTime::ZERO,
            granted_at: MonoTime::ZERO,
            slots: RunMap::default(),
        }
    }

    /// Applies a grant, unless it answers an earlier announcement than the current grant.
    pub fn on_grant(&mut self, sent_at: MonoTime, grant: ServerGrant) {
        if sent_at < self.granted_at || grant.lease.is_zero() {
            return;
        }
        self.granted_at = sent_at;
        self.lease_end = ClockRateMargin::lease_expiry_for_holder(sent_at, grant.lease);
        self.slots = grant.slots;
    }

    /// Returns whether the server owns the slot according to its own lease and clock.
    pub fn owns(&self, now: Duration, slot: Slot) -> bool {
        self.is_alive && self.clock.at(now) < self.lease_end && self.slots.get(slot).is_some()
    }
}
