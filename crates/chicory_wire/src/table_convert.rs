//! Conversions of the table.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_table::{CustodyLease, ServerOverride, ServicePolicy, Table};

use crate::convert_error::{millis, required};
use crate::{ConvertError, proto::table};

impl From<ServicePolicy> for table::ServicePolicy {
    fn from(policy: ServicePolicy) -> Self {
        Self {
            weight: policy.weight,
            max_in_flight: policy.max_in_flight,
            max_connections: policy.max_connections,
            queue_limit: policy.queue_limit,
            rate_limit_per_s: policy.rate_limit_per_s,
            keyed: policy.keyed,
            idempotent: policy.idempotent,
            deadline_ms: millis(policy.deadline),
            custody_lease_ms: match policy.custody_lease {
                CustodyLease::Unlimited => None,
                CustodyLease::Limited(lease) => Some(millis(lease)),
            },
            zones: policy.zones.into_iter().collect(),
        }
    }
}

impl From<table::ServicePolicy> for ServicePolicy {
    fn from(message: table::ServicePolicy) -> Self {
        let custody_lease = message
            .custody_lease_ms
            .map_or(CustodyLease::Unlimited, |lease_ms| {
                CustodyLease::Limited(Duration::from_millis(lease_ms))
            });
        Self {
            weight: message.weight,
            max_in_flight: message.max_in_flight,
            max_connections: message.max_connections,
            queue_limit: message.queue_limit,
            rate_limit_per_s: message.rate_limit_per_s,
            keyed: message.keyed,
            idempotent: message.idempotent,
            deadline: Duration::from_millis(message.deadline_ms),
            custody_lease,
            zones: message.zones.into_iter().collect(),
        }
    }
}

impl From<ServerOverride> for table::ServerOverride {
    fn from(values: ServerOverride) -> Self {
        Self {
            weight: values.weight,
            max_in_flight: values.max_in_flight,
            max_connections: values.max_connections,
            queue_limit: values.queue_limit,
            rate_limit_per_s: values.rate_limit_per_s,
        }
    }
}

impl From<table::ServerOverride> for ServerOverride {
    fn from(message: table::ServerOverride) -> Self {
        Self {
            weight: message.weight,
            max_in_flight: message.max_in_flight,
            max_connections: message.max_connections,
            queue_limit: message.queue_limit,
            rate_limit_per_s: message.rate_limit_per_s,
        }
    }
}

impl From<Table> for table::Table {
    fn from(value: Table) -> Self {
        let services = value
            .services
            .into_iter()
            .map(|(service, policy)| table::ServiceRow {
                service,
                policy: Some(policy.into()),
            })
            .collect();
        let overrides = value
            .overrides
            .into_iter()
            .flat_map(|(service, servers)| override_rows(&service, servers))
            .collect();
        Self {
            revision: value.revision,
            content: Some(table::TableContent {
                services,
                overrides,
            }),
        }
    }
}

fn override_rows(
    service: &str,
    servers: BTreeMap<String, ServerOverride>,
) -> Vec<table::OverrideRow> {
    servers
        .into_iter()
        .map(|(server, values)| table::OverrideRow {
            service: service.to_owned(),
            server,
            values: Some(values.into()),
        })
        .collect()
}

impl TryFrom<table::Table> for Table {
    type Error = ConvertError;

    fn try_from(message: table::Table) -> Result<Self, ConvertError> {
        let content = required(message.content, "table.content")?;
        let mut parsed = Self {
            revision: message.revision,
            ..Self::default()
        };
        for row in content.services {
            let policy = required(row.policy, "service_row.policy")?;
            parsed.services.insert(row.service, policy.into());
        }
        for row in content.overrides {
            let values = required(row.values, "override_row.values")?;
            parsed
                .overrides
                .entry(row.service)
                .or_default()
                .insert(row.server, values.into());
        }
        Ok(parsed)
    }
}
