//! Failures of backend servers.

use std::path::Path;

use chicory_standin::check::CheckReport;
use chicory_standin::load::{Call, CallOutcome};
use chicory_standin::server::Behaviour;

use super::failure_run::{FailureRun, KEY, expect, print_waited};
use crate::child_process::Signal;
use crate::deployment::DeploymentSize;
use crate::run_caller::{SETTLE_TIMEOUT, key_call};
use crate::services::ARCHIVE;
use crate::{RunnerError, wait};

/// Time in which a server serves a request, long enough that some are in flight at the failure.
const SERVICE_TIME: &str = "10ms";
/// Text in the path of a request that makes servers crash.
const MARKER: &str = "poison";
/// Number of servers that a request may crash before it is refused.
const CRASH_LIMIT: usize = 2;

/// One zone with three control and two entry processes.
pub const ONE_ZONE: DeploymentSize = DeploymentSize {
    zones: 1,
    controls: 3,
    global_controls: 1,
    entries: 2,
};

/// The keys of a killed server get another owner.
pub async fn killed(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let load = run.start_load().await?;
    let owner = run.wait_for_good_answer(KEY).await?.server;
    run.cluster.kill_standin(&owner).await?;
    let after = run.wait_for_good_answer(KEY).await?;
    expect(after.server != owner, "another owner", &after.server)?;
    print_waited("server killed", after.waited);
    run.finish(Some(load)).await
}

/// The keys of a paused server get another owner. When the server resumes, the requests that it was
/// running have no effect.
pub async fn paused(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let load = run.start_load().await?;
    let owner = run.wait_for_good_answer(KEY).await?.server;
    signal_standin(&run, &owner, Signal::Pause).await?;
    let after = run.wait_for_good_answer(KEY).await?;
    expect(after.server != owner, "another owner", &after.server)?;
    print_waited("server paused", after.waited);
    signal_standin(&run, &owner, Signal::Resume).await?;
    run.finish(Some(load)).await
}

/// Connections that stop answering are replaced, and the server keeps serving.
pub async fn silent(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let load = run.start_load().await?;
    let owner = run.wait_for_good_answer(KEY).await?.server;
    let group = &run.cluster.standins[&owner];
    group
        .set_behaviour(None, Behaviour::SilenceConnections)
        .await?;
    let after = run.wait_for_good_answer(KEY).await?;
    print_waited("connections silent", after.waited);
    run.finish(Some(load)).await
}

/// A request that crashes servers is refused after the second crash.
pub async fn crashing_request(binaries: &Path) -> Result<CheckReport, RunnerError> {
    let mut run = FailureRun::start(ONE_ZONE, binaries, SERVICE_TIME).await?;
    let archives = archive_names(&run);
    for name in &archives {
        let marker = MARKER.to_owned();
        let behaviour = Behaviour::CrashOn { marker };
        run.cluster.standins[name]
            .set_behaviour(None, behaviour)
            .await?;
    }
    let call = Call {
        marker: Some(MARKER.to_owned()),
        ..key_call(ARCHIVE, KEY)
    };
    let addresses = run.cluster.caller_addresses(None);
    let mut attempt = 0;
    wait::until(
        "refusal of the crashing request",
        SETTLE_TIMEOUT,
        async || {
            let address = &addresses[attempt % addresses.len()];
            attempt += 1;
            let result = run.caller.send(address, &call).await;
            let is_refused = result.outcome == CallOutcome::NotRun
                && result.reason.as_deref() == Some("quarantined");
            if is_refused {
                Ok(())
            } else {
                Err(format!("{result:?}"))
            }
        },
    )
    .await?;
    let crashed = count_ended(&mut run, &archives);
    let expected = format!("at most {CRASH_LIMIT} crashed servers");
    expect(crashed <= CRASH_LIMIT, expected, crashed.to_string())?;
    println!("  {crashed} servers crashed before the request was refused");
    run.finish(None).await
}

async fn signal_standin(run: &FailureRun, name: &str, signal: Signal) -> Result<(), RunnerError> {
    run.cluster.standins[name].process.signal(signal).await
}

fn archive_names(run: &FailureRun) -> Vec<String> {
    let groups = run.cluster.standins.values();
    let archives = groups.filter(|group| group.config.service == ARCHIVE);
    archives.map(|group| group.config.name.clone()).collect()
}

/// Returns how many of the named stand-in processes have ended.
fn count_ended(run: &mut FailureRun, names: &[String]) -> usize {
    let mut count = 0;
    for name in names {
        if let Some(group) = run.cluster.standins.get_mut(name)
            && group.process.check_alive().is_err()
        {
            count += 1;
        }
    }
    count
}
