//! Explains the end of a request.

use std::path::PathBuf;

use snafu::{ResultExt, ensure};

use crate::ctl_error::{FileSnafu, UnknownRequestSnafu};
use crate::explain::{Explanation, LogLine};
use crate::{CtlError, Report};

/// Explains a request by log files that were collected from all VMs.
///
/// # Errors
///
/// [`CtlError`] if a file can't be read, or none has a line of the request.
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
