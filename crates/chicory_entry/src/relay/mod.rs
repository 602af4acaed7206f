//! Requests relayed between entry processes.

mod relay_client;
mod relay_headers;
mod relay_server;
mod relayed_body;

pub(crate) use relay_client::{RelayParams, relay, request_head};
pub(crate) use relay_headers::{headers_from_wire, headers_to_wire, outcome_from_wire};
pub(crate) use relay_server::RelayServer;
pub(crate) use relayed_body::relayed_body;
