//! The snapshot files of a group.

use chicory_consensus::{Snapshot, SnapshotHeader};
use chicory_types::LogIndex;
use chicory_wire::proto::storage::SnapshotFile;
use snafu::OptionExt;

use crate::files::{Files, join};
use crate::storage_error::{Damage, DamagedSnafu, StorageError};

const SNAPSHOT_PREFIX: &str = "snapshot-";

fn file_name(last_index: LogIndex) -> String {
    format!("{SNAPSHOT_PREFIX}{last_index:020}")
}

/// Writes a snapshot file, which takes effect once a record of the log refers to it.
pub(crate) fn write_snapshot(
    files: &mut Files,
    group: &str,
    snapshot: Snapshot,
) -> Result<(), StorageError> {
    let header = snapshot.header();
    let name = file_name(header.last_index);
    let message = SnapshotFile {
        header: Some(header.into()),
        data: snapshot.data,
    };
    files.replace(group, &name, &message)
}

/// Reads the snapshot that the log refers to.
pub(crate) fn read_snapshot(
    files: &Files,
    group: &str,
    header: SnapshotHeader,
) -> Result<Snapshot, StorageError> {
    let path = join(group, &file_name(header.last_index));
    let damaged = |damage| DamagedSnafu {
        path: path.clone(),
        offset_bytes: 0_u64,
        damage,
    };
    let stored = files.load::<SnapshotFile>(&path)?;
    let stored = stored.context(damaged(Damage::Missing))?;
    let stored_header = stored
        .header
        .and_then(|header_message| SnapshotHeader::try_from(header_message).ok());
    if stored_header.as_ref() != Some(&header) {
        return damaged(Damage::Content).fail();
    }
    Ok(Snapshot {
        last_index: header.last_index,
        last_term: header.last_term,
        membership: header.membership,
        data: stored.data,
    })
}

/// Returns the names of all snapshot files, unfinished ones included, except for the file of the
/// snapshot up to `last_index`.
pub(crate) fn superseded_files(names: &[String], last_index: Option<LogIndex>) -> Vec<String> {
    let current = last_index.map(file_name);
    let snapshots = names
        .iter()
        .filter(|name| name.starts_with(SNAPSHOT_PREFIX));
    snapshots
        .filter(|name| Some(*name) != current.as_ref())
        .cloned()
        .collect()
}
