//! Stand-in backend servers and callers over loopback connections.

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use chicory_standin::check::{check_records, read_histories};
use chicory_standin::history::Recorder;
use chicory_standin::load::{
    Call, CallKind, CallOutcome, CallResult, Caller, LoadConfigBuilder, run_load,
};
use chicory_standin::server::{
    Behaviour, BehaviourRequest, ServerConfig, ServerConfigBuilder, StandinServer, send_once,
    start_server,
};
use googletest::prelude::*;
use tokio::task::LocalSet;

const TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_DEADLINE: Duration = Duration::from_millis(50);

fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    LocalSet::new().block_on(&runtime, test)
}

async fn start(change: impl FnOnce(&mut ServerConfig)) -> StandinServer {
    let config = ServerConfigBuilder::new("archive", "bodega-sur").with(change);
    start_server(&config.build())
        .await
        .expect("the server starts")
}

fn caller(deadline: Duration) -> Caller {
    let recorder = Recorder::open(None).expect("no file is opened");
    Caller::new("test", deadline, recorder.into())
}

fn call(key: &str) -> Call {
    Call {
        service: "archive".to_owned(),
        key: key.to_owned(),
        order_key: None,
        marker: None,
    }
}

async fn send_request(running: &StandinServer, deadline: Duration) -> CallResult {
    let address = &running.servers[0].address;
    caller(deadline).send(address, &call("k1")).await
}

async fn change_behaviour(running: &StandinServer, behaviour: Behaviour) {
    let request = BehaviourRequest {
        server: None,
        behaviour,
    };
    let body = Bytes::from(serde_json::to_vec(&request).expect("the value is valid JSON"));
    let address = running.control_address.to_string();
    let answer = send_once(&address, "/.standin/behaviour", Some(body), TIMEOUT).await;
    assert_that!(answer.expect("an answer arrives").status.as_u16(), eq(204));
}

#[gtest]
fn a_request_gets_its_own_whole_answer() {
    block_on(async {
        let running = start(|_| {}).await;
        let result = send_request(&running, TIMEOUT).await;
        expect_that!(result.is_good(), eq(true));
        expect_that!(result.server, some(eq("archive")));
    });
}

#[gtest]
fn a_server_that_checks_grants_refuses_a_request_without_a_token() {
    block_on(async {
        let running = start(|config| config.checks_grants = true).await;
        let result = send_request(&running, TIMEOUT).await;
        expect_that!(result.status, some(eq(409)));
        expect_that!(result.outcome, eq(CallOutcome::NotRun));
        expect_that!(result.reason, some(eq("token")));
    });
}

#[gtest]
fn a_shedding_server_refuses_until_it_accepts_again() {
    block_on(async {
        let running = start(|_| {}).await;
        change_behaviour(&running, Behaviour::Shed).await;
        let result = send_request(&running, TIMEOUT).await;
        expect_that!(result.outcome, eq(CallOutcome::NotRun));
        expect_that!(result.reason, some(eq("shed")));
        change_behaviour(&running, Behaviour::Accept).await;
        expect_that!(send_request(&running, TIMEOUT).await.is_good(), eq(true));
    });
}

#[gtest]
fn a_frozen_server_answers_once_it_resumes() {
    block_on(async {
        let running = start(|_| {}).await;
        change_behaviour(&running, Behaviour::Freeze).await;
        let result = send_request(&running, SHORT_DEADLINE).await;
        expect_that!(result.outcome, eq(CallOutcome::Unknown));
        change_behaviour(&running, Behaviour::Thaw).await;
        expect_that!(send_request(&running, TIMEOUT).await.is_good(), eq(true));
    });
}

#[gtest]
fn silenced_connections_stay_unresponsive_and_new_ones_work() {
    block_on(async {
        let running = start(|_| {}).await;
        let address = &running.servers[0].address;
        let caller = caller(SHORT_DEADLINE);
        expect_that!(caller.send(address, &call("k1")).await.is_good(), eq(true));
        change_behaviour(&running, Behaviour::SilenceConnections).await;
        let silenced_result = caller.send(address, &call("k1")).await;
        expect_that!(silenced_result.outcome, eq(CallOutcome::Unknown));
        expect_that!(send_request(&running, TIMEOUT).await.is_good(), eq(true));
    });
}

#[gtest]
fn an_answer_that_is_cut_short_is_not_good() {
    block_on(async {
        let running = start(|_| {}).await;
        change_behaviour(&running, Behaviour::CutAnswers).await;
        let result = send_request(&running, TIMEOUT).await;
        expect_that!(result.outcome, eq(CallOutcome::Unknown));
        expect_that!(result.is_good(), eq(false));
    });
}

#[gtest]
fn a_crossed_answer_is_not_accepted_as_the_callers_own() {
    block_on(async {
        let running = start(|_| {}).await;
        change_behaviour(&running, Behaviour::CrossAnswers).await;
        send_request(&running, TIMEOUT).await;
        let result = send_request(&running, TIMEOUT).await;
        expect_that!(result.status, some(eq(200)));
        expect_that!(result.body_ok, eq(false));
    });
}

#[gtest]
fn a_false_health_answer_hides_draining() {
    block_on(async {
        let running = start(|_| {}).await;
        change_behaviour(&running, Behaviour::Drain).await;
        expect_that!(reports_healthy(&running).await, eq(false));
        change_behaviour(&running, Behaviour::ClaimHealthy).await;
        expect_that!(reports_healthy(&running).await, eq(true));
    });
}

async fn reports_healthy(running: &StandinServer) -> bool {
    let address = &running.servers[0].address;
    let answer = send_once(address, "/.chicory/health", None, TIMEOUT).await;
    let body = answer.expect("an answer arrives").body;
    let health: serde_json::Value = serde_json::from_slice(&body).expect("the value is valid JSON");
    health["healthy"] == true
}

#[gtest]
fn connections_above_the_limit_are_closed() {
    block_on(async {
        let running = start(|config| config.connections = 1).await;
        let address = &running.servers[0].address;
        let first = caller(TIMEOUT);
        expect_that!(first.send(address, &call("k1")).await.is_good(), eq(true));
        expect_that!(send_request(&running, TIMEOUT).await.is_good(), eq(false));
    });
}

fn history_path(folder: &Path, name: &str) -> std::path::PathBuf {
    folder.join(name)
}

#[gtest]
fn a_run_of_orders_has_no_violations() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let server_history = history_path(folder.path(), "servers.jsonl");
    let caller_history = history_path(folder.path(), "caller.jsonl");
    let summary = block_on(async {
        let running = start(|config| config.history = Some(server_history.clone())).await;
        let addresses = vec![running.servers[0].address.clone()];
        let config = LoadConfigBuilder::new("archive", addresses).with(|config| {
            config.call_kind = CallKind::Orders;
            config.max_calls = 20;
            config.duration = TIMEOUT;
            config.history = Some(caller_history.clone());
        });
        run_load(config.build()).await
    })?;
    let records = read_histories(&[server_history, caller_history])?;
    let report = check_records(&records, &["archive".to_owned()].into());
    expect_that!(summary.good, eq(20));
    expect_that!(report.runs, eq(20));
    verify_that!(report.violations, is_empty())
}
