//! Conversion between the table and CSV text.

use chicory_table::{TableContent, parse_csv};

use crate::CtlError;
use crate::ctl_error::TableFileSnafu;

/// Parses a table from CSV text. Error messages name `origin` as the source of the text.
///
/// # Errors
///
/// Returns [`CtlError::TableFile`] with all faults in the text.
pub fn parse_table(csv: &str, origin: &str) -> Result<TableContent, CtlError> {
    parse_csv(csv).map_err(|faults| {
        let faults = faults.iter().map(ToString::to_string);
        TableFileSnafu {
            origin,
            faults: faults.collect::<Vec<String>>(),
        }
        .build()
    })
}

/// Returns the cells of a CSV text, row by row. The first row holds the headings.
#[must_use]
pub fn csv_cells(csv: &str) -> Vec<Vec<String>> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .from_reader(csv.as_bytes());
    let records = reader.records().filter_map(Result::ok);
    records
        .map(|record| record.iter().map(ToOwned::to_owned).collect())
        .collect()
}

/// Returns cells as CSV text.
#[must_use]
pub fn cells_to_csv(rows: &[Vec<String>]) -> String {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for row in rows {
        writer
            .write_record(row)
            .expect("rows of equal length can be written to memory");
    }
    let bytes = writer
        .into_inner()
        .expect("a write to memory does not fail");
    String::from_utf8(bytes).expect("cells are valid UTF-8")
}
