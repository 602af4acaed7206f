//! Conversions of the table of weights and limits.

use std::time::Duration;

use chicory_table::{CustodyLease, ServerOverride, ServicePolicy, Table, TableContent};

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
        let content = TableContent {
            services: value.services,
            overrides: value.overrides,
        };
        Self {
            revision: value.revision,
            content: Some(content.into()),
        }
    }
}

impl TryFrom<table::Table> for Table {
    type Error = ConvertError;

    fn try_from(message: table::Table) -> Result<Self, ConvertError> {
        let content: TableContent = required(message.content, "table.content")?.try_into()?;
        Ok(Self {
            revision: message.revision,
            services: content.services,
            overrides: content.overrides,
        })
    }
}
