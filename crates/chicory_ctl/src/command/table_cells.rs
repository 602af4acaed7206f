//! Changes of single cells of the table.

use chicory_table::{TableChange, TableContent, WHOLE_SERVICE, to_csv};
use snafu::OptionExt;

use super::table_text::{cells_to_csv, csv_cells, parse_table};
use crate::CtlError;
use crate::ctl_error::{MalformedChangeSnafu, NoSuchEntrySnafu};

/// The place that error messages name for invalid cells.
const ORIGIN: &str = "the row";

/// The name of one row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowName<'a> {
    /// The service.
    pub service: &'a str,
    /// The backend server, or `*` for the row of the whole service.
    pub server: &'a str,
}

impl RowName<'_> {
    fn matches(self, row: &[String]) -> bool {
        row.first().is_some_and(|cell| cell == self.service)
            && row.get(1).is_some_and(|cell| cell == self.server)
    }

    /// Returns whether this is the name of the row of a whole service.
    #[must_use]
    pub fn is_whole_service(self) -> bool {
        self.server == WHOLE_SERVICE
    }
}

/// Sets cells of one row, given as `COLUMN=VALUE`, and returns the changed table. The row is added
/// if it doesn't exist.
///
/// # Errors
///
/// Returns a [`CtlError`] for an unknown column, a malformed change, or a value that isn't allowed.
pub fn set_cells(
    content: &TableContent,
    name: RowName<'_>,
    changes: &[String],
) -> Result<TableContent, CtlError> {
    let mut rows = csv_cells(&to_csv(content));
    let headings = rows.first().cloned().unwrap_or_default();
    let index = rows.iter().position(|row| name.matches(row));
    let index = index.unwrap_or_else(|| {
        rows.push(new_row(name, headings.len()));
        rows.len() - 1
    });
    for change in changes {
        let (column, value) = change
            .split_once('=')
            .context(MalformedChangeSnafu { text: change })?;
        let column = headings.iter().position(|heading| heading == column);
        let column = column.with_context(|| NoSuchEntrySnafu {
            what: format!(
                "column of {change}; the columns are {}",
                headings.join(", ")
            ),
        })?;
        value.clone_into(&mut rows[index][column]);
    }
    parse_table(&cells_to_csv(&rows), ORIGIN)
}

/// Returns the change that puts the row `name` of `content` into the table of the cluster.
///
/// # Errors
///
/// Returns [`CtlError::NoSuchEntry`] if `content` has no such row.
pub fn put_row(mut content: TableContent, name: RowName<'_>) -> Result<TableChange, CtlError> {
    let service = name.service.to_owned();
    let change = if name.is_whole_service() {
        let policy = content.services.remove(name.service);
        policy.map(|policy| TableChange::PutService { service, policy })
    } else {
        let rows = content.overrides.get(name.service);
        let values = rows.and_then(|rows| rows.get(name.server));
        values.map(|values| TableChange::PutOverride {
            service,
            server: name.server.to_owned(),
            values: *values,
        })
    };
    change.with_context(|| NoSuchEntrySnafu {
        what: format!("row {} {}", name.service, name.server),
    })
}

fn new_row(name: RowName<'_>, len: usize) -> Vec<String> {
    let mut row = vec![name.service.to_owned(), name.server.to_owned()];
    row.resize(len, String::new());
    row
}
