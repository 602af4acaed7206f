//! Whether the warm servers of a service have room.

use std::collections::BTreeMap;

use chicory_types::ServiceName;

use super::AttemptOutcome;

/// Weight of the latest attempt in the part of attempts that were turned away.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Part of attempts that were turned away from which on servers count as full. One that is turned
/// away counts for the next seven: an entry VM sends a few requests a second, and what a cold server
/// gets is limited anyway.
const FULL_PART: f64 = 0.05;

/// Whether the warm servers of a service have room, by the attempts of this entry VM at them.
///
/// An entry VM sends to any one server only every few seconds, so the attempts at all servers of a
/// service count together.
#[derive(Debug, Default)]
pub(super) struct WarmRoom {
    /// Part of recent attempts that servers turned away because they were full, by service.
    full_parts: BTreeMap<ServiceName, f64>,
}

impl WarmRoom {
    /// Records how an attempt at a warm server of a service ended.
    pub(super) fn record(&mut self, service: &ServiceName, outcome: AttemptOutcome) {
        let sample = match outcome {
            AttemptOutcome::Shed | AttemptOutcome::ConnectionRejected => 1.0,
            AttemptOutcome::Answered => 0.0,
            _ => return,
        };
        let part = self.full_parts.entry(service.clone()).or_default();
        *part += SAMPLE_WEIGHT * (sample - *part);
    }

    /// Whether warm servers of a service are likely to be full.
    pub(super) fn is_used_up(&self, service: &str) -> bool {
        let part = self.full_parts.get(service);
        part.is_some_and(|part| *part >= FULL_PART)
    }
}
