//! The operator of a deployment, who uses `chicoryctl`.

use std::path::{Path, PathBuf};
use std::process::Output;

use serde_json::Value;
use snafu::{ResultExt, ensure};
use tokio::process::Command;

use super::process_args::{Args, CLUSTER_NAME};
use crate::RunnerError;
use crate::runner_error::{CommandSnafu, ProcessSnafu};

/// Name of the operator.
pub const OPERATOR_NAME: &str = "ana";

/// The operator of a deployment, who uses `chicoryctl`.
#[derive(Clone, Debug)]
pub struct Operator {
    program: PathBuf,
    folder: PathBuf,
    control: String,
}

impl Operator {
    /// Creates an operator who calls the control processes of `control`, a list in the form of the
    /// `--control` flag.
    pub fn new(binaries: &Path, folder: &Path, control: String) -> Self {
        Self {
            program: binaries.join("chicoryctl"),
            folder: folder.to_owned(),
            control,
        }
    }

    /// Returns the same operator with other control processes to call.
    #[must_use]
    pub fn with_control_processes(&self, control: String) -> Self {
        Self {
            control,
            ..self.clone()
        }
    }

    /// Returns the path of the history of edits.
    pub fn history(&self) -> PathBuf {
        self.folder.join("operator.jsonl")
    }

    /// Creates a certificate authority and issues a certificate for each holder, given as role and
    /// name.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Command`] if a command fails.
    pub async fn issue_certificates(&self, holders: &[(&str, &str)]) -> Result<(), RunnerError> {
        let folder = self.folder.display().to_string();
        self.run_local(&["ca", "init", "--dir", &folder]).await?;
        for (role, name) in holders {
            let issue = [
                "ca", "issue", "--dir", &folder, "--role", role, "--name", name,
            ];
            self.run_local(&issue).await?;
        }
        Ok(())
    }

    /// Runs a command against the cluster and returns what it printed as JSON.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Command`] if the command fails.
    pub async fn run(&self, command: &[&str]) -> Result<Value, RunnerError> {
        let output = self.output(command).await?;
        parse_output(command, &output)
    }

    /// Runs a command against the cluster and returns its output, whatever its exit status is.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Process`] if it can't be started.
    pub async fn output(&self, command: &[&str]) -> Result<Output, RunnerError> {
        let mut args = Args::default();
        args.add("cluster", &CLUSTER_NAME);
        args.add("operator", &OPERATOR_NAME);
        args.add("control", &self.control);
        args.add_certificate(&format!("operator-{OPERATOR_NAME}"), &self.folder);
        args.add("history", &self.history().display());
        args.add("output", &"json");
        self.spawn(command, &args.list).await
    }

    async fn run_local(&self, command: &[&str]) -> Result<Value, RunnerError> {
        let mut args = Args::default();
        args.add("output", &"json");
        let output = self.spawn(command, &args.list).await?;
        parse_output(command, &output)
    }

    async fn spawn(&self, command: &[&str], args: &[String]) -> Result<Output, RunnerError> {
        let mut process = Command::new(&self.program);
        process.args(command).args(args).kill_on_drop(true);
        let output = process.output().await;
        output.context(ProcessSnafu { name: "chicoryctl" })
    }
}

fn parse_output(command: &[&str], output: &Output) -> Result<Value, RunnerError> {
    let stdout = String::from_utf8_lossy(&output.stdout);
    ensure!(
        output.status.success(),
        CommandSnafu {
            command: format!("chicoryctl {}", command.join(" ")),
            status: output.status,
            output: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    );
    Ok(serde_json::from_str(&stdout).unwrap_or(Value::Null))
}
