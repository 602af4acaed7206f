//! The rows of the table without their revision.

use std::collections::BTreeMap;

use chicory_types::{ServerId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{CustodyLease, ServerOverride, ServicePolicy, TableChange, TableFault};

/// Greatest weight of a backend server.
pub const MAX_WEIGHT: u32 = 1_000;
/// Shortest deadline that a service may have, in milliseconds.
pub const MIN_DEADLINE_MS: u64 = 1;
/// Longest deadline that a service may have, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// Shortest limited custody lease, in milliseconds. It must cover a dispatcher's lease and a few
/// lost renewals.
pub const MIN_CUSTODY_LEASE_MS: u64 = 5_000;
/// Longest limited custody lease, in milliseconds.
pub const MAX_CUSTODY_LEASE_MS: u64 = 86_400_000;
/// Longest name of a service, backend server or availability zone, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of services in a table.
pub const MAX_SERVICES: usize = 256;
/// Maximum number of overrides in a table.
pub const MAX_OVERRIDES: usize = 8_192;

/// The rows of the table without their revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableContent {
    /// Policy of each service.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// Overrides for single backend servers, by service.
    pub overrides: BTreeMap<ServiceName, BTreeMap<ServerId, ServerOverride>>,
}

impl TableContent {
    /// Applies one change without checking the result.
    pub fn apply(&mut self, change: &TableChange) {
        match change {
            TableChange::PutService { service, policy } => {
                self.services.insert(service.clone(), policy.clone());
            }
            TableChange::RemoveService { service } => {
                self.services.remove(service);
                self.overrides.remove(service);
            }
            TableChange::PutOverride {
                service,
                server,
                values,
            } => {
                let rows = self.overrides.entry(service.clone()).or_default();
                rows.insert(server.clone(), *values);
            }
            TableChange::RemoveOverride { service, server } => {
                self.remove_override(service, server);
            }
            TableChange::ReplaceAll(content) => *self = content.clone(),
        }
    }

    /// Returns all faults of the rows. Only a table without faults may come into force.
    #[must_use]
    pub fn faults(&self) -> Vec<TableFault> {
        let mut faults = Vec::new();
        self.check_sizes(&mut faults);
        for (service, policy) in &self.services {
            check_name(service, &mut faults);
            check_policy(service, policy, &mut faults);
        }
        for (service, rows) in &self.overrides {
            if !self.services.contains_key(service) {
                faults.push(TableFault::OverrideWithoutService {
                    service: service.clone(),
                });
            }
            for (server, values) in rows {
                check_name(server, &mut faults);
                check_weight(service, values.weight, &mut faults);
            }
        }
        faults
    }

    fn check_sizes(&self, faults: &mut Vec<TableFault>) {
        if self.services.len() > MAX_SERVICES {
            faults.push(TableFault::TooManyServices {
                limit: MAX_SERVICES,
            });
        }
        let overrides: usize = self.overrides.values().map(BTreeMap::len).sum();
        if overrides > MAX_OVERRIDES {
            faults.push(TableFault::TooManyOverrides {
                limit: MAX_OVERRIDES,
            });
        }
    }

    fn remove_override(&mut self, service: &ServiceName, server: &ServerId) {
        let Some(rows) = self.overrides.get_mut(service) else {
            return;
        };
        rows.remove(server);
        if rows.is_empty() {
            self.overrides.remove(service);
        }
    }
}

fn check_policy(service: &ServiceName, policy: &ServicePolicy, faults: &mut Vec<TableFault>) {
    check_weight(service, Some(policy.weight), faults);
    let deadline_ms = policy.deadline.as_millis();
    if !(u128::from(MIN_DEADLINE_MS)..=u128::from(MAX_DEADLINE_MS)).contains(&deadline_ms) {
        faults.push(TableFault::DeadlineOutOfRange {
            service: service.clone(),
            deadline_ms,
        });
    }
    if policy.zones.is_empty() {
        faults.push(TableFault::NoZones {
            service: service.clone(),
        });
    }
    for zone in &policy.zones {
        check_name(zone, faults);
    }
    if policy.keyed && !policy.idempotent {
        faults.push(TableFault::KeyedOrders {
            service: service.clone(),
        });
    }
    check_custody_lease(service, policy, faults);
}

fn check_custody_lease(
    service: &ServiceName,
    policy: &ServicePolicy,
    faults: &mut Vec<TableFault>,
) {
    let CustodyLease::Limited(lease) = policy.custody_lease else {
        return;
    };
    let lease_ms = lease.as_millis();
    if !(u128::from(MIN_CUSTODY_LEASE_MS)..=u128::from(MAX_CUSTODY_LEASE_MS)).contains(&lease_ms) {
        faults.push(TableFault::CustodyLeaseOutOfRange {
            service: service.clone(),
            lease_ms,
        });
    }
    if !policy.idempotent {
        faults.push(TableFault::OrdersNeedUnlimitedCustody {
            service: service.clone(),
        });
    }
}

fn check_weight(service: &ServiceName, weight: Option<u32>, faults: &mut Vec<TableFault>) {
    if let Some(weight) = weight.filter(|weight| *weight > MAX_WEIGHT) {
        faults.push(TableFault::WeightOutOfRange {
            service: service.clone(),
            weight,
        });
    }
}

fn check_name(name: &str, faults: &mut Vec<TableFault>) {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        faults.push(TableFault::BadName {
            name: name.chars().take(MAX_NAME_BYTES).collect(),
        });
    }
}
