//! One row of a route table given as CSV.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{CallerLimits, RequestKind, Route, RouteTarget, RoutedService, WeightedService};

/// What a row describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RowKind {
    Route,
    Service,
    Limits,
}

/// One row; cells that its kind does not use are empty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RouteCsvRow {
    pub(crate) row: RowKind,
    #[serde(default)]
    pub(crate) name: Option<String>,
    #[serde(default)]
    pub(crate) host: Option<String>,
    #[serde(default)]
    pub(crate) path_prefix: Option<String>,
    /// Kind of the requests: `idempotent`, `order`, `download` or `upload`.
    #[serde(default)]
    pub(crate) kind: Option<String>,
    #[serde(default)]
    pub(crate) timeout_ms: Option<u64>,
    #[serde(default)]
    pub(crate) latency_target_ms: Option<u64>,
    #[serde(default)]
    pub(crate) priority: Option<u32>,
    #[serde(default)]
    pub(crate) max_attempts: Option<u32>,
    /// A service, or services with weights: `archive:90 ledger:10`.
    #[serde(default)]
    pub(crate) target: Option<String>,
    #[serde(default)]
    pub(crate) health_path: Option<String>,
    #[serde(default)]
    pub(crate) max_connections: Option<u32>,
    #[serde(default)]
    pub(crate) protocol: Option<String>,
    #[serde(default)]
    pub(crate) has_tls: Option<bool>,
    #[serde(default)]
    pub(crate) is_keyed: Option<bool>,
    #[serde(default)]
    pub(crate) warmup_ms: Option<u64>,
    #[serde(default)]
    pub(crate) grant_mode: Option<String>,
    pub(crate) cold_time_ms: Option<u64>,
    pub(crate) cold_rate_millihertz: Option<u32>,
    #[serde(default)]
    pub(crate) max_header_bytes: Option<u64>,
    #[serde(default)]
    pub(crate) max_body_bytes: Option<u64>,
    #[serde(default)]
    pub(crate) header_timeout_ms: Option<u64>,
    #[serde(default)]
    pub(crate) idle_timeout_ms: Option<u64>,
}

impl RouteCsvRow {
    fn empty(row: RowKind) -> Self {
        Self {
            row,
            name: None,
            host: None,
            path_prefix: None,
            kind: None,
            timeout_ms: None,
            latency_target_ms: None,
            priority: None,
            max_attempts: None,
            target: None,
            health_path: None,
            max_connections: None,
            protocol: None,
            has_tls: None,
            is_keyed: None,
            warmup_ms: None,
            grant_mode: None,
            cold_time_ms: None,
            cold_rate_millihertz: None,
            max_header_bytes: None,
            max_body_bytes: None,
            header_timeout_ms: None,
            idle_timeout_ms: None,
        }
    }

    pub(crate) fn of_route(route: &Route) -> Self {
        Self {
            name: Some(route.name.clone()),
            host: Some(route.host.clone()),
            path_prefix: Some(route.path_prefix.clone()),
            kind: Some(kind_text(route.kind).to_owned()),
            timeout_ms: route.timeout.map(millis),
            latency_target_ms: route.latency_target.map(millis),
            priority: route.priority,
            max_attempts: route.max_attempts,
            target: Some(target_text(&route.target)),
            ..Self::empty(RowKind::Route)
        }
    }

    pub(crate) fn of_service(service: &RoutedService) -> Self {
        Self {
            name: Some(service.name.clone()),
            health_path: service.health_path.clone(),
            max_connections: service.max_connections,
            protocol: service.protocol.clone(),
            has_tls: service.has_tls,
            is_keyed: service.is_keyed,
            warmup_ms: service.warmup.map(millis),
            grant_mode: service.grant_mode.clone(),
            cold_time_ms: service.cold_time.map(millis),
            cold_rate_millihertz: service.cold_rate_millihertz,
            ..Self::empty(RowKind::Service)
        }
    }

    pub(crate) fn of_limits(limits: &CallerLimits) -> Self {
        Self {
            max_header_bytes: Some(limits.max_header_bytes),
            max_body_bytes: Some(limits.max_body_bytes),
            header_timeout_ms: Some(millis(limits.header_timeout)),
            idle_timeout_ms: Some(millis(limits.idle_timeout)),
            ..Self::empty(RowKind::Limits)
        }
    }

    /// Returns the route of the row, or the name of the column that is missing or not allowed.
    pub(crate) fn route(self) -> Result<Route, &'static str> {
        Ok(Route {
            name: self.name.ok_or("name")?,
            host: self.host.ok_or("host")?,
            path_prefix: self.path_prefix.ok_or("path_prefix")?,
            kind: self.kind.as_deref().and_then(kind).ok_or("kind")?,
            timeout: self.timeout_ms.map(Duration::from_millis),
            latency_target: self.latency_target_ms.map(Duration::from_millis),
            priority: self.priority,
            max_attempts: self.max_attempts,
            target: self.target.as_deref().and_then(target).ok_or("target")?,
        })
    }

    /// Returns the service of the row, or the name of the column that is missing.
    pub(crate) fn service(self) -> Result<RoutedService, &'static str> {
        Ok(RoutedService {
            name: self.name.ok_or("name")?,
            health_path: self.health_path,
            max_connections: self.max_connections,
            protocol: self.protocol,
            has_tls: self.has_tls,
            is_keyed: self.is_keyed,
            warmup: self.warmup_ms.map(Duration::from_millis),
            grant_mode: self.grant_mode,
            cold_time: self.cold_time_ms.map(Duration::from_millis),
            cold_rate_millihertz: self.cold_rate_millihertz,
        })
    }

    /// Returns the limits of the row, or the name of the column that is missing.
    pub(crate) fn limits(self) -> Result<CallerLimits, &'static str> {
        let duration = |cell: Option<u64>| cell.map(Duration::from_millis);
        Ok(CallerLimits {
            max_header_bytes: self.max_header_bytes.ok_or("max_header_bytes")?,
            max_body_bytes: self.max_body_bytes.ok_or("max_body_bytes")?,
            header_timeout: duration(self.header_timeout_ms).ok_or("header_timeout_ms")?,
            idle_timeout: duration(self.idle_timeout_ms).ok_or("idle_timeout_ms")?,
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn kind_text(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::Order => "order",
        RequestKind::Download => "download",
        RequestKind::Upload => "upload",
    }
}

fn kind(text: &str) -> Option<RequestKind> {
    let kinds = [
        RequestKind::Idempotent,
        RequestKind::Order,
        RequestKind::Download,
        RequestKind::Upload,
    ];
    kinds.into_iter().find(|kind| kind_text(*kind) == text)
}

fn target_text(target: &RouteTarget) -> String {
    match target {
        RouteTarget::Service(service) => service.clone(),
        RouteTarget::Split(parts) => {
            let parts = parts.iter().map(|p| format!("{}:{}", p.service, p.weight));
            parts.collect::<Vec<String>>().join(" ")
        }
    }
}

fn target(text: &str) -> Option<RouteTarget> {
    if !text.contains([':', ' ']) {
        return Some(RouteTarget::Service(text.to_owned()));
    }
    let parts = text.split_whitespace().map(|part| {
        let (service, weight) = part.rsplit_once(':')?;
        Some(WeightedService {
            service: service.to_owned(),
            weight: weight.parse().ok()?,
        })
    });
    parts.collect::<Option<Vec<_>>>().map(RouteTarget::Split)
}
