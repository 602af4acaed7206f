//! Draining of one backend server.

use chicory_table::{ServerOverride, TableChange};
use chicory_types::Revision;

use super::{EditOptions, Editor, read_table};
use crate::CtlError;

/// Weight of a backend server that gets no new work.
const DRAINED_WEIGHT: u32 = 0;

/// Drains a backend server, or gives it back the weight of its service; returns the revision.
///
/// # Errors
///
/// [`CtlError`] if the edit isn't accepted or its outcome isn't known.
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
