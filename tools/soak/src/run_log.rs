//! The log of a run.

use std::fs::File;
use std::path::Path;

use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard};
use snafu::ResultExt;

use crate::soak_error::{FileSnafu, SoakError};

/// Name of the log of the run, next to those of the processes.
const FILE_NAME: &str = "soak.log";
/// Number of lines that may wait to be written. Further ones are dropped and counted, so that a slow
/// disk doesn't hold callers and proxies up.
const QUEUE_LINES: usize = 1024;

/// Creates the log of a run in the folder of the logs of its processes. Its lines have the same
/// format and clock as theirs. The log is complete once the returned guard is dropped.
///
/// # Errors
///
/// [`SoakError`] if the file can't be created.
pub(crate) fn new_run_log(folder: &Path) -> Result<(Logger, AsyncGuard), SoakError> {
    let path = folder.join(FILE_NAME);
    let file = File::create(&path).context(FileSnafu { path })?;
    let drain = slog_json::Json::default(file).fuse();
    let queue = Async::new(drain).chan_size(QUEUE_LINES);
    let (queue, guard) = queue.build_with_guard();
    // What is logged after the end of the run is lost.
    let log = Logger::root(queue.ignore_res(), o!("program" => "soak"));
    Ok((log, guard))
}
