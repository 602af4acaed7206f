//! What can be wrong with a table.

use chicory_types::ServiceName;
use snafu::Snafu;

/// What can be wrong with a table.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TableFault {
    /// A weight is above [`MAX_WEIGHT`](crate::MAX_WEIGHT).
    #[snafu(display("service {service}: weight {weight} is above 1000"))]
    WeightOutOfRange {
        /// The service.
        service: ServiceName,
        /// The weight.
        weight: u32,
    },
    /// A deadline is out of range.
    #[snafu(display("service {service}: deadline of {deadline_ms} ms isn't in 1..=600000 ms"))]
    DeadlineOutOfRange {
        /// The service.
        service: ServiceName,
        /// The deadline.
        deadline_ms: u128,
    },
    /// A limited custody lease is out of range.
    #[snafu(display("service {service}: custody lease of {lease_ms} ms is out of range"))]
    CustodyLeaseOutOfRange {
        /// The service.
        service: ServiceName,
        /// The lease.
        lease_ms: u128,
    },
    /// A service isn't idempotent but other zones could take its slots over without its claims.
    #[snafu(display(
        "service {service}: a service that isn't idempotent needs custody lease unlimited"
    ))]
    OrdersNeedUnlimitedCustody {
        /// The service.
        service: ServiceName,
    },
    /// A keyed service isn't idempotent: the key and the order key of a request would belong to
    /// different slots, perhaps in different zones.
    #[snafu(display("service {service}: a keyed service has to be idempotent"))]
    KeyedOrders {
        /// The service.
        service: ServiceName,
    },
    /// A service runs in no availability zone.
    #[snafu(display("service {service}: no zones"))]
    NoZones {
        /// The service.
        service: ServiceName,
    },
    /// A row names a backend server of a service without a row of its own.
    #[snafu(display("override of service {service}, which has no row of its own"))]
    OverrideWithoutService {
        /// The service.
        service: ServiceName,
    },
    /// A name is empty, too long, or holds other characters than letters, digits and `-_.:`.
    #[snafu(display("bad name {name:?}"))]
    BadName {
        /// The name, cut to the longest length that is allowed.
        name: String,
    },
    /// There are too many services.
    #[snafu(display("more than {limit} services"))]
    TooManyServices {
        /// Most services in a table.
        limit: usize,
    },
    /// There are too many overrides.
    #[snafu(display("more than {limit} overrides"))]
    TooManyOverrides {
        /// Most overrides in a table.
        limit: usize,
    },
}
