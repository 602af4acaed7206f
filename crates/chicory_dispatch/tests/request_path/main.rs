//! Tests of the request path against fakes in virtual time.

mod announcements;
mod basic_path;
mod crash_suspects;
mod drain_and_stop;
mod invariants;
mod leases;
mod orders;
mod overload;
mod server_failures;
mod support;
mod unresponsive_connections;
