//! The `explain` command, which explains why a request was answered or refused.

use std::path::PathBuf;

use snafu::{ResultExt, ensure};

use crate::ctl_error::{FileSnafu, UnknownRequestSnafu};
use crate::explain::{Explanation, LogLine};
use crate::{CtlError, Report};

/// Explains a request from log files that were collected from all VMs.
///
/// # Errors
///
/// Returns a [`CtlError`] if a file can't be read, or no file has a line of the request.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<Report, CtlError> {
    let mut lines = Vec::new();
    for path in files {
        let bytes = std::fs::read(path).context(FileSnafu { path })?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(LogLine::parse));
    }
    let explanation = Explanation::from_lines(request, &lines);
    let is_known = !explanation.summaries.is_empty();
    ensure!(is_known, UnknownRequestSnafu { request });
    Ok(explanation.report())
}
