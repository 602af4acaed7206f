//! Failures and planned stops of entry processes.

use std::path::Path;

use chicory_standin::check::CheckReport;
use chicory_standin::history::HistoryEvent;

use super::failure_run::{FailureRun, KEY, expect, print_waited};
use super::server_failures::ONE_ZONE;
use crate::RunnerError;
use crate::child_process::Signal;
use crate::run_caller::key_call;
use crate::services::ARCHIVE;

/// Time in which a server serves a request under load.
const SERVICE_TIME: &str = "5ms";
/// Time in which a server serves the request that is in flight while a process stops.
const LONG_SERVICE_TIME: &str = "800ms";

/// Another entry process takes over as dispatcher when the dispatcher is killed.
pub async fn killed(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let load = run.start_load().await?;
    let dispatcher = run.owner_field(KEY, "dispatcher").await?;
    run.cluster.kill_process(&dispatcher).await?;
    let after = run.wait_for_good_answer(KEY).await?;
    print_waited("dispatcher killed", after.waited);
    run.finish(Some(load)).await
}

/// Another entry process takes over from a paused dispatcher. When that one resumes, it violates no
/// guarantee and serves requests again.
pub async fn paused(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let load = run.start_load().await?;
    let dispatcher = run.owner_field(KEY, "dispatcher").await?;
    run.cluster.signal(&dispatcher, Signal::Pause).await?;
    let others = run.cluster.entries(None).into_iter();
    let others = others.filter(|vm| vm.name != dispatcher);
    let others: Vec<String> = others.map(|vm| vm.listen.to_string()).collect();
    let call = key_call(ARCHIVE, KEY);
    let after = run.caller.wait_for_good_answer(&others, &call).await?;
    print_waited("dispatcher paused", after.waited);
    run.cluster.signal(&dispatcher, Signal::Resume).await?;
    let resumed = [run.cluster.vm(&dispatcher)?.listen.to_string()];
    run.caller.wait_for_good_answer(&resumed, &call).await?;
    run.finish(Some(load)).await
}

/// A planned stop waits for the request in flight.
pub async fn stopped(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, LONG_SERVICE_TIME).await?;
    let dispatcher = run.owner_field(KEY, "dispatcher").await?;
    let address = run.cluster.vm(&dispatcher)?.listen.to_string();
    let call = key_call(ARCHIVE, "in-flight");
    let (result, signalled) = tokio::join!(run.caller.send(&address, &call), async {
        run.wait_for_event(HistoryEvent::RunStart, &call).await?;
        run.cluster.signal(&dispatcher, Signal::Terminate).await
    });
    signalled?;
    expect(result.is_good(), "a complete answer", format!("{result:?}"))?;
    run.cluster.wait_stopped(&dispatcher).await?;
    let after = run.wait_for_good_answer(KEY).await?;
    print_waited("dispatcher stopped", after.waited);
    run.finish(None).await
}
