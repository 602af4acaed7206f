//! Failures of control processes.

use std::path::Path;

use chicory_standin::check::CheckReport;

use super::failure_run::{FailureRun, KEY, expect, print_waited};
use super::server_failures::ONE_ZONE;
use crate::caller_side::SETTLE_TIMEOUT;
use crate::deployment::{Shape, Vm};
use crate::services::ARCHIVE;
use crate::{RunnerError, wait};

/// Time of a request.
const SERVICE_TIME: &str = "5ms";
/// How long a single control process is asked.
const ASK_TIMEOUT_MS: &str = "400";
/// Three zones, each with three control processes, one of them in the global group.
const THREE_GLOBAL: Shape = Shape {
    zones: 3,
    controls: 3,
    global_controls: 1,
    entries: 1,
};

/// Callers notice neither the loss of a leader nor that of its successor right after the repair.
pub async fn leaders_killed(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let load = run.start_load().await?;
    let first = until_leader(&run, None).await?;
    run.cluster.kill_process(&first).await?;
    let second = until_leader(&run, Some(&first)).await?;
    run.cluster.start_process(&first)?;
    run.cluster.wait_ready(&first).await?;
    run.cluster.kill_process(&second).await?;
    until_leader(&run, Some(&second)).await?;
    let after = run.until_good(KEY).await?;
    print_waited("two leaders killed", after.waited);
    run.finish(Some(load)).await
}

/// A control process that is cut off silently neither serves nor disturbs the others, and comes
/// back.
pub async fn isolated(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let load = run.start_load().await?;
    let leader = until_leader(&run, None).await?;
    run.cluster.isolate(&leader)?;
    until_leader(&run, Some(&leader)).await?;
    let after = run.until_good(KEY).await?;
    print_waited("leader isolated", after.waited);
    run.cluster.heal()?;
    run.cluster.wait_ready(&leader).await?;
    run.finish(Some(load)).await
}

/// A member of the global group that lost its data folder forgets nothing that was accepted.
pub async fn data_lost(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(THREE_GLOBAL, binaries, SERVICE_TIME).await?;
    let set = ["table", "set", ARCHIVE, "*", "weight=70", "--wait"];
    let accepted = run.cluster.operator.run(&set).await?;
    let lost = "control-2-1";
    run.cluster.kill_process(lost).await?;
    run.cluster.lose_data(lost)?;
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
    let after = run.until_good(KEY).await?;
    print_waited("data folder lost", after.waited);
    run.finish(None).await
}

/// A zone whose control processes all forget everything at once is formed anew and goes on, and the
/// table that it has in force never goes back.
pub async fn zone_memory_lost(binaries: &Path) -> Result<CheckReport, RunnerError> {
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
    let after = run.until_good(KEY).await?;
    print_waited("memory of the zone lost", after.waited);
    run.finish(Some(load)).await
}

/// Waits for a leader of the zone group other than `former`: only the leader answers for its zone.
async fn until_leader(run: &FailureRun, former: Option<&str>) -> Result<String, RunnerError> {
    wait::until("a leader of the zone group", SETTLE_TIMEOUT, async || {
        let mut seen = String::new();
        for vm in run.cluster.vms.iter().filter(|vm| vm.is_control()) {
            if Some(vm.name.as_str()) == former {
                continue;
            }
            match ask_alone(run, vm).await {
                Ok(()) => return Ok(vm.name.clone()),
                Err(error) => seen = error,
            }
        }
        Err(seen)
    })
    .await
}

async fn ask_alone(run: &FailureRun, vm: &Vm) -> Result<(), String> {
    let alone = format!("{}={}", vm.name, vm.peer);
    let operator = run.cluster.operator.asking(alone);
    let output = operator.output(&["zone", "show", "--timeout-ms", ASK_TIMEOUT_MS]);
    let output = output.await.map_err(|error| error.to_string())?;
    if output.status.success() {
        return Ok(());
    }
    Err(String::from_utf8_lossy(&output.stderr).into_owned())
}
