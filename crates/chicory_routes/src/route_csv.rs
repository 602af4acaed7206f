//! Route tables as CSV.

use snafu::{ResultExt, ensure};

use crate::route_csv_fault::{CellSnafu, LineSnafu, TableSnafu};
use crate::route_csv_row::{RouteCsvRow, RowKind};
use crate::{RouteCsvFault, RouteTable, RouteTableVersion};

/// Writes a table as CSV: routes, then services, then limits if it states any.
///
/// The version is not part of the CSV.
///
/// # Errors
///
/// [`RouteCsvFault`] if a cell can't be written.
///
/// # Examples
///
/// ```
/// use chicory_routes::{RouteTable, parse_route_csv, route_csv};
///
/// let table = RouteTable { version: 4, ..RouteTable::default() };
/// assert_eq!(parse_route_csv(4, &route_csv(&table)?)?, table);
/// # Ok::<(), chicory_routes::RouteCsvFault>(())
/// ```
pub fn route_csv(table: &RouteTable) -> Result<String, RouteCsvFault> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let routes = table.routes.iter().map(RouteCsvRow::of_route);
    let services = table.services.iter().map(RouteCsvRow::of_service);
    let limits = table.limits.iter().map(RouteCsvRow::of_limits);
    for row in routes.chain(services).chain(limits) {
        let column = None;
        writer.serialize(row).context(LineSnafu { column })?;
    }
    let bytes = writer.into_inner().unwrap_or_default();
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Reads a table from CSV and checks it.
///
/// # Errors
///
/// The first [`RouteCsvFault`] that is found.
pub fn parse_route_csv(
    version: RouteTableVersion,
    text: &str,
) -> Result<RouteTable, RouteCsvFault> {
    let mut table = RouteTable {
        version,
        ..RouteTable::default()
    };
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let header_row = reader.headers().cloned().unwrap_or_default();
    for (index, row) in reader.deserialize::<RouteCsvRow>().enumerate() {
        let row_number = index + 1;
        let row = row.map_err(|source| {
            let column = faulty_column(&header_row, &source);
            RouteCsvFault::Line { column, source }
        })?;
        let cell_fault = |column| {
            let row = row_number;
            CellSnafu { row, column }.build()
        };
        match row.row {
            RowKind::Route => table.routes.push(row.route().map_err(cell_fault)?),
            RowKind::Service => table.services.push(row.service().map_err(cell_fault)?),
            RowKind::Limits => {
                let is_first = table.limits.is_none();
                let (second_limits_row, column) = (row_number, "row");
                ensure!(
                    is_first,
                    CellSnafu {
                        row: second_limits_row,
                        column
                    }
                );
                table.limits = Some(row.limits().map_err(cell_fault)?);
            }
        }
    }
    table.check().context(TableSnafu)?;
    Ok(table)
}

/// Returns the header of the column that a fault is in.
fn faulty_column(header_row: &csv::StringRecord, fault: &csv::Error) -> Option<String> {
    let csv::ErrorKind::Deserialize { err, .. } = fault.kind() else {
        return None;
    };
    let index = usize::try_from(err.field()?).ok()?;
    header_row.get(index).map(String::from)
}
