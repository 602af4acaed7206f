//! One line of a table in CSV format.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use chicory_types::ZoneName;
use csv::StringRecord;

use crate::csv_column::CsvColumn;
use crate::{CsvFault, CustodyLease, ServerOverride, ServicePolicy};

/// Value of a cell for a lease that never ends.
pub(crate) const UNLIMITED: &str = "unlimited";
/// Separator between the zones of a cell.
pub(crate) const ZONE_SEPARATOR: &str = ";";

const NUMBER: &str = "a whole number from 0 to 4294967295";
const BOOLEAN: &str = "true or false";
const MILLIS: &str = "a whole number of milliseconds";
const LEASE: &str = "unlimited, or a whole number of milliseconds";
const ZONES: &str = "names of availability zones, separated by ';'";
const EMPTY: &str = "nothing in the row of a single backend server";

/// A reader of the cells of one line, which collects every fault.
pub(crate) struct CsvRow<'a> {
    line: u64,
    record: &'a StringRecord,
    faults: Vec<CsvFault>,
}

impl<'a> CsvRow<'a> {
    pub(crate) fn new(line: u64, record: &'a StringRecord) -> Self {
        Self {
            line,
            record,
            faults: Vec::new(),
        }
    }

    pub(crate) fn line(&self) -> u64 {
        self.line
    }

    pub(crate) fn cell(&self, column: CsvColumn) -> &'a str {
        self.record.get(column.index()).unwrap_or_default().trim()
    }

    pub(crate) fn into_faults(self) -> Vec<CsvFault> {
        self.faults
    }

    pub(crate) fn push_fault(&mut self, column: CsvColumn, allowed: &'static str) {
        self.faults.push(CsvFault::Cell {
            line: self.line,
            column: column.name(),
            value: self.cell(column).to_owned(),
            allowed,
        });
    }

    pub(crate) fn policy(&mut self) -> ServicePolicy {
        ServicePolicy {
            weight: self.number(CsvColumn::Weight),
            max_in_flight: self.number(CsvColumn::MaxInFlight),
            max_connections: self.number(CsvColumn::MaxConnections),
            queue_limit: self.number(CsvColumn::QueueLimit),
            rate_limit_per_s: self.number(CsvColumn::RateLimitPerS),
            keyed: self.parsed(CsvColumn::Keyed, BOOLEAN),
            idempotent: self.parsed(CsvColumn::Idempotent, BOOLEAN),
            deadline: Duration::from_millis(self.parsed(CsvColumn::DeadlineMs, MILLIS)),
            custody_lease: self.custody_lease(),
            zones: self.zones(),
        }
    }

    pub(crate) fn server_override(&mut self) -> ServerOverride {
        for column in [
            CsvColumn::Keyed,
            CsvColumn::Idempotent,
            CsvColumn::DeadlineMs,
            CsvColumn::CustodyLeaseMs,
            CsvColumn::Zones,
        ] {
            if !self.cell(column).is_empty() {
                self.push_fault(column, EMPTY);
            }
        }
        ServerOverride {
            weight: self.optional_number(CsvColumn::Weight),
            max_in_flight: self.optional_number(CsvColumn::MaxInFlight),
            max_connections: self.optional_number(CsvColumn::MaxConnections),
            queue_limit: self.optional_number(CsvColumn::QueueLimit),
            rate_limit_per_s: self.optional_number(CsvColumn::RateLimitPerS),
        }
    }

    fn number(&mut self, column: CsvColumn) -> u32 {
        self.parsed(column, NUMBER)
    }

    fn optional_number(&mut self, column: CsvColumn) -> Option<u32> {
        if self.cell(column).is_empty() {
            return None;
        }
        Some(self.number(column))
    }

    fn parsed<T: FromStr + Default>(&mut self, column: CsvColumn, allowed: &'static str) -> T {
        self.cell(column).parse().unwrap_or_else(|_| {
            self.push_fault(column, allowed);
            T::default()
        })
    }

    fn custody_lease(&mut self) -> CustodyLease {
        if self.cell(CsvColumn::CustodyLeaseMs) == UNLIMITED {
            return CustodyLease::Unlimited;
        }
        let lease_ms = self.parsed(CsvColumn::CustodyLeaseMs, LEASE);
        CustodyLease::Limited(Duration::from_millis(lease_ms))
    }

    fn zones(&mut self) -> BTreeSet<ZoneName> {
        let zones = self.cell(CsvColumn::Zones).split(ZONE_SEPARATOR);
        let zones: BTreeSet<ZoneName> = zones.map(|zone| zone.trim().to_owned()).collect();
        if zones.iter().any(String::is_empty) {
            self.push_fault(CsvColumn::Zones, ZONES);
        }
        zones
    }
}
