//! Puts the state of a group together from the records of its log.

use chicory_consensus::{Entry, HardState, SnapshotHeader};
use chicory_types::LogIndex;
use chicory_wire::ConvertError;
use chicory_wire::proto::storage::{LogBatch, SegmentHeader};

use crate::storage_error::Damage;

/// State of a group after the records read so far.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Option<SnapshotHeader>,
    pub(crate) entries: Vec<Entry>,
}

impl Replay {
    /// Takes in the first record of a segment.
    pub(crate) fn take_header(&mut self, header: SegmentHeader) -> Result<(), Damage> {
        let hard_state = header.hard_state.unwrap_or_default();
        self.hard_state = HardState::try_from(hard_state).map_err(content)?;
        self.take_snapshot(header.snapshot)
    }

    /// Takes in a further record; returns the greatest index of an entry in it.
    pub(crate) fn take_batch(&mut self, batch: LogBatch) -> Result<LogIndex, Damage> {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = HardState::try_from(hard_state).map_err(content)?;
        }
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        self.take_snapshot(batch.snapshot)?;
        let mut greatest = 0;
        for entry in batch.entries {
            let entry = Entry::try_from(entry).map_err(content)?;
            greatest = entry.index;
            self.take_entry(entry)?;
        }
        Ok(greatest)
    }

    fn take_snapshot(
        &mut self,
        header: Option<chicory_wire::proto::consensus::SnapshotHeader>,
    ) -> Result<(), Damage> {
        let Some(header) = header else {
            return Ok(());
        };
        let header = SnapshotHeader::try_from(header).map_err(content)?;
        self.entries.retain(|entry| entry.index > header.last_index);
        self.snapshot = Some(header);
        Ok(())
    }

    /// The first entry of all may follow on entries that are gone; every other one has to follow
    /// on the one before.
    fn take_entry(&mut self, entry: Entry) -> Result<(), Damage> {
        let follows = match self.entries.last() {
            Some(last) => entry.index == last.index + 1,
            None => true,
        };
        if !follows {
            return Err(Damage::Gap);
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Drops entries that the snapshot covers and checks that the rest follows on it.
    pub(crate) fn finish(&mut self) -> Result<(), Damage> {
        let covered = self.snapshot.as_ref().map_or(0, |s| s.last_index);
        self.entries.retain(|entry| entry.index > covered);
        match self.entries.first() {
            Some(first) if first.index != covered + 1 => Err(Damage::Gap),
            _ => Ok(()),
        }
    }
}

fn content(_: ConvertError) -> Damage {
    Damage::Content
}
