//! Reads histories from files.

use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::history::{HistoryError, HistoryRecord, MalformedSnafu, OpenSnafu};

/// Reads histories and returns their records sorted by time.
///
/// # Errors
///
/// [`HistoryError`] if a file can't be read or a line isn't a valid record. A last line without a
/// line end is skipped, because its writer was killed while writing it.
pub fn read_histories(paths: &[PathBuf]) -> Result<Vec<HistoryRecord>, HistoryError> {
    let mut records = Vec::new();
    for path in paths {
        read_history(path, &mut records)?;
    }
    records.sort_by_key(|record| record.mono_ns);
    Ok(records)
}

fn read_history(path: &Path, records: &mut Vec<HistoryRecord>) -> Result<(), HistoryError> {
    let text = std::fs::read_to_string(path).context(OpenSnafu { path })?;
    let whole_lines = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
    for (index, line) in whole_lines.lines().enumerate() {
        let line_number = index + 1;
        let record = serde_json::from_str(line);
        let record = record.context(MalformedSnafu {
            path,
            line: line_number,
        })?;
        records.push(record);
    }
    Ok(())
}
