//! The command line of the entry process.

use chicory_settings::{check_flag, setting};
use clap::Command;

/// The command line of the entry process, with units and defaults in its help.
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
        .about("Takes requests of callers and sends each to the backend server that owns its key")
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
                "Form of log records: terminal or json",
            )
            .default_value("terminal"),
            setting("trace-file", "FILE", "Records every event, as JSON lines"),
            setting(
                "fault-file",
                "FILE",
                "Lists blocked peers, for tests of failures",
            )
            .hide(true),
            setting("max-head-bytes", "BYTES", "Longest head of a request").default_value("16384"),
            setting("max-callers", "COUNT", "Most connections of callers").default_value("10000"),
            setting(
                "head-timeout-ms",
                "MS",
                "How long a head may take to come in, idle time before it included",
            )
            .default_value("60000"),
            setting(
                "max-buffered-body-bytes",
                "BYTES",
                "Longest request body that is kept to be sent again",
            )
            .default_value("65536"),
            setting("max-requests", "COUNT", "Most requests open at a time").default_value("20000"),
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
                "Retries as a share of fresh requests, per service",
            )
            .default_value("10"),
            setting(
                "stop-delay-ms",
                "MS",
                "How long a stopping process serves on after its readiness went off",
            )
            .default_value("500"),
            check_flag(),
        ])
}
