//! The `routes` commands, against a control process on loopback.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_ctl::client::SiteClient;
use chicory_ctl::command::{check_routes, get_routes, put_routes};
use chicory_ctl::{CtlError, ExitStatus};
use chicory_ranges::{CallOutcome, GrantCoordinatorConfig};
use chicory_site::{GrantFuture, GrantRequest, GrantTransport, SiteProcess, SiteProcessConfig};
use chicory_telemetry::Metrics;
use chicory_types::SystemClock;
use googletest::prelude::*;
use slog::{Logger, o};
use tempfile::{NamedTempFile, TempDir};

const ROUTES: &str = "\
row,name,host,path_prefix,kind,timeout_ms,target
route,reads,one.example,/reads/,idempotent,1500,archive:3 ledger:1
service,archive,,,,,
service,ledger,,,,,
";

/// A site without backend servers.
struct NoServers;

impl GrantTransport for NoServers {
    fn call(&self, _order: GrantRequest) -> GrantFuture {
        Box::pin(async { CallOutcome::Unreachable })
    }
}

async fn start_site() -> (SiteClient, TempDir) {
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
        zones: std::collections::BTreeSet::new(),
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

fn file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    file
}

#[gtest]
#[tokio::test]
async fn highest_version_is_in_force_and_read_back() {
    let (client, _data) = start_site().await;
    let routes = file(ROUTES);
    expect_that!(put_routes(&client, 7, routes.path()).await, ok(anything()));
    let other = file(&ROUTES.replace("1500", "900"));
    expect_that!(put_routes(&client, 5, other.path()).await, ok(anything()));
    let read = get_routes(&client, None).await.expect("a report");
    expect_that!(read.json["version"], eq(&serde_json::json!(7)));
    expect_that!(read.text, contains_substring("1500"));
    expect_that!(read.text, contains_substring("archive:3 ledger:1"));
    // The CSV that was read is a valid file for `put`.
    let copy = file(&read.text);
    expect_that!(put_routes(&client, 8, copy.path()).await, ok(anything()));
}

#[gtest]
#[tokio::test]
async fn faulty_file_is_not_sent() {
    let faulty = file(&ROUTES.replace("ledger:1", "nowhere:1"));
    let client = SiteClient {
        control_vms: Vec::new(),
        operator: "ana".into(),
        timeout: Duration::from_millis(1),
    };
    for failure in [
        check_routes(faulty.path()).expect_err("a fault"),
        put_routes(&client, 7, faulty.path())
            .await
            .expect_err("a fault"),
    ] {
        expect_that!(failure.to_string(), contains_substring("nowhere"));
        expect_that!(failure.exit_status(), eq(ExitStatus::InvalidInput));
    }
    let unanswered = get_routes(&client, None).await;
    expect_that!(
        unanswered,
        err(matches_pattern!(CtlError::SiteUnreachable { .. }))
    );
}
