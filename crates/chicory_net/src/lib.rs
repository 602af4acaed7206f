//! QUIC, TLS and HTTP code that carries out the effects of the reducers.
//!
//! [`tls`] issues and verifies the cluster's certificates, [`peer`] connects the cluster's
//! processes over QUIC, [`http`] communicates with callers and backend servers, and [`admin`]
//! serves health and metrics pages to the load balancer and to operators. This crate makes no
//! decisions: it carries out the effects of a reducer and reports their outcomes as events.

pub mod admin;
pub mod http;
mod net_metric;
pub mod peer;
pub mod tls;

pub use net_metric::NetMetric;
