//! Faults of a table given as CSV.

use snafu::Snafu;

use crate::TableFault;

/// A fault of a table given as CSV; none of the table is taken over.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CsvFault {
    /// The first line doesn't name the columns.
    #[snafu(display("line 1: the columns must be {expected}"))]
    Heads {
        /// The columns, in order.
        expected: String,
    },
    /// A line isn't readable as CSV.
    #[snafu(display("line {line}: {problem}"))]
    Line {
        /// Line number, from 1.
        line: u64,
        /// What is wrong.
        problem: String,
    },
    /// A cell holds something that isn't allowed.
    #[snafu(display("line {line}, column {column}: got {value:?}, allowed: {allowed}"))]
    Cell {
        /// Line number, from 1.
        line: u64,
        /// Name of the column.
        column: &'static str,
        /// What the cell holds.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// Two lines are of the same service and backend server.
    #[snafu(display("line {line}: service {service}, server {server} stands there a second time"))]
    DuplicateRow {
        /// Line number, from 1.
        line: u64,
        /// The service.
        service: String,
        /// The backend server, or `*`.
        server: String,
    },
    /// The rows together make no valid table.
    #[snafu(display("{fault}"))]
    Rows {
        /// What is wrong.
        fault: TableFault,
    },
}
