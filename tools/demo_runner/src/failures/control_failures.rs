//! Failures of control processes.

use std::path::Path;

use chicory_standin::check::CheckReport;

use super::failure_run::{FailureRun, KEY, expect, print_waited};
use super::server_failures::ONE_ZONE;
use crate::deployment::{DeploymentSize, Vm};
use crate::run_caller::SETTLE_TIMEOUT;
use crate::services::ARCHIVE;
use crate::{RunnerError, wait};

/// Time in which a server serves a request.
const SERVICE_TIME: &str = "5ms";
/// Time limit for the answer of a single control process, in milliseconds.
const QUERY_TIMEOUT_MS: &str = "400";
/// Three zones, each with three control processes, one of them in the global group.
const THREE_GLOBAL_MEMBERS: DeploymentSize = DeploymentSize {
    zones: 3,
    controls: 3,
    global_controls: 1,
    entries: 1,
};

/// Callers are not affected when a leader is killed, nor when its successor is killed right after
/// the first one has recovered.
pub async fn leaders_killed(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let load = run.start_load().await?;
    let first = wait_for_leader(&run, None).await?;
    run.cluster.kill_process(&first).await?;
    let second = wait_for_leader(&run, Some(&first)).await?;
    run.cluster.start_process(&first)?;
    run.cluster.wait_ready(&first).await?;
    run.cluster.kill_process(&second).await?;
    wait_for_leader(&run, Some(&second)).await?;
    let after = run.wait_for_good_answer(KEY).await?;
    print_waited("two leaders killed", after.waited);
    run.finish(Some(load)).await
}

/// A leader that is cut off without its connections being closed is replaced, does not disturb the
/// others, and is ready again after the cut.
pub async fn isolated(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let load = run.start_load().await?;
    let leader = wait_for_leader(&run, None).await?;
    run.cluster.isolate(&leader)?;
    wait_for_leader(&run, Some(&leader)).await?;
    let after = run.wait_for_good_answer(KEY).await?;
    print_waited("leader isolated", after.waited);
    run.cluster.end_cuts()?;
    run.cluster.wait_ready(&leader).await?;
    run.finish(Some(load)).await
}

/// No accepted edit is lost when a member of the global group loses its data folder.
pub async fn data_lost(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(THREE_GLOBAL_MEMBERS, binaries, SERVICE_TIME).await?;
    let set = ["table", "set", ARCHIVE, "*", "weight=70", "--wait"];
    let accepted = run.cluster.operator.run(&set).await?;
    let lost = "control-2-1";
    run.cluster.kill_process(lost).await?;
    run.cluster.delete_data(lost)?;
    run.cluster.start_process(lost)?;
    let next = ["table", "set", ARCHIVE, "*", "weight=80", "--wait"];
    let revision = run.cluster.operator.run(&next).await?["revision"].as_u64();
    let before = accepted["revision"].as_u64();
    let is_next = revision > before;
    expect(
        is_next,
        "a later revision",
        format!("{revision:?} after {before:?}"),
    )?;
    let after = run.wait_for_good_answer(KEY).await?;
    print_waited("data folder lost", after.waited);
    run.finish(None).await
}

/// When all control processes of a zone lose their state at once, the zone's group is formed again
/// and serves requests, and the zone never returns to an earlier table.
pub async fn zone_state_lost(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let load = run.start_load().await?;
    let controls = run.cluster.vms.iter().filter(|vm| vm.is_control());
    let controls: Vec<String> = controls.map(|vm| vm.name.clone()).collect();
    for vm in &controls {
        run.cluster.kill_process(vm).await?;
    }
    for vm in &controls {
        run.cluster.start_process(vm)?;
    }
    for vm in &controls {
        run.cluster.wait_ready(vm).await?;
    }
    let set = ["table", "set", ARCHIVE, "*", "weight=70", "--wait"];
    run.cluster.operator.run(&set).await?;
    let after = run.wait_for_good_answer(KEY).await?;
    print_waited("state of the zone lost", after.waited);
    run.finish(Some(load)).await
}

/// Waits until the zone group has a leader other than `former`, which is recognized by its answer:
/// only the leader answers `zone show`.
async fn wait_for_leader(run: &FailureRun, former: Option<&str>) -> Result<String, RunnerError> {
    wait::until("a leader of the zone group", SETTLE_TIMEOUT, async || {
        let mut seen = String::new();
        for vm in run.cluster.vms.iter().filter(|vm| vm.is_control()) {
            if Some(vm.name.as_str()) == former {
                continue;
            }
            match query_single(run, vm).await {
                Ok(()) => return Ok(vm.name.clone()),
                Err(error) => seen = error,
            }
        }
        Err(seen)
    })
    .await
}

async fn query_single(run: &FailureRun, vm: &Vm) -> Result<(), String> {
    let alone = format!("{}={}", vm.name, vm.peer);
    let operator = run.cluster.operator.with_control_processes(alone);
    let output = operator.output(&["zone", "show", "--timeout-ms", QUERY_TIMEOUT_MS]);
    let output = output.await.map_err(|error| error.to_string())?;
    if output.status.success() {
        return Ok(());
    }
    Err(String::from_utf8_lossy(&output.stderr).into_owned())
}
