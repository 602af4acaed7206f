//! Faults of a route table given as CSV.

use snafu::Snafu;

use crate::RouteTableFault;

/// A fault of a route table given as CSV; the whole table is rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RouteCsvFault {
    /// A line isn't readable as CSV, or a cell holds something that isn't allowed.
    #[snafu(display("{}{source}", column_text(column.as_deref())))]
    Line {
        /// The column, if the fault is in one cell.
        column: Option<String>,
        /// What is wrong, and where.
        source: csv::Error,
    },
    /// A line lacks a cell that its kind of row needs, or the cell holds something
    /// that isn't allowed.
    #[snafu(display("row {row}: column {column} is missing or not allowed"))]
    Cell {
        /// Number of the row, from 1, without the header.
        row: usize,
        /// The column.
        column: &'static str,
    },
    /// The rows do not form a valid table.
    #[snafu(display("{source}"))]
    Table {
        /// What is wrong.
        source: RouteTableFault,
    },
}

fn column_text(column: Option<&str>) -> String {
    column.map_or_else(String::new, |column| format!("column {column}: "))
}
