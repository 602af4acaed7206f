//! Faults of a table in CSV format.

use snafu::Snafu;

use crate::TableFault;

/// A fault of a table in CSV format. A table with a fault is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CsvFault {
    /// The first line doesn't consist of the names of the columns.
    #[snafu(display("line 1: the columns must be {expected}"))]
    ColumnNames {
        /// Names of the columns, in order.
        expected: String,
    },
    /// A line isn't valid CSV, or has the wrong number of cells.
    #[snafu(display("line {line}: {problem}"))]
    Line {
        /// Line number, from 1.
        line: u64,
        /// What is wrong.
        problem: String,
    },
    /// A cell has a value that isn't allowed.
    #[snafu(display("line {line}, column {column}: got {value:?}, allowed: {allowed}"))]
    Cell {
        /// Line number, from 1.
        line: u64,
        /// Name of the column.
        column: &'static str,
        /// Value of the cell.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// Two lines name the same service and backend server.
    #[snafu(display("line {line}: service {service}, server {server} is listed a second time"))]
    DuplicateRow {
        /// Line number, from 1.
        line: u64,
        /// The service.
        service: String,
        /// The backend server, or `*`.
        server: String,
    },
    /// The lines are valid by themselves, but the table that they form is not.
    #[snafu(display("{fault}"))]
    Rows {
        /// What is wrong.
        fault: TableFault,
    },
}
