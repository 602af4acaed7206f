//! Tests requests that one entry VM sends to a backend server by way of another one, on loopback.

mod backend_server;
mod broken_heads;
mod cancellation;
mod departures;
mod endless_answers;
mod exchanges;
mod headers;
mod interfaces;
mod load;
mod peers;
mod refusals;
mod repeated_refusals;
mod site;
mod thin_links;
