//! The `routes` commands, against a control process on loopback.

mod site;

use std::io::Write;
use std::time::Duration;

use chicory_ctl::client::SiteClient;
use chicory_ctl::command::{check_routes, get_routes, put_routes};
use chicory_ctl::{CtlError, ExitStatus};
use googletest::prelude::*;
use site::start_site;
use tempfile::NamedTempFile;

const ROUTES: &str = "\
row,name,host,path_prefix,kind,timeout_ms,target
route,reads,one.example,/reads/,idempotent,1500,archive:3 ledger:1
service,archive,,,,,
service,ledger,,,,,
";

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
