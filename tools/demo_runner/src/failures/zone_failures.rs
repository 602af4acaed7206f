//! Network cuts between availability zones.

use std::path::Path;

use chicory_standin::check::CheckReport;

use super::failure_run::{FailureRun, expect, print_waited};
use crate::RunnerError;
use crate::deployment::DeploymentSize;
use crate::run_caller::key_call;
use crate::services::ARCHIVE;

/// Time in which a server serves a request.
const SERVICE_TIME: &str = "5ms";
/// Number of keys among which [`key_of_zone`] searches.
const KEY_COUNT: usize = 30;
/// Three zones, each with one control process, all in the global group.
const THREE_ZONES: DeploymentSize = DeploymentSize {
    zones: 3,
    controls: 1,
    global_controls: 1,
    entries: 1,
};

/// During a cut, the zone that is cut off and the other zones each serve their own keys. An edit
/// made during the cut is accepted, and after the cut it comes into force everywhere, as does a
/// later one.
pub async fn cut(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(THREE_ZONES, binaries, SERVICE_TIME).await?;
    let zones: Vec<&str> = THREE_ZONES.zone_names().collect();
    let cut = zones[0];
    let inside = key_of_zone(&run, cut).await?;
    let outside = key_of_zone(&run, zones[1]).await?;
    let load = run.start_load().await?;
    run.cluster.cut_off(cut)?;
    for (zone, key) in [(cut, &inside), (zones[1], &outside)] {
        let addresses = run.cluster.caller_addresses(Some(zone));
        let call = key_call(ARCHIVE, key);
        let answer = run.caller.wait_for_good_answer(&addresses, &call).await?;
        print_waited(&format!("key of {zone} during the cut"), answer.waited);
    }
    let majority = run.cluster.vms.iter();
    let majority = majority.filter(|vm| vm.is_global() && vm.zone != cut);
    let pairs: Vec<String> = majority
        .map(|vm| format!("{}={}", vm.name, vm.peer))
        .collect();
    let operator = run.cluster.operator.with_control_processes(pairs.join(","));
    let set = [
        "table",
        "set",
        ARCHIVE,
        "*",
        "weight=90",
        "--timeout-ms",
        "20000",
    ];
    let edit = operator.run(&set).await?;
    expect(
        edit["revision"].is_u64(),
        "an accepted edit",
        edit.to_string(),
    )?;
    run.cluster.end_cuts()?;
    let next = ["table", "set", ARCHIVE, "*", "weight=95", "--wait"];
    run.cluster.operator.run(&next).await?;
    run.finish(Some(load)).await
}

/// Returns a key whose owner is in `zone`.
async fn key_of_zone(run: &FailureRun, zone: &str) -> Result<String, RunnerError> {
    for number in 0..KEY_COUNT {
        let key = format!("k{number}");
        if run.wait_for_good_answer(&key).await?.server.contains(zone) {
            return Ok(key);
        }
    }
    expect(false, format!("a key owned in {zone}"), "none")?;
    Ok(String::new())
}
