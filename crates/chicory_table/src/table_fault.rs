//! Faults of a table.

use chicory_types::ServiceName;
use snafu::Snafu;

/// A fault of a table, which prevents it from coming into force.
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
    /// A service isn't idempotent, but its custody lease is limited, so that another zone could
    /// take over its slots without the claims of its orders.
    #[snafu(display(
        "service {service}: a service that isn't idempotent needs custody lease unlimited"
    ))]
    OrdersNeedUnlimitedCustody {
        /// The service.
        service: ServiceName,
    },
    /// A keyed service isn't idempotent. The key and the order key of a request would belong to
    /// different slots, which may be in the custody of different zones.
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
    /// A row names a backend server of a service that has no row itself.
    #[snafu(display("override of service {service}, which has no row of its own"))]
    OverrideWithoutService {
        /// The service.
        service: ServiceName,
    },
    /// A name is empty, too long, or holds other characters than letters, digits and `-_.:`.
    #[snafu(display("bad name {name:?}"))]
    BadName {
        /// The name, truncated to the maximum length.
        name: String,
    },
    /// There are too many services.
    #[snafu(display("more than {limit} services"))]
    TooManyServices {
        /// Maximum number of services in a table.
        limit: usize,
    },
    /// There are too many overrides.
    #[snafu(display("more than {limit} overrides"))]
    TooManyOverrides {
        /// Maximum number of overrides in a table.
        limit: usize,
    },
}
