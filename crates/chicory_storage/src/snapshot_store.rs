//! Snapshot files of a group.

use chicory_consensus::{Snapshot, SnapshotHeader};
use chicory_types::LogIndex;
use chicory_wire::proto::storage::SnapshotFile;
use snafu::OptionExt;

use crate::files::{Files, join};
use crate::storage_error::{Damage, DamagedSnafu, StorageError};

const PREFIX: &str = "snapshot-";

fn name_of(last_index: LogIndex) -> String {
    format!("{PREFIX}{last_index:020}")
}

/// Writes a snapshot file; it counts once a record of the log names it.
pub(crate) fn write_snapshot(
    files: &mut Files,
    group: &str,
    snapshot: Snapshot,
) -> Result<(), StorageError> {
    let header = snapshot.header();
    let name = name_of(header.last_index);
    let message = SnapshotFile {
        header: Some(header.into()),
        data: snapshot.data,
    };
    files.replace(group, &name, &message)
}

/// Reads the snapshot that the log names.
pub(crate) fn read_snapshot(
    files: &Files,
    group: &str,
    header: SnapshotHeader,
) -> Result<Snapshot, StorageError> {
    let path = join(group, &name_of(header.last_index));
    let damaged = |damage| DamagedSnafu {
        path: path.clone(),
        offset_bytes: 0_u64,
        damage,
    };
    let stored = files.load::<SnapshotFile>(&path)?;
    let stored = stored.context(damaged(Damage::Missing))?;
    let stored_header = stored.header.and_then(|h| SnapshotHeader::try_from(h).ok());
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

/// Names of snapshot files other than that of `last_index`, and of unfinished ones.
pub(crate) fn superseded(names: &[String], last_index: Option<LogIndex>) -> Vec<String> {
    let current = last_index.map(name_of);
    let snapshots = names.iter().filter(|name| name.starts_with(PREFIX));
    snapshots
        .filter(|name| Some(*name) != current.as_ref())
        .cloned()
        .collect()
}
