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

/// Time limit for a stand-in process to start, and for its answers.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The settings of a stand-in process.
#[derive(Clone, Debug)]
pub struct StandinConfig {
    /// Name of the process, and of its server if it has only one.
    pub name: String,
    /// Service of its servers.
    pub service: String,
    /// Availability zone of its servers.
    pub zone: String,
    /// Number of servers in the process.
    pub count: usize,
    /// Whether its servers check fencing tokens.
    pub checks_grants: bool,
    /// Time in which a server serves a request, such as `2ms`.
    pub service_time: String,
}

/// A running stand-in process with its servers.
#[derive(Debug)]
pub struct StandinGroup {
    /// Its settings.
    pub config: StandinConfig,
    /// The process.
    pub process: ChildProcess,
    /// Path of its history.
    pub history: PathBuf,
    control: String,
}

impl StandinGroup {
    /// Starts a process whose servers announce themselves at the addresses `announce`.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it doesn't start.
    pub async fn start(
        config: StandinConfig,
        announce: &[String],
        binaries: &Path,
        folder: &Path,
    ) -> Result<Self, RunnerError> {
        let history = folder.join(format!("{}.jsonl", config.name));
        let args = args(&config, announce, &history);
        let program = binaries.join("chicory-standin");
        let mut process = ChildProcess::start(&config.name, &program, &args, folder)?;
        let control = wait::until("the start of a stand-in", TIMEOUT, async || {
            find(&process.output(), "control").ok_or("no control address yet".to_owned())
        });
        let control = control.await;
        process.check_alive()?;
        Ok(Self {
            control: control?,
            config,
            process,
            history,
        })
    }

    /// Sets the behaviour of one server, or of all servers of the process if `server` is `None`.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Unexpected`] if the process doesn't accept it.
    pub async fn set_behaviour(
        &self,
        server: Option<&str>,
        behaviour: Behaviour,
    ) -> Result<(), RunnerError> {
        let request = BehaviourRequest {
            server: server.map(ToOwned::to_owned),
            behaviour,
        };
        let body = serde_json::to_vec(&request).expect("a behaviour can be written as JSON");
        let path = "/.standin/behaviour";
        let answer = send_once(&self.control, path, Some(Bytes::from(body)), TIMEOUT).await;
        let is_accepted = answer.as_ref().is_ok_and(|answer| answer.status == 204);
        ensure!(
            is_accepted,
            UnexpectedSnafu {
                expected: "the stand-in to accept the behaviour",
                found: format!("{answer:?}"),
            }
        );
        Ok(())
    }
}

fn args(config: &StandinConfig, announce: &[String], history: &Path) -> Vec<String> {
    let mut args = Args::default();
    args.list.push("server".to_owned());
    args.add("service", &config.service);
    args.add("zone", &config.zone);
    args.add("name", &config.name);
    args.add("count", &config.count);
    args.add("service-time", &config.service_time);
    args.add("announce", &announce.join(","));
    args.add("history", &history.display());
    if config.checks_grants {
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
