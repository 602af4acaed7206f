//! Tests of the request path against fakes in virtual time.

mod announcements;
mod crash_suspects;
mod drain_and_stop;
mod invariants;
mod leases;
mod orders;
mod overload;
mod server_failures;
mod silent_connections;
mod support;
mod thin_path;
