//! The `evacuation` commands, against a control process on loopback.

mod site;

use chicory_ctl::ExitStatus;
use chicory_ctl::command::{begin_evacuation, finish_evacuation, list_evacuations};
use googletest::prelude::*;
use serde_json::json;
use site::start_site;

/// Guards against orders that are not in the list, and against repeated orders that are refused.
#[gtest]
#[tokio::test]
async fn orders_may_be_repeated_and_are_listed() {
    let (client, _data) = start_site().await;
    let list = list_evacuations(&client).await.expect("a report");
    expect_that!(list.text, eq("no zone is evacuated"));
    expect_that!(list.json, eq(&json!({"evacuated_zones": []})));
    for _ in 0..2 {
        expect_that!(begin_evacuation(&client, "north").await, ok(anything()));
        let list = list_evacuations(&client).await.expect("a report");
        expect_that!(list.text, eq("north"));
        expect_that!(list.json, eq(&json!({"evacuated_zones": ["north"]})));
    }
    for _ in 0..2 {
        expect_that!(finish_evacuation(&client, "north").await, ok(anything()));
    }
    let list = list_evacuations(&client).await.expect("a report");
    expect_that!(list.json, eq(&json!({"evacuated_zones": []})));
}

/// Guards against a mistyped zone that looks like a success.
#[gtest]
#[tokio::test]
async fn unknown_zone_is_an_error_that_names_it() {
    let (client, _data) = start_site().await;
    for result in [
        begin_evacuation(&client, "nrth").await,
        finish_evacuation(&client, "nrth").await,
    ] {
        let error = result.expect_err("an error");
        expect_that!(error.to_string(), contains_substring("nrth"));
        expect_that!(error.exit_status(), eq(ExitStatus::Refused));
    }
}
