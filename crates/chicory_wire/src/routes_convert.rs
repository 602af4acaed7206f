//! Conversions of route tables.

use std::time::Duration;

use chicory_routes::{
    CallerLimits, RequestKind, Route, RoutePlace, RouteTable, RouteTableDelta, RouteTarget,
    RoutedService, WeightedService,
};

use crate::ConvertError;
use crate::convert_error::{enum_value, from_messages, into_messages, required};
use crate::proto::site::{self, route::Target};
use crate::record_macro::{convert_enum, convert_record};

convert_enum!(
    RequestKind,
    site::RequestKind,
    [Idempotent, Order, Download, Upload]
);
convert_record!(
    WeightedService,
    site::WeightedService {
        plain: [service, weight],
        nested: [],
        list: [],
    }
);
convert_record!(
    RoutePlace,
    site::RoutePlace {
        plain: [host, path_prefix],
        nested: [],
        list: [],
    }
);

/// Returns the whole microseconds of a duration; durations out of range, which no setting reaches,
/// become the maximum.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl From<RouteTarget> for Target {
    fn from(target: RouteTarget) -> Self {
        match target {
            RouteTarget::Service(service) => Self::Service(service),
            RouteTarget::Split(parts) => Self::Split(site::Split {
                parts: into_messages(parts),
            }),
        }
    }
}

impl TryFrom<Target> for RouteTarget {
    type Error = ConvertError;

    fn try_from(target: Target) -> Result<Self, ConvertError> {
        Ok(match target {
            Target::Service(service) => Self::Service(service),
            Target::Split(split) => Self::Split(from_messages(split.parts)?),
        })
    }
}

impl From<Route> for site::Route {
    fn from(route: Route) -> Self {
        Self {
            name: route.name,
            host: route.host,
            path_prefix: route.path_prefix,
            kind: site::RequestKind::from(route.kind).into(),
            timeout_us: route.timeout.map(micros),
            latency_target_us: route.latency_target.map(micros),
            priority: route.priority,
            max_attempts: route.max_attempts,
            target: Some(route.target.into()),
        }
    }
}

impl TryFrom<site::Route> for Route {
    type Error = ConvertError;

    fn try_from(message: site::Route) -> Result<Self, ConvertError> {
        let kind: site::RequestKind = enum_value(message.kind, "route.kind")?;
        Ok(Self {
            name: message.name,
            host: message.host,
            path_prefix: message.path_prefix,
            kind: kind.into(),
            timeout: message.timeout_us.map(Duration::from_micros),
            latency_target: message.latency_target_us.map(Duration::from_micros),
            priority: message.priority,
            max_attempts: message.max_attempts,
            target: required(message.target, "route.target")?.try_into()?,
        })
    }
}

impl From<RoutedService> for site::RoutedService {
    fn from(service: RoutedService) -> Self {
        Self {
            name: service.name,
            health_path: service.health_path,
            max_connections: service.max_connections,
            protocol: service.protocol,
            has_tls: service.has_tls,
            is_keyed: service.is_keyed,
            warmup_us: service.warmup.map(micros),
            grant_mode: service.grant_mode,
            cold_time_us: service.cold_time.map(micros),
            cold_rate_millihertz: service.cold_rate_millihertz,
        }
    }
}

impl From<site::RoutedService> for RoutedService {
    fn from(message: site::RoutedService) -> Self {
        Self {
            name: message.name,
            health_path: message.health_path,
            max_connections: message.max_connections,
            protocol: message.protocol,
            has_tls: message.has_tls,
            is_keyed: message.is_keyed,
            warmup: message.warmup_us.map(Duration::from_micros),
            grant_mode: message.grant_mode,
            cold_time: message.cold_time_us.map(Duration::from_micros),
            cold_rate_millihertz: message.cold_rate_millihertz,
        }
    }
}

impl From<CallerLimits> for site::CallerLimits {
    fn from(limits: CallerLimits) -> Self {
        Self {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            header_timeout_us: micros(limits.header_timeout),
            idle_timeout_us: micros(limits.idle_timeout),
        }
    }
}

impl From<site::CallerLimits> for CallerLimits {
    fn from(message: site::CallerLimits) -> Self {
        Self {
            max_header_bytes: message.max_header_bytes,
            max_body_bytes: message.max_body_bytes,
            header_timeout: Duration::from_micros(message.header_timeout_us),
            idle_timeout: Duration::from_micros(message.idle_timeout_us),
        }
    }
}

impl From<RouteTable> for site::RouteTable {
    fn from(table: RouteTable) -> Self {
        Self {
            version: table.version,
            routes: into_messages(table.routes),
            services: into_messages(table.services),
            limits: table.limits.map(Into::into),
        }
    }
}

impl TryFrom<site::RouteTable> for RouteTable {
    type Error = ConvertError;

    fn try_from(message: site::RouteTable) -> Result<Self, ConvertError> {
        Ok(Self {
            version: message.version,
            routes: from_messages(message.routes)?,
            services: from_messages(message.services)?,
            limits: message.limits.map(Into::into),
        })
    }
}

impl From<RouteTableDelta> for site::RouteTableDelta {
    fn from(delta: RouteTableDelta) -> Self {
        Self {
            version: delta.version,
            base_version: delta.base_version,
            routes: into_messages(delta.routes),
            removed: into_messages(delta.removed),
            services: into_messages(delta.services),
            limits: delta.limits.map(Into::into),
        }
    }
}

impl TryFrom<site::RouteTableDelta> for RouteTableDelta {
    type Error = ConvertError;

    fn try_from(message: site::RouteTableDelta) -> Result<Self, ConvertError> {
        Ok(Self {
            version: message.version,
            base_version: message.base_version,
            routes: from_messages(message.routes)?,
            removed: from_messages(message.removed)?,
            services: from_messages(message.services)?,
            limits: message.limits.map(Into::into),
        })
    }
}
