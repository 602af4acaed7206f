//! Stand-in backend servers of a deployment.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use chicory_standin::server::{Behaviour, BehaviourRequest, send_once};
use serde_json::Value;
use snafu::ensure;

use super::process_args::Args;
use crate::child_process::ChildProcess;
use crate::runner_error::UnexpectedSnafu;
use crate::{RunnerError, wait};

/// How long a stand-in may take to start or to answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// What a stand-in process serves.
#[derive(Clone, Debug)]
pub struct StandinShape {
    /// Name of the process, and of its server where it has one only.
    pub name: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Servers in the process.
    pub count: usize,
    /// Whether they check fencing tokens.
    pub checks_grants: bool,
    /// Time of a request, such as `2ms`.
    pub service_time: String,
}

/// A running stand-in process.
#[derive(Debug)]
pub struct StandinGroup {
    /// What it serves.
    pub shape: StandinShape,
    /// The process.
    pub process: ChildProcess,
    /// Its history.
    pub history: PathBuf,
    control: String,
}

impl StandinGroup {
    /// Starts a process that announces itself at `announce`.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it doesn't start.
    pub async fn start(
        shape: StandinShape,
        announce: &[String],
        binaries: &Path,
        folder: &Path,
    ) -> Result<Self, RunnerError> {
        let history = folder.join(format!("{}.jsonl", shape.name));
        let args = args(&shape, announce, &history);
        let program = binaries.join("chicory-standin");
        let mut process = ChildProcess::start(&shape.name, &program, &args, folder)?;
        let control = wait::until("the start of a stand-in", TIMEOUT, async || {
            find(&process.output(), "control").ok_or("no control address yet".to_owned())
        });
        let control = control.await;
        process.check_alive()?;
        Ok(Self {
            control: control?,
            shape,
            process,
            history,
        })
    }

    /// Switches the behaviour of one server, or of all.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Unexpected`] if the process doesn't take it.
    pub async fn switch(
        &self,
        server: Option<&str>,
        behaviour: Behaviour,
    ) -> Result<(), RunnerError> {
        let request = BehaviourRequest {
            server: server.map(ToOwned::to_owned),
            behaviour,
        };
        let body = serde_json::to_vec(&request).expect("a switch is valid JSON");
        let path = "/.standin/behaviour";
        let answer = send_once(&self.control, path, Some(Bytes::from(body)), TIMEOUT).await;
        let is_taken = answer.as_ref().is_ok_and(|answer| answer.status == 204);
        ensure!(
            is_taken,
            UnexpectedSnafu {
                expected: "the stand-in to take the switch",
                found: format!("{answer:?}"),
            }
        );
        Ok(())
    }
}

fn args(shape: &StandinShape, announce: &[String], history: &Path) -> Vec<String> {
    let mut args = Args::default();
    args.list.push("server".to_owned());
    args.add("service", &shape.service);
    args.add("zone", &shape.zone);
    args.add("name", &shape.name);
    args.add("count", &shape.count);
    args.add("service-time", &shape.service_time);
    args.add("announce", &announce.join(","));
    args.add("history", &history.display());
    if shape.checks_grants {
        args.list.push("--checks-grants".to_owned());
    }
    args.list
}

fn lines(output: &str) -> impl Iterator<Item = Value> {
    output
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
}

fn find(output: &str, name: &str) -> Option<String> {
    lines(output).find_map(|line| Some(line.get(name)?.as_str()?.to_owned()))
}
