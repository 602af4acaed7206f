//! The guarantees about route tables.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform_stand_ins::{Operator, ReadTable};
use serde_json::Value;

use crate::disturbances::Disturbances;

/// Time limit for an acknowledged table to be in force everywhere. It is part of the operators'
/// requirements.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time after the first effect of a newer table in which an entry VM may still apply an older one.
/// It is part of the operators' requirements.
const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);

/// Checks the guarantees about route tables by what operators and callers observe.
#[derive(Debug, Default)]
pub struct TableGuarantees {
    sent: BTreeMap<u64, Value>,
    invalid: BTreeSet<u64>,
    acknowledged: Vec<(u64, Instant)>,
    /// By entry VM: the greatest version whose marker route was found since the last start of its
    /// process, and when.
    seen: BTreeMap<SocketAddr, (u64, Instant)>,
}

impl TableGuarantees {
    /// Records that an operator is about to send a table.
    pub fn record_table(&mut self, version: u64, table: &Value, is_valid: bool) {
        if is_valid {
            self.sent.insert(version, table.clone());
        } else {
            self.invalid.insert(version);
        }
    }

    /// Checks the answer to a table that an operator sent. Returns a violation, if there is one.
    pub fn record_put_answer(&mut self, version: u64, status: Option<u16>) -> Option<String> {
        if status != Some(200) {
            let is_refused = status.is_some_and(|status| (400..500).contains(&status));
            let is_valid = self.sent.contains_key(&version);
            return (is_refused && is_valid)
                .then(|| format!("valid table {version} is refused with {status:?}"));
        }
        self.acknowledged.push((version, Instant::now()));
        let is_invalid = self.invalid.contains(&version);
        is_invalid.then(|| format!("invalid table {version} is acknowledged"))
    }

    /// Returns the greatest acknowledged version.
    #[must_use]
    pub fn greatest_acknowledged(&self) -> u64 {
        let versions = self.acknowledged.iter().map(|(version, _)| *version);
        versions.max().unwrap_or(0)
    }

    /// Checks a table that was read; `requested_at` is the time at which the read was sent. Returns
    /// the violations.
    pub fn check_read(&mut self, requested_at: Instant, read: &ReadTable) -> Vec<String> {
        let mut violations = Vec::new();
        let due = self.due_at(requested_at);
        if read.version < due {
            violations.push(format!(
                "table {} is read although {due} was in force",
                read.version
            ));
        }
        if read.version == 0 {
            return violations;
        }
        match self.sent.get(&read.version) {
            None => violations.push(format!(
                "table {} is read, but no operator sent it",
                read.version
            )),
            Some(sent)
                if Operator::services_by_route(sent)
                    != Operator::services_by_route(&read.content) =>
            {
                violations.push(format!(
                    "table {} is read with content other than sent",
                    read.version
                ));
            }
            Some(_) => {}
        }
        violations
    }

    /// Returns the least version that may be in force at a moment.
    fn due_at(&self, moment: Instant) -> u64 {
        let acknowledged = self.acknowledged.iter();
        let due = acknowledged.filter(|(_, at)| *at + APPLY_TIME < moment);
        due.map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// Records that the process of an entry VM starts again, which may have an older table.
    pub fn record_entry_start(&mut self, entry: SocketAddr) {
        self.seen.remove(&entry);
    }

    /// Checks the answer to a request for the marker route of a version, which later versions also
    /// contain. `is_known` is whether the entry VM had the route. Returns the violations.
    pub fn record_marker_answer(
        &mut self,
        entry: SocketAddr,
        version: u64,
        requested_at: Instant,
        is_known: bool,
        disturbances: &Disturbances,
    ) -> Vec<String> {
        let now = Instant::now();
        if is_known {
            let seen = self.seen.entry(entry).or_insert((version, now));
            if version > seen.0 {
                *seen = (version, now);
            }
            return Vec::new();
        }
        let mut violations = Vec::new();
        let acknowledged = self
            .acknowledged
            .iter()
            .find(|(acknowledged_version, _)| *acknowledged_version == version);
        if let Some((_, at)) = acknowledged {
            let is_due = requested_at > *at + APPLY_TIME;
            if is_due && disturbances.none_for_entry_between(entry, *at, now) {
                violations.push(format!("{entry} does not apply table {version} in time"));
            }
        }
        let seen = self.seen.get(&entry);
        if let Some((seen, at)) = seen
            && *seen >= version
            && requested_at > *at + DOWNGRADE_SLACK
        {
            violations.push(format!(
                "{entry} goes back from table {seen} to one before {version}"
            ));
        }
        violations
    }
}
