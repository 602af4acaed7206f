//! Why a route table can't be put in force.

use snafu::Snafu;

/// Why a route table can't be put in force.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RouteTableFault {
    /// A route has no host.
    #[snafu(display("route {route} has no host"))]
    EmptyHost {
        /// Name of the route.
        route: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[snafu(display("path prefix {prefix:?} of route {route} does not begin and end with /"))]
    PathPrefix {
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// A route names a service that the table does not have.
    #[snafu(display("route {route} leads to the unknown service {service}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes share host and path prefix.
    #[snafu(display("route {route} has the host and path prefix of another route"))]
    DuplicatePlace {
        /// Name of the second route.
        route: String,
    },
    /// Two services share a name.
    #[snafu(display("service {service} is listed twice"))]
    DuplicateService {
        /// Name of the service.
        service: String,
    },
    /// All weights of a route are 0.
    #[snafu(display("the weights of route {route} add up to 0"))]
    NoWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is 0, so that no request could be served.
    #[snafu(display("the timeout of route {route} is 0"))]
    NoTimeout {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is longer than [`MAX_ROUTE_TIMEOUT`](crate::MAX_ROUTE_TIMEOUT).
    #[snafu(display("the timeout of route {route} is over ten minutes"))]
    TimeoutTooLong {
        /// Name of the route.
        route: String,
    },
}
