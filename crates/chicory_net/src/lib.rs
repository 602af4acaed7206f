//! QUIC, TLS and HTTP plumbing that carries out the effects of the reducers.
//!
//! [`tls`] makes and checks the cluster's certificates, [`peer`] connects the cluster's processes
//! over QUIC, [`http`] talks to callers and backend servers, and [`admin`] to the balancer. Nothing here decides anything:
//! outcomes become events of a reducer, and its effects are carried out here.

pub mod admin;
pub mod http;
mod net_metric;
pub mod peer;
pub mod tls;

pub use net_metric::NetMetric;
