//! A control process on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_ctl::client::SiteClient;
use chicory_ranges::{CallOutcome, GrantCoordinatorConfig};
use chicory_site::{GrantFuture, GrantRequest, GrantTransport, SiteProcess, SiteProcessConfig};
use chicory_telemetry::Metrics;
use chicory_types::SystemClock;
use slog::{Logger, o};
use tempfile::TempDir;

/// Backend servers that can't be reached.
struct NoServers;

impl GrantTransport for NoServers {
    fn call(&self, _order: GrantRequest) -> GrantFuture {
        Box::pin(async { CallOutcome::Unreachable })
    }
}

/// Starts the control process of a site with one zone, `north`.
pub async fn start_site() -> (SiteClient, TempDir) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = std::net::TcpListener::bind(any).expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let data = tempfile::tempdir().expect("a folder");
    let config = SiteProcessConfig {
        cluster: "test".into(),
        vm: address.to_string(),
        link_address: address,
        zone: "north".into(),
        zones: ["north".to_owned()].into(),
        seeds: vec![address.to_string()],
        voter_count: 3,
        is_first_start: true,
        data_dir: data.path().to_owned(),
        grants: GrantCoordinatorConfig::default(),
        cold_allowance: chicory_site::ColdAllowance::default(),
    };
    let logger = Logger::root(slog::Discard, o!());
    let metrics = Arc::new(Metrics::new().expect("metrics"));
    let clock = Arc::new(SystemClock::new());
    let started = SiteProcess::start(config, clock, Arc::new(NoServers), logger, metrics).await;
    let (process, _) = started.expect("a control process");
    tokio::spawn(process.run());
    let client = SiteClient {
        control_vms: vec![address],
        operator: "ana".into(),
        timeout: Duration::from_secs(20),
    };
    (client, data)
}
