//! The process of one VM.

use std::fs::OpenOptions;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use snafu::ResultExt;
use tokio::process::{Child, Command};

use crate::process_usage::ProcessUsage;
use crate::soak_error::{FileSnafu, ProcessSnafu, SoakError};

/// Time limit for a process to end after the signal to stop; slightly longer than the grace period
/// of the process.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// The process of one VM; it is killed when this is dropped.
#[derive(Debug)]
pub(crate) struct VmProcess {
    name: String,
    log: PathBuf,
    /// Length of the log when the process was started.
    log_bytes: u64,
    child: Child,
}

impl VmProcess {
    /// Starts a program that appends its output to `log`.
    pub(crate) fn start(
        name: &str,
        program: &Path,
        settings: &Path,
        listen_address: IpAddr,
        log: &PathBuf,
    ) -> Result<Self, SoakError> {
        let path = log.clone();
        let options = OpenOptions::new().create(true).append(true).open(log);
        let output = options.context(FileSnafu { path })?;
        let log_bytes = output.metadata().map_or(0, |metadata| metadata.len());
        let errors = output.try_clone().context(FileSnafu { path: log })?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .arg("--listen-ip")
            .arg(listen_address.to_string())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .context(ProcessSnafu { name })?;
        Ok(Self {
            name: name.to_owned(),
            log: log.clone(),
            log_bytes,
            child,
        })
    }

    /// Sends a signal. Does nothing if the process has ended.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), SoakError> {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        let Some(pid) = id.and_then(Pid::from_raw) else {
            return Ok(());
        };
        let name = &self.name;
        kill_process(pid, signal)
            .map_err(std::io::Error::from)
            .context(ProcessSnafu { name })
    }

    /// Returns whether the process has written any output. By then it has installed its signal
    /// handlers; before that a signal ends the process, whatever the program does later.
    pub(crate) fn has_written_output(&self) -> bool {
        let metadata = std::fs::metadata(&self.log);
        metadata.is_ok_and(|metadata| metadata.len() > self.log_bytes)
    }

    /// Kills the process.
    pub(crate) async fn kill(&mut self) -> Result<(), SoakError> {
        let name = &self.name;
        self.child.kill().await.context(ProcessSnafu { name })
    }

    /// Waits for the end of a process that was sent the signal to stop. Returns `false` if it takes
    /// too long.
    pub(crate) async fn stopped(&mut self) -> bool {
        let ended = tokio::time::timeout(STOP_TIMEOUT, self.child.wait()).await;
        matches!(ended, Ok(Ok(_)))
    }

    /// Returns the process id. `None` once it has ended.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns what the process has used of the machine. `None` once it has ended.
    pub(crate) fn usage(&self) -> Option<ProcessUsage> {
        ProcessUsage::of_process(self.id()?)
    }

    /// Returns whether the process has exited.
    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}
