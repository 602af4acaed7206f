//! A process that the runner started.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use snafu::ResultExt;
use tokio::process::{Child, Command};

use crate::RunnerError;
use crate::runner_error::{EndedSnafu, FileSnafu, ProcessSnafu, TimedOutSnafu};

/// Length in bytes of the last part of a log that an error contains.
const LOG_TAIL_BYTES: usize = 2_000;
/// Time limit for a process to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// A signal to a process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Ends it at once.
    Kill,
    /// Asks it to stop.
    Terminate,
    /// Pauses it.
    Pause,
    /// Resumes it.
    Resume,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Terminate => "-TERM",
            Self::Pause => "-STOP",
            Self::Resume => "-CONT",
        }
    }
}

/// A process that the runner started. It is killed when this value is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    output: PathBuf,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts `program`, with its standard output and its log in files in `folder`.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if the program can't be started or a file can't be opened.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        folder: &Path,
    ) -> Result<Self, RunnerError> {
        let output = folder.join(format!("{name}.out"));
        let log = folder.join(format!("{name}.log"));
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(create(&output)?)
            .stderr(append(&log)?)
            .kill_on_drop(true)
            .spawn()
            .context(ProcessSnafu { name })?;
        Ok(Self {
            name: name.to_owned(),
            child,
            output,
            log,
        })
    }

    /// Returns what the process has printed so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Checks that the process is still running.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Ended`] with the last part of its log if it has ended.
    pub fn check_alive(&mut self) -> Result<(), RunnerError> {
        let name = &self.name;
        let status = self.child.try_wait().context(ProcessSnafu { name })?;
        match status {
            Some(status) => EndedSnafu {
                name,
                status,
                log: self.log_tail(),
            }
            .fail(),
            None => Ok(()),
        }
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Process`] if the process has ended.
    pub async fn signal(&self, signal: Signal) -> Result<(), RunnerError> {
        let name = &self.name;
        let Some(pid) = self.child.id() else {
            return Err(std::io::ErrorKind::NotFound.into()).context(ProcessSnafu { name });
        };
        let mut command = Command::new("kill");
        command.arg(signal.flag()).arg(pid.to_string());
        command.status().await.context(ProcessSnafu { name })?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Process`] if it can't be killed.
    pub async fn kill(mut self) -> Result<(), RunnerError> {
        let name = self.name.clone();
        self.child.kill().await.context(ProcessSnafu { name })
    }

    /// Sends the signal to stop and waits for the end of the process.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it doesn't stop in time, or its exit code isn't 0.
    pub async fn stop(self) -> Result<(), RunnerError> {
        self.signal(Signal::Terminate).await?;
        self.wait_stopped().await
    }

    /// Waits for the end of a process that was sent the signal to stop.
    ///
    /// # Errors
    ///
    /// [`RunnerError`] if it doesn't stop in time, or its exit code isn't 0.
    pub async fn wait_stopped(mut self) -> Result<(), RunnerError> {
        let ended = tokio::time::timeout(STOP_TIMEOUT, self.child.wait()).await;
        let Ok(ended) = ended else {
            return TimedOutSnafu {
                what: format!("the planned stop of {}", self.name),
                timeout: STOP_TIMEOUT,
                last: self.log_tail(),
            }
            .fail();
        };
        let name = self.name.clone();
        let status = ended.context(ProcessSnafu { name: &name })?;
        if status.success() {
            return Ok(());
        }
        EndedSnafu {
            name,
            status,
            log: self.log_tail(),
        }
        .fail()
    }

    fn log_tail(&self) -> String {
        let log = std::fs::read(&self.log).unwrap_or_default();
        let start = log.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&log[start..]).into_owned()
    }
}

fn create(path: &Path) -> Result<File, RunnerError> {
    File::create(path).context(FileSnafu { path })
}

fn append(path: &Path) -> Result<File, RunnerError> {
    let file = File::options().create(true).append(true).open(path);
    file.context(FileSnafu { path })
}
