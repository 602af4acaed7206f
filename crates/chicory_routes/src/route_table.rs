//! The route table as a whole.

use std::collections::BTreeSet;
use std::time::Duration;

use snafu::ensure;

use crate::route_table_fault::{
    DuplicatePlaceSnafu, DuplicateServiceSnafu, EmptyHostSnafu, NoTimeoutSnafu, NoWeightSnafu,
    PathPrefixSnafu, TimeoutTooLongSnafu, UnknownServiceSnafu,
};
use crate::{CallerLimits, Route, RouteTableFault, RoutedService};

/// Longest timeout that a route may have; the operators require this limit.
pub const MAX_ROUTE_TIMEOUT: Duration = Duration::from_mins(10);

/// Version of a route table, chosen by the operator; the highest one is in force.
pub type RouteTableVersion = u64;

/// Routes, services and limits under one version.
///
/// # Examples
///
/// ```
/// use chicory_routes::RouteTable;
///
/// let table = RouteTable::default();
/// assert_eq!(table.version, 0);
/// assert!(table.check().is_ok());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Version that the operator chose; 0 means no table.
    pub version: RouteTableVersion,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes send requests to.
    pub services: Vec<RoutedService>,
    /// Limits of callers; the defaults are in force if `None`.
    pub limits: Option<CallerLimits>,
}

impl RouteTable {
    /// Checks that the table is valid and can be put in force.
    ///
    /// # Errors
    ///
    /// The first fault that is found.
    pub fn check(&self) -> Result<(), RouteTableFault> {
        let mut services = BTreeSet::new();
        for service in &self.services {
            let service = &service.name;
            ensure!(services.insert(service), DuplicateServiceSnafu { service });
        }
        let mut places = BTreeSet::new();
        for route in &self.routes {
            check_route(route)?;
            for service in route.target.services() {
                let route = &route.name;
                ensure!(
                    services.contains(service),
                    UnknownServiceSnafu { route, service }
                );
            }
            let is_new = places.insert((&route.host, &route.path_prefix));
            let route = &route.name;
            ensure!(is_new, DuplicatePlaceSnafu { route });
        }
        Ok(())
    }

    /// Returns the limits in force.
    #[must_use]
    pub fn limits_in_force(&self) -> CallerLimits {
        self.limits.clone().unwrap_or_default()
    }

    /// Returns the service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&RoutedService> {
        self.services.iter().find(|service| service.name == name)
    }
}

fn check_route(route: &Route) -> Result<(), RouteTableFault> {
    let name = &route.name;
    ensure!(!route.host.is_empty(), EmptyHostSnafu { route: name });
    let prefix = &route.path_prefix;
    ensure!(
        prefix.starts_with('/') && prefix.ends_with('/'),
        PathPrefixSnafu {
            route: name,
            prefix
        }
    );
    ensure!(route.target.has_weight(), NoWeightSnafu { route: name });
    ensure!(
        route.timeout.is_none_or(|timeout| !timeout.is_zero()),
        NoTimeoutSnafu { route: name }
    );
    ensure!(
        route
            .timeout
            .is_none_or(|timeout| timeout <= MAX_ROUTE_TIMEOUT),
        TimeoutTooLongSnafu { route: name }
    );
    Ok(())
}
