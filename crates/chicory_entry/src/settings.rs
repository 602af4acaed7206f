//! Settings of the entry process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use chicory_net::http::HttpLimits;
use chicory_net::tls::TlsFiles;
use chicory_settings::{SettingFaults, SettingsReader};
use chicory_telemetry::LogFormat;
use chicory_types::{ClusterName, VmId, ZoneName};
use clap::ArgMatches;

/// Settings of the entry process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of the deployment.
    pub cluster: ClusterName,
    /// Name of this VM.
    pub vm: VmId,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for announcements of backend servers.
    pub announce_listen: SocketAddr,
    /// Address of the admin pages.
    pub admin_listen: SocketAddr,
    /// Address for other processes of the cluster.
    pub peer_listen: SocketAddr,
    /// Control processes of the availability zone of this VM.
    pub control: BTreeMap<VmId, SocketAddr>,
    /// Certificates.
    pub tls: TlsFiles,
    /// Format of log records.
    pub log_format: LogFormat,
    /// File that every event of the reducer is recorded in.
    pub trace_file: Option<PathBuf>,
    /// File that lists blocked peers, for tests with failures.
    pub fault_file: Option<PathBuf>,
    /// Limits of the listener for callers.
    pub caller_limits: HttpLimits,
    /// Maximum size of a request body that is kept in memory so that it can be resent.
    pub max_buffered_bytes: usize,
    /// Maximum number of requests open at a time.
    pub max_requests: usize,
    /// Longest lease granted to a backend server.
    pub server_lease: Duration,
    /// Time between renewals of the lease.
    pub renew_interval: Duration,
    /// Maximum retries as a share of new requests, in percent.
    pub retry_percent: u32,
    /// How long a stopping process continues to serve requests while it reports that it is not
    /// ready.
    pub stop_delay: Duration,
}

impl EntrySettings {
    /// Reads the settings from the command line and the environment.
    ///
    /// # Errors
    ///
    /// Returns all faults that were found.
    pub fn read(matches: &ArgMatches) -> Result<Self, SettingFaults> {
        let mut reader = SettingsReader::new(matches);
        let settings = Self {
            cluster: reader.name("cluster"),
            vm: reader.name("vm"),
            zone: reader.name("zone"),
            listen: reader.address("listen"),
            announce_listen: reader.address("announce-listen"),
            admin_listen: reader.address("admin-listen"),
            peer_listen: reader.address("peer-listen"),
            control: reader.addresses_by_vm("control"),
            tls: TlsFiles {
                ca: reader.readable_file("ca"),
                certificate: reader.readable_file("cert"),
                key: reader.readable_file("key"),
            },
            log_format: reader
                .choice("log-format", &["terminal", "json"])
                .unwrap_or_default(),
            trace_file: reader.optional_path("trace-file"),
            fault_file: reader.optional_path("fault-file"),
            caller_limits: HttpLimits {
                max_head_bytes: reader.count("max-head-bytes", 1_024..=1_048_576),
                max_connections: reader.count("max-callers", 1..=1_000_000),
                head_timeout: reader.millis("head-timeout-ms", 100..=3_600_000),
            },
            max_buffered_bytes: reader.count("max-buffered-body-bytes", 0..=16_777_216),
            max_requests: reader.count("max-requests", 1..=1_000_000),
            server_lease: reader.millis("server-lease-ms", 200..=60_000),
            renew_interval: reader.millis("renew-interval-ms", 50..=10_000),
            retry_percent: reader.count("retry-percent", 0..=100),
            stop_delay: reader.millis("stop-delay-ms", 0..=60_000),
        };
        reader.finish(settings)
    }
}
