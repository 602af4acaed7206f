//! The event handlers of the reducer, by kind of event.

pub(crate) mod announcements;
pub(crate) mod arrivals;
pub(crate) mod connections;
pub(crate) mod exchange_ends;
pub(crate) mod exchanges;
pub(crate) mod health;
pub(crate) mod orders;
pub(crate) mod placing;
pub(crate) mod relay_starts;
pub(crate) mod relays;
pub(crate) mod renewals;
pub(crate) mod retries;
pub(crate) mod roles;
pub(crate) mod route;
pub(crate) mod router;
pub(crate) mod sweep;
