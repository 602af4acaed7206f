//! Promises about route tables.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform_stand_ins::{Operator, ReadTable};
use serde_json::Value;

use crate::calm::Calm;

/// Time within which a table is in force everywhere; stated by the operators.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time for which the effect of a newer table may be followed by that of an older one; stated by
/// the operators.
const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);

/// Promises about route tables, by what operators and callers see.
#[derive(Debug, Default)]
pub struct TablePromises {
    sent: BTreeMap<u64, Value>,
    invalid: BTreeSet<u64>,
    acknowledged: Vec<(u64, Instant)>,
    /// By entry VM: the greatest version whose effect was seen in this life, and when.
    seen: BTreeMap<SocketAddr, (u64, Instant)>,
}

impl TablePromises {
    /// An operator is about to send a table.
    pub fn sends(&mut self, version: u64, table: &Value, is_valid: bool) {
        if is_valid {
            self.sent.insert(version, table.clone());
        } else {
            self.invalid.insert(version);
        }
    }

    /// An operator got an answer; what that breaks.
    pub fn put_answered(&mut self, version: u64, status: Option<u16>) -> Option<String> {
        if status != Some(200) {
            let is_refused = status.is_some_and(|status| (400..500).contains(&status));
            let is_valid = self.sent.contains_key(&version);
            return (is_refused && is_valid)
                .then(|| format!("proper table {version} is refused with {status:?}"));
        }
        self.acknowledged.push((version, Instant::now()));
        let is_invalid = self.invalid.contains(&version);
        is_invalid.then(|| format!("invalid table {version} is acknowledged"))
    }

    /// The greatest version that was acknowledged.
    #[must_use]
    pub fn greatest_acknowledged(&self) -> u64 {
        let versions = self.acknowledged.iter().map(|(version, _)| *version);
        versions.max().unwrap_or(0)
    }

    /// A table was read back that was asked for at `asked_at`; what that breaks.
    pub fn read(&mut self, asked_at: Instant, read: &ReadTable) -> Vec<String> {
        let mut broken = Vec::new();
        let due = self.due_at(asked_at);
        if read.version < due {
            broken.push(format!(
                "table {} is read, {due} was in force",
                read.version
            ));
        }
        if read.version == 0 {
            return broken;
        }
        match self.sent.get(&read.version) {
            None => broken.push(format!("table {} is read, nobody sent it", read.version)),
            Some(sent)
                if Operator::services_by_route(sent)
                    != Operator::services_by_route(&read.content) =>
            {
                broken.push(format!("table {} is read with other content", read.version));
            }
            Some(_) => {}
        }
        broken
    }

    /// The version that has to be in force everywhere at a moment.
    fn due_at(&self, moment: Instant) -> u64 {
        let acknowledged = self.acknowledged.iter();
        let due = acknowledged.filter(|(_, at)| *at + APPLY_TIME < moment);
        due.map(|(version, _)| *version).max().unwrap_or(0)
    }

    /// An entry VM begins a new life.
    pub fn begins_life(&mut self, entry: SocketAddr) {
        self.seen.remove(&entry);
    }

    /// A request for the mark of a version, which later versions keep, was answered: `is_known`
    /// tells whether the entry VM knew it. What that breaks.
    pub fn mark_answered(
        &mut self,
        entry: SocketAddr,
        version: u64,
        asked_at: Instant,
        is_known: bool,
        calm: &Calm,
    ) -> Vec<String> {
        let now = Instant::now();
        if is_known {
            let seen = self.seen.entry(entry).or_insert((version, now));
            if version > seen.0 {
                *seen = (version, now);
            }
            return Vec::new();
        }
        let mut broken = Vec::new();
        let acknowledged = self.acknowledged.iter().find(|(v, _)| *v == version);
        if let Some((_, at)) = acknowledged {
            let is_due = asked_at > *at + APPLY_TIME;
            if is_due && calm.was_calm_at(entry, *at, now) {
                broken.push(format!("{entry} does not know table {version} in time"));
            }
        }
        let seen = self.seen.get(&entry);
        if let Some((seen, at)) = seen
            && *seen >= version
            && asked_at > *at + DOWNGRADE_SLACK
        {
            broken.push(format!(
                "{entry} goes back from table {seen} to before {version}"
            ));
        }
        broken
    }
}
