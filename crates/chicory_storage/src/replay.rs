//! Rebuilds the state of a group from the records of its log.

use chicory_consensus::{Entry, HardState, SnapshotHeader};
use chicory_types::LogIndex;
use chicory_wire::ConvertError;
use chicory_wire::proto::storage::{LogBatch, SegmentHeader};

use crate::storage_error::Damage;

/// The state of a group after the records applied so far.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Option<SnapshotHeader>,
    pub(crate) entries: Vec<Entry>,
    /// Last index of the newest snapshot that a batch recorded, rather than the header of a segment.
    pub(crate) recorded_snapshot_index: Option<LogIndex>,
}

impl Replay {
    /// Applies the first record of a segment, its header.
    pub(crate) fn apply_header(&mut self, header: SegmentHeader) -> Result<(), Damage> {
        let hard_state = header.hard_state.unwrap_or_default();
        self.hard_state = HardState::try_from(hard_state).map_err(content_damage)?;
        self.apply_snapshot(header.snapshot)
    }

    /// Applies a further record and returns the greatest index of an entry in it, or 0 if it has no
    /// entries.
    pub(crate) fn apply_batch(&mut self, batch: LogBatch) -> Result<LogIndex, Damage> {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = HardState::try_from(hard_state).map_err(content_damage)?;
        }
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        let has_snapshot = batch.snapshot.is_some();
        self.apply_snapshot(batch.snapshot)?;
        if has_snapshot {
            self.recorded_snapshot_index = self.snapshot.as_ref().map(|header| header.last_index);
        }
        let mut greatest = 0;
        for entry in batch.entries {
            let entry = Entry::try_from(entry).map_err(content_damage)?;
            greatest = entry.index;
            self.append_entry(entry)?;
        }
        Ok(greatest)
    }

    fn apply_snapshot(
        &mut self,
        header: Option<chicory_wire::proto::consensus::SnapshotHeader>,
    ) -> Result<(), Damage> {
        let Some(header) = header else {
            return Ok(());
        };
        let header = SnapshotHeader::try_from(header).map_err(content_damage)?;
        self.entries.retain(|entry| entry.index > header.last_index);
        self.snapshot = Some(header);
        Ok(())
    }

    /// Appends an entry.
    ///
    /// The first entry may have any index, since the entries before it may have been removed. Every
    /// other entry must directly follow the one before it.
    fn append_entry(&mut self, entry: Entry) -> Result<(), Damage> {
        let is_consecutive = match self.entries.last() {
            Some(last) => entry.index == last.index + 1,
            None => true,
        };
        if !is_consecutive {
            return Err(Damage::Gap);
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Drops the entries that the snapshot covers and checks that the first remaining entry
    /// directly follows the snapshot.
    pub(crate) fn finish(&mut self) -> Result<(), Damage> {
        let snapshot_index = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot_header| snapshot_header.last_index);
        self.entries.retain(|entry| entry.index > snapshot_index);
        match self.entries.first() {
            Some(first) if first.index != snapshot_index + 1 => Err(Damage::Gap),
            _ => Ok(()),
        }
    }
}

fn content_damage(_: ConvertError) -> Damage {
    Damage::Content
}
