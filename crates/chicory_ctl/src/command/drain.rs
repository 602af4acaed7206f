//! The `drain` command, which stops or resumes sending new work to a backend server.

use chicory_table::{ServerOverride, TableChange};
use chicory_types::Revision;

use super::{EditOptions, Editor, read_table};
use crate::CtlError;

/// The weight of a backend server that gets no new work.
const DRAINED_WEIGHT: u32 = 0;

/// Sets the weight of a backend server to 0, or back to the weight of its service if `is_undo`.
/// Returns the new revision of the table.
///
/// Other values that the table has for the server stay as they are. A row without any value is
/// removed.
///
/// # Errors
///
/// Returns a [`CtlError`] if the edit isn't accepted or its outcome isn't known.
pub async fn drain(
    editor: &Editor<'_>,
    service: &str,
    server: &str,
    is_undo: bool,
    options: EditOptions,
) -> Result<Revision, CtlError> {
    let (revision, content) = read_table(editor.client()).await?;
    let base_revision = options.base_revision.unwrap_or(revision);
    let rows = content.overrides.get(service);
    let current = rows.and_then(|rows| rows.get(server)).copied();
    let values = ServerOverride {
        weight: (!is_undo).then_some(DRAINED_WEIGHT),
        ..current.unwrap_or_default()
    };
    let (service, server) = (service.to_owned(), server.to_owned());
    let change = if values == ServerOverride::default() {
        TableChange::RemoveOverride { service, server }
    } else {
        TableChange::PutOverride {
            service,
            server,
            values,
        }
    };
    editor
        .submit(options.edit_id, base_revision, vec![change])
        .await
}
