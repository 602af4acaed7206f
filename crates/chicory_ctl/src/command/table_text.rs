//! The table as CSV text.

use chicory_table::{TableContent, parse_csv};

use crate::CtlError;
use crate::ctl_error::TableFileSnafu;

/// Parses a table; `origin` names where the text came from.
///
/// # Errors
///
/// [`CtlError::TableFile`] with all faults.
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

/// The cells of a CSV text, whose heads come first.
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

/// The CSV text of cells.
#[must_use]
pub fn cells_to_csv(rows: &[Vec<String>]) -> String {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for row in rows {
        writer
            .write_record(row)
            .expect("rows of one length can be written to memory");
    }
    let bytes = writer.into_inner().expect("memory takes all bytes");
    String::from_utf8(bytes).expect("the cells are text")
}
