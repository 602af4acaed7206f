//! The services of a route.

use chicory_types::ServiceName;

/// One part of a split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the sum of all weights.
    pub weight: u32,
}

/// The service or services of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteTarget {
    /// All requests go to one service.
    Service(ServiceName),
    /// Requests are divided in proportion to the weights.
    Split(Vec<WeightedService>),
}

impl RouteTarget {
    /// Returns the services of the target, including those of weight 0.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (single, split) = match self {
            Self::Service(service) => (Some(service), None),
            Self::Split(parts) => (None, Some(parts)),
        };
        let parts = split.into_iter().flatten().map(|part| &part.service);
        single.into_iter().chain(parts)
    }

    /// Returns whether at least one service can get requests.
    #[must_use]
    pub fn has_weight(&self) -> bool {
        match self {
            Self::Service(_) => true,
            Self::Split(parts) => parts.iter().any(|part| part.weight > 0),
        }
    }
}
