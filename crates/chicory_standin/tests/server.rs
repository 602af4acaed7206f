//! Stand-in backend servers and callers over loopback connections.

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use chicory_standin::check::{check_records, read_histories};
use chicory_standin::history::Recorder;
use chicory_standin::load::{
    Call, CallOutcome, CallResult, Caller, LoadConfigBuilder, Subject, run_load,
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
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

async fn start(change: impl FnOnce(&mut ServerConfig)) -> StandinServer {
    let config = ServerConfigBuilder::new("archive", "bodega-sur").with(change);
    start_server(&config.build()).await.expect("it starts")
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

async fn ask(running: &StandinServer, deadline: Duration) -> CallResult {
    let address = &running.servers[0].address;
    caller(deadline).send(address, &call("k1")).await
}

async fn switch(running: &StandinServer, behaviour: Behaviour) {
    let request = BehaviourRequest {
        server: None,
        behaviour,
    };
    let body = Bytes::from(serde_json::to_vec(&request).expect("valid JSON"));
    let address = running.control_address.to_string();
    let answer = send_once(&address, "/.standin/behaviour", Some(body), TIMEOUT).await;
    assert_that!(answer.expect("an answer").status.as_u16(), eq(204));
}

#[gtest]
fn a_request_gets_its_own_whole_answer() {
    block_on(async {
        let running = start(|_| {}).await;
        let result = ask(&running, TIMEOUT).await;
        expect_that!(result.is_good(), eq(true));
        expect_that!(result.server, some(eq("archive")));
    });
}

#[gtest]
fn a_server_that_checks_grants_refuses_a_request_without_a_token() {
    block_on(async {
        let running = start(|config| config.checks_grants = true).await;
        let result = ask(&running, TIMEOUT).await;
        expect_that!(result.status, some(eq(409)));
        expect_that!(result.outcome, eq(CallOutcome::NotRun));
        expect_that!(result.reason, some(eq("token")));
    });
}

#[gtest]
fn a_shedding_server_refuses_until_it_accepts_again() {
    block_on(async {
        let running = start(|_| {}).await;
        switch(&running, Behaviour::Shed).await;
        let result = ask(&running, TIMEOUT).await;
        expect_that!(result.outcome, eq(CallOutcome::NotRun));
        expect_that!(result.reason, some(eq("shed")));
        switch(&running, Behaviour::Accept).await;
        expect_that!(ask(&running, TIMEOUT).await.is_good(), eq(true));
    });
}

#[gtest]
fn a_frozen_server_answers_once_it_is_thawed() {
    block_on(async {
        let running = start(|_| {}).await;
        switch(&running, Behaviour::Freeze).await;
        let result = ask(&running, SHORT_DEADLINE).await;
        expect_that!(result.outcome, eq(CallOutcome::Unknown));
        switch(&running, Behaviour::Thaw).await;
        expect_that!(ask(&running, TIMEOUT).await.is_good(), eq(true));
    });
}

#[gtest]
fn silenced_connections_stay_silent_and_new_ones_work() {
    block_on(async {
        let running = start(|_| {}).await;
        let address = &running.servers[0].address;
        let caller = caller(SHORT_DEADLINE);
        expect_that!(caller.send(address, &call("k1")).await.is_good(), eq(true));
        switch(&running, Behaviour::SilenceConnections).await;
        let silent = caller.send(address, &call("k1")).await;
        expect_that!(silent.outcome, eq(CallOutcome::Unknown));
        expect_that!(ask(&running, TIMEOUT).await.is_good(), eq(true));
    });
}

#[gtest]
fn a_cut_answer_is_never_a_whole_one() {
    block_on(async {
        let running = start(|_| {}).await;
        switch(&running, Behaviour::CutAnswers).await;
        let result = ask(&running, TIMEOUT).await;
        expect_that!(result.outcome, eq(CallOutcome::Unknown));
        expect_that!(result.is_good(), eq(false));
    });
}

#[gtest]
fn a_crossed_answer_is_not_taken_as_the_callers_own() {
    block_on(async {
        let running = start(|_| {}).await;
        switch(&running, Behaviour::CrossAnswers).await;
        ask(&running, TIMEOUT).await;
        let result = ask(&running, TIMEOUT).await;
        expect_that!(result.status, some(eq(200)));
        expect_that!(result.body_ok, eq(false));
    });
}

#[gtest]
fn a_false_health_claim_hides_the_draining() {
    block_on(async {
        let running = start(|_| {}).await;
        switch(&running, Behaviour::Drain).await;
        expect_that!(says_healthy(&running).await, eq(false));
        switch(&running, Behaviour::ClaimHealthy).await;
        expect_that!(says_healthy(&running).await, eq(true));
    });
}

async fn says_healthy(running: &StandinServer) -> bool {
    let address = &running.servers[0].address;
    let answer = send_once(address, "/.chicory/health", None, TIMEOUT).await;
    let body = answer.expect("an answer").body;
    let health: serde_json::Value = serde_json::from_slice(&body).expect("valid JSON");
    health["healthy"] == true
}

#[gtest]
fn connections_above_the_limit_are_closed() {
    block_on(async {
        let running = start(|config| config.connections = 1).await;
        let address = &running.servers[0].address;
        let first = caller(TIMEOUT);
        expect_that!(first.send(address, &call("k1")).await.is_good(), eq(true));
        expect_that!(ask(&running, TIMEOUT).await.is_good(), eq(false));
    });
}

fn history(folder: &Path, name: &str) -> std::path::PathBuf {
    folder.join(name)
}

#[gtest]
fn a_run_of_orders_and_keys_is_judged_clean() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let of_servers = history(folder.path(), "servers.jsonl");
    let of_caller = history(folder.path(), "caller.jsonl");
    let summary = block_on(async {
        let running = start(|config| config.history = Some(of_servers.clone())).await;
        let addresses = vec![running.servers[0].address.clone()];
        let config = LoadConfigBuilder::new("archive", addresses).with(|config| {
            config.subject = Subject::Orders;
            config.max_calls = 20;
            config.duration = TIMEOUT;
            config.history = Some(of_caller.clone());
        });
        run_load(config.build()).await
    })?;
    let records = read_histories(&[of_servers, of_caller])?;
    let verdict = check_records(&records, &["archive".to_owned()].into());
    expect_that!(summary.good, eq(20));
    expect_that!(verdict.runs, eq(20));
    verify_that!(verdict.violations, is_empty())
}
