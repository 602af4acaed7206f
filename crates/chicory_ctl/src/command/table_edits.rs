//! The `table` commands that edit the table.

use std::path::Path;

use chicory_table::TableChange;
use chicory_types::Revision;
use snafu::ResultExt;

use super::table_cells::put_row;
use super::table_text::parse_table;
use super::{EditOptions, Editor, RowName, read_table, set_cells};
use crate::CtlError;
use crate::ctl_error::FileSnafu;

/// Sets cells of one row and returns the new revision of the table.
///
/// # Errors
///
/// Returns a [`CtlError`] if a cell is invalid, the edit isn't accepted or its outcome isn't known.
pub async fn set_row(
    editor: &Editor<'_>,
    service: &str,
    server: &str,
    changes: &[String],
    options: EditOptions,
) -> Result<Revision, CtlError> {
    let (revision, content) = read_table(editor.client()).await?;
    let base_revision = options.base_revision.unwrap_or(revision);
    let name = RowName { service, server };
    let content = set_cells(&content, name, changes)?;
    let change = put_row(content, name)?;
    editor
        .submit(options.edit_id, base_revision, vec![change])
        .await
}

/// Removes one row and returns the new revision of the table.
///
/// # Errors
///
/// Returns a [`CtlError`] if the edit isn't accepted or its outcome isn't known.
pub async fn remove_row(
    editor: &Editor<'_>,
    service: &str,
    server: &str,
    options: EditOptions,
) -> Result<Revision, CtlError> {
    let base_revision = base_revision(editor, &options).await?;
    let name = RowName { service, server };
    let change = if name.is_whole_service() {
        TableChange::RemoveService {
            service: service.to_owned(),
        }
    } else {
        TableChange::RemoveOverride {
            service: service.to_owned(),
            server: server.to_owned(),
        }
    };
    editor
        .submit(options.edit_id, base_revision, vec![change])
        .await
}

/// Replaces the whole table with the content of a CSV file and returns the new revision.
///
/// # Errors
///
/// Returns a [`CtlError`] if the file is invalid, the edit isn't accepted or its outcome isn't
/// known.
pub async fn import_table(
    editor: &Editor<'_>,
    path: &Path,
    options: EditOptions,
) -> Result<Revision, CtlError> {
    let csv = std::fs::read_to_string(path).context(FileSnafu { path })?;
    let content = parse_table(&csv, &path.display().to_string())?;
    let base_revision = base_revision(editor, &options).await?;
    let change = TableChange::ReplaceAll(content);
    editor
        .submit(options.edit_id, base_revision, vec![change])
        .await
}

/// Returns the base revision of an edit: the one in `options`, or else the current one.
async fn base_revision(editor: &Editor<'_>, options: &EditOptions) -> Result<Revision, CtlError> {
    match options.base_revision {
        Some(revision) => Ok(revision),
        None => Ok(read_table(editor.client()).await?.0),
    }
}
