//! Evacuations of availability zones.

use std::time::{Duration, Instant};

use platform_stand_ins::Operator;

use crate::Run;

/// Time within which an order is acknowledged. It is part of the operators' requirements.
const ACKNOWLEDGE_TIME: Duration = Duration::from_secs(4);
/// Time within which servers of a zone get requests again. It is part of the operators' requirements
/// for a recovery.
const RETURN_TIME: Duration = Duration::from_secs(15);
/// Pause between two tries to have an order acknowledged.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

impl Run {
    /// Orders the evacuation of a zone, and revokes it after a time. Its servers may turn cold
    /// meanwhile.
    pub(crate) async fn evacuate(&self, zone: &str, length: Duration, ends_cold: bool) {
        let is_begun = self.order(zone, true, ACKNOWLEDGE_TIME).await;
        if is_begun {
            self.guarantees.record_evacuation(zone, Instant::now());
            // The same order again changes nothing and is acknowledged as well.
            self.order(zone, true, ACKNOWLEDGE_TIME).await;
        }
        tokio::time::sleep(length).await;
        if is_begun && ends_cold {
            self.fleet.lock().await.turn_cold(zone);
        }
        // An order without an acknowledgement may be in force, too.
        self.guarantees.record_evacuation_end(zone);
        let is_finished = self.order(zone, false, RETURN_TIME).await;
        if !is_begun || !is_finished {
            return;
        }
        let arrivals = self.guarantees.arrivals_in(zone);
        let deadline = Instant::now() + RETURN_TIME;
        while self.guarantees.arrivals_in(zone) == arrivals {
            if Instant::now() > deadline {
                let violation =
                    format!("{zone} gets no requests after its evacuation was finished");
                self.guarantees.record_violations([violation]);
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Sends an order to one control VM after another until one of them acknowledges it. Returns
    /// whether one does.
    async fn order(&self, zone: &str, begin: bool, limit: Duration) -> bool {
        let ordered_at = Instant::now();
        for control_vm in self.operators.control_vms_in_turn() {
            let status = Operator::evacuate(control_vm, zone, begin).await;
            let elapsed = ordered_at.elapsed();
            match status {
                Some(200..=299) => {
                    self.check_acknowledgement(zone, ordered_at);
                    return true;
                }
                // Control VMs of earlier releases know no evacuations.
                Some(404) => return false,
                Some(status @ 400..=499) => {
                    let violation = format!("order about {zone} is refused with {status}");
                    self.guarantees.record_violations([violation]);
                    return false;
                }
                _ if elapsed > limit => {
                    self.check_acknowledgement(zone, ordered_at);
                    return false;
                }
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        false
    }

    fn check_acknowledgement(&self, zone: &str, ordered_at: Instant) {
        let (now, elapsed) = (Instant::now(), ordered_at.elapsed());
        let disturbances = &self.guarantees.disturbances;
        if elapsed > ACKNOWLEDGE_TIME && disturbances.none_between(ordered_at, now) {
            let violation = format!("order about {zone} takes {elapsed:?}");
            self.guarantees.record_violations([violation]);
        }
    }
}
