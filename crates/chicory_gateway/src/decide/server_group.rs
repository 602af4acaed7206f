//! Groups of backend servers that can become unreachable together.

use std::collections::BTreeSet;
use std::fmt;

use chicory_directory::ServerRecord;
use chicory_types::{ServiceName, ZoneName};

/// Failed servers after which a group is considered cut off. Single servers are unreachable more
/// often than groups of them.
const CUT_OFF_THRESHOLD: usize = 3;
/// Availability zones, and services, in which servers must have failed if the group spans as many.
/// Otherwise the smaller group is the one that is cut off.
const SPREAD_THRESHOLD: usize = 2;

/// Servers that can become unreachable together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerGroup {
    /// All servers.
    All,
    /// The servers of an availability zone.
    Zone(ZoneName),
    /// The servers of a service.
    Service(ServiceName),
}

impl fmt::Display for ServerGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All => f.write_str("all"),
            Self::Zone(zone) => write!(f, "zone {zone}"),
            Self::Service(service) => write!(f, "service {service}"),
        }
    }
}

impl ServerGroup {
    /// Returns the groups that a server belongs to, the largest first.
    pub(super) fn all_of(record: &ServerRecord) -> [Self; 3] {
        [
            Self::All,
            Self::Zone(record.zone.clone()),
            Self::Service(record.service.clone()),
        ]
    }

    /// Whether a server belongs to the group.
    pub(super) fn contains(&self, record: &ServerRecord) -> bool {
        match self {
            Self::All => true,
            Self::Zone(zone) => record.zone == *zone,
            Self::Service(service) => record.service == *service,
        }
    }

    /// Whether the group has so many servers that failures show more than that those have failed.
    pub(super) fn is_large_enough<'a>(
        &self,
        servers: impl Iterator<Item = &'a ServerRecord>,
    ) -> bool {
        let least = match self {
            Self::All => SPREAD_THRESHOLD,
            Self::Zone(_) | Self::Service(_) => CUT_OFF_THRESHOLD,
        };
        servers
            .filter(|record| self.contains(record))
            .nth(least - 1)
            .is_some()
    }

    /// Whether the failures of these servers of the group show that it is cut off.
    pub(super) fn is_shown_cut<'a>(
        &self,
        failed: &[&ServerRecord],
        servers: impl Iterator<Item = &'a ServerRecord>,
    ) -> bool {
        let members: Vec<&ServerRecord> = servers.filter(|record| self.contains(record)).collect();
        let is_enough = |failed: usize, of: usize, threshold: usize| failed >= threshold.min(of);
        is_enough(failed.len(), members.len(), CUT_OFF_THRESHOLD)
            && is_enough(zones(failed), zones(&members), SPREAD_THRESHOLD)
            && is_enough(services(failed), services(&members), SPREAD_THRESHOLD)
    }
}

fn zones(records: &[&ServerRecord]) -> usize {
    let zones: BTreeSet<&ZoneName> = records.iter().map(|record| &record.zone).collect();
    zones.len()
}

fn services(records: &[&ServerRecord]) -> usize {
    let services: BTreeSet<&ServiceName> = records.iter().map(|record| &record.service).collect();
    services.len()
}
