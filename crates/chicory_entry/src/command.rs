//! The command line of the entry process.

use chicory_settings::{check_flag, setting};
use clap::Command;

/// Creates the command line of the entry process, whose help states units and defaults.
///
/// # Examples
///
/// ```
/// let help = chicory_entry::command().render_help().to_string();
/// assert!(help.contains("--max-head-bytes"));
/// ```
#[must_use]
pub fn command() -> Command {
    Command::new("chicory-entry")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Accepts requests of callers and sends each to the backend server that owns its key")
        .args([
            setting("cluster", "NAME", "Name of the deployment"),
            setting("vm", "NAME", "Name of this VM, unique in the cluster"),
            setting("zone", "NAME", "Availability zone of this VM"),
            setting("listen", "IP:PORT", "Address for callers (HTTP)"),
            setting(
                "announce-listen",
                "IP:PORT",
                "Address for announcements of backend servers (HTTP)",
            ),
            setting(
                "admin-listen",
                "IP:PORT",
                "Address of /healthz, /readyz and /metrics (HTTP)",
            ),
            setting(
                "peer-listen",
                "IP:PORT",
                "Address for other processes of the cluster (QUIC)",
            ),
            setting(
                "control",
                "VM=IP:PORT,…",
                "Control processes of this availability zone",
            ),
            setting("ca", "FILE", "Certificate of the cluster's authority (PEM)"),
            setting("cert", "FILE", "Certificate of this process (PEM)"),
            setting("key", "FILE", "Private key of this process (PEM)"),
        ])
        .args([
            setting(
                "log-format",
                "FORM",
                "Format of log records: terminal or json",
            )
            .default_value("terminal"),
            setting("trace-file", "FILE", "Records every event, as JSON lines"),
            setting(
                "fault-file",
                "FILE",
                "File that lists blocked peers, for tests with failures",
            )
            .hide(true),
            setting("max-head-bytes", "BYTES", "Maximum size of a request head")
                .default_value("16384"),
            setting(
                "max-callers",
                "COUNT",
                "Maximum number of connections of callers",
            )
            .default_value("10000"),
            setting(
                "head-timeout-ms",
                "MS",
                "Time limit for receiving a request head, including the idle time before it",
            )
            .default_value("60000"),
            setting(
                "max-buffered-body-bytes",
                "BYTES",
                "Maximum size of a request body that is kept in memory so that it can be resent",
            )
            .default_value("65536"),
            setting(
                "max-requests",
                "COUNT",
                "Maximum number of requests open at a time",
            )
            .default_value("20000"),
            setting(
                "server-lease-ms",
                "MS",
                "Longest lease granted to a backend server",
            )
            .default_value("2200"),
            setting(
                "renew-interval-ms",
                "MS",
                "Time between renewals of the lease",
            )
            .default_value("400"),
            setting(
                "retry-percent",
                "PERCENT",
                "Maximum retries as a share of new requests, per service",
            )
            .default_value("10"),
            setting(
                "stop-delay-ms",
                "MS",
                "How long a stopping process continues to serve requests while it is not ready",
            )
            .default_value("500"),
            check_flag(),
        ])
}
