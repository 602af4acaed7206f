//! The log of a run.

use std::fs::File;
use std::path::Path;
use std::sync::Mutex;

use slog::{Drain, Logger, o};
use snafu::ResultExt;

use crate::soak_error::{FileSnafu, SoakError};

/// Name of the log of the run, next to those of the processes.
const FILE_NAME: &str = "soak.log";

/// Creates the log of a run in the folder of the logs of its processes. Its lines have the same
/// format and clock as theirs.
///
/// # Errors
///
/// [`SoakError`] if the file can't be created.
pub(crate) fn new_run_log(folder: &Path) -> Result<Logger, SoakError> {
    let path = folder.join(FILE_NAME);
    let file = File::create(&path).context(FileSnafu { path })?;
    let drain = Mutex::new(slog_json::Json::default(file)).fuse();
    Ok(Logger::root(drain, o!("program" => "soak")))
}
