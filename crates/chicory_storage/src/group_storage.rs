//! Log, snapshots and hard state of one group.

use chicory_consensus::{Entry, HardState, RestoredState, Snapshot, SnapshotHeader};
use chicory_types::{Incarnation, LogIndex};
use chicory_wire::proto::storage::{GroupMember, LogBatch, SegmentHeader};

use crate::files::{Files, join};
use crate::record::write_record;
use crate::replay::Replay;
use crate::segment_reader::{Segment, read_segments, sequences};
use crate::snapshot_store::{read_snapshot, superseded, write_snapshot};
use crate::storage_error::{
    Damage, DamagedSnafu, FailedSnafu, InvalidGroupNameSnafu, StorageError,
};
use crate::{Disk, FolderIdentity};

/// Size from which on a new log segment is begun.
pub const SEGMENT_BYTES: u64 = 1024 * 1024;
const MEMBER_FILE: &str = "member";

/// Log, snapshots and hard state of one group in its own directory of the data folder.
///
/// A group that is formed anew is another group: its epoch belongs in its name. Each call of
/// [`persist`](Self::persist) writes one record, which is found whole or not at all. After a failed
/// write nothing more is written, since nobody knows what is durable then.
///
/// Damage to what had been durable is not an error of [`open`](Self::open): the group starts over
/// with the incarnation of this start, as a learner, and [`damage`](Self::damage) tells what was found.
pub struct GroupStorage {
    files: Files,
    group: String,
    start_incarnation: Incarnation,
    member: GroupMember,
    hard_state: HardState,
    snapshot: Option<SnapshotHeader>,
    segments: Vec<Segment>,
    segment_bytes: u64,
    is_failed: bool,
    damage: Option<StorageError>,
    cleanup_failures: u64,
}

impl GroupStorage {
    /// Opens the storage of a group, which is created if it is new.
    ///
    /// The incarnation in `identity` is greater than that of any former start, as that of
    /// [`DataFolder::identity`](crate::DataFolder::identity) is.
    ///
    /// # Errors
    ///
    /// Failures of the disk, and a name that is no plain file name.
    pub fn open(
        disk: Box<dyn Disk>,
        identity: &FolderIdentity,
        group: &str,
    ) -> Result<(Self, RestoredState), StorageError> {
        if !is_plain_name(group) {
            return InvalidGroupNameSnafu { group }.fail();
        }
        let mut storage = Self {
            files: Files::new(disk),
            group: group.to_owned(),
            start_incarnation: identity.incarnation,
            member: GroupMember::default(),
            hard_state: HardState::default(),
            snapshot: None,
            segments: Vec::new(),
            segment_bytes: SEGMENT_BYTES,
            is_failed: false,
            damage: None,
            cleanup_failures: 0,
        };
        storage.files.create_dir(group)?;
        storage.files.sync_dir("")?;
        let restored = storage.restore()?;
        Ok((storage, restored))
    }

    /// Sets the size from which on a new log segment is begun.
    pub fn set_segment_bytes(&mut self, segment_bytes: u64) {
        self.segment_bytes = segment_bytes;
    }

    /// The incarnation that these files belong to; the replica has to run as this member.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.member.incarnation
    }

    /// The damage that made the group start over when it was opened.
    #[must_use]
    pub fn damage(&self) -> Option<&StorageError> {
        self.damage.as_ref()
    }

    /// Number of files that could not be removed; they are tried again with the next snapshot.
    #[must_use]
    pub fn cleanup_failures(&self) -> u64 {
        self.cleanup_failures
    }

    /// Makes state durable, in the order of a
    /// [`Persist`](chicory_consensus::ReplicaEffect::Persist) effect; it is when this returns.
    ///
    /// # Errors
    ///
    /// Failures of the disk, and [`StorageError::Failed`] for every call after one.
    pub fn persist(
        &mut self,
        hard_state: Option<HardState>,
        truncate_from: Option<LogIndex>,
        entries: Vec<Entry>,
        snapshot: Option<Snapshot>,
    ) -> Result<(), StorageError> {
        if self.is_failed {
            return FailedSnafu.fail();
        }
        let written = self.write(hard_state, truncate_from, entries, snapshot);
        self.is_failed = written.is_err();
        written
    }

    fn write(
        &mut self,
        hard_state: Option<HardState>,
        truncate_from: Option<LogIndex>,
        mut entries: Vec<Entry>,
        snapshot: Option<Snapshot>,
    ) -> Result<(), StorageError> {
        let header = snapshot.as_ref().map(Snapshot::header);
        if let Some(snapshot) = snapshot {
            entries.retain(|entry| entry.index > snapshot.last_index);
            write_snapshot(&mut self.files, &self.group, snapshot)?;
        }
        let greatest_index = entries.last().map_or(0, |entry| entry.index);
        let batch = LogBatch {
            hard_state: hard_state.clone().map(Into::into),
            truncate_from,
            snapshot: header.clone().map(Into::into),
            entries: entries.into_iter().map(Into::into).collect(),
        };
        self.write_batch(&batch, greatest_index)?;
        self.hard_state = hard_state.unwrap_or(std::mem::take(&mut self.hard_state));
        if header.is_some() {
            self.snapshot = header;
            self.remove_superseded();
        }
        Ok(())
    }

    fn write_batch(
        &mut self,
        batch: &LogBatch,
        greatest_index: LogIndex,
    ) -> Result<(), StorageError> {
        let mut data = Vec::new();
        let last = self.segments.last().cloned();
        let is_full = last
            .as_ref()
            .is_none_or(|s| s.size_bytes >= self.segment_bytes);
        if is_full {
            let sequence = last.map_or(1, |s| s.sequence + 1);
            self.begin_segment(sequence, &mut data);
        }
        write_record(&mut data, batch);
        self.append_to_segment(&data, greatest_index)?;
        if is_full {
            self.files.sync_dir(&self.group)?;
        }
        Ok(())
    }

    fn begin_segment(&mut self, sequence: u64, data: &mut Vec<u8>) {
        let header = SegmentHeader {
            sequence,
            hard_state: Some(self.hard_state.clone().into()),
            snapshot: self.snapshot.clone().map(Into::into),
        };
        write_record(data, &header);
        self.segments.push(Segment {
            sequence,
            size_bytes: 0,
            greatest_index: 0,
        });
    }

    fn append_to_segment(
        &mut self,
        data: &[u8],
        greatest_index: LogIndex,
    ) -> Result<(), StorageError> {
        let Some(segment) = self.segments.last_mut() else {
            return FailedSnafu.fail();
        };
        let path = segment.path(&self.group);
        self.files.append(&path, data)?;
        self.files.sync(&path)?;
        segment.size_bytes += data.len() as u64;
        segment.greatest_index = segment.greatest_index.max(greatest_index);
        Ok(())
    }

    /// Removes files that the snapshot stands for; the current segment stays.
    fn remove_superseded(&mut self) {
        let covered = self.snapshot.as_ref().map_or(0, |s| s.last_index);
        let last = self.segments.len().saturating_sub(1);
        let kept = self.segments.iter().take(last);
        let count = kept.take_while(|s| s.greatest_index <= covered).count();
        for segment in self.segments.drain(..count).collect::<Vec<_>>() {
            let path = segment.path(&self.group);
            self.clean_up(&path);
        }
        let names = self.files.list(&self.group).unwrap_or_default();
        let last_index = self.snapshot.as_ref().map(|s| s.last_index);
        for name in superseded(&names, last_index) {
            let path = join(&self.group, &name);
            self.clean_up(&path);
        }
    }

    fn clean_up(&mut self, path: &str) {
        let removed = self.files.remove(path);
        self.cleanup_failures += u64::from(removed.is_err());
    }

    fn restore(&mut self) -> Result<RestoredState, StorageError> {
        match self.read() {
            Ok(restored) => Ok(restored),
            Err(error @ StorageError::Damaged { .. }) => {
                self.damage = Some(error);
                self.start_over()
            }
            Err(error) => Err(error),
        }
    }

    fn read(&mut self) -> Result<RestoredState, StorageError> {
        let member_path = join(&self.group, MEMBER_FILE);
        let names = self.files.list(&self.group)?;
        match self.files.load::<GroupMember>(&member_path)? {
            None => return self.create(&names),
            Some(member) => self.member = member,
        }
        if self.member.is_resetting {
            return self.start_over();
        }
        if sequences(&names).is_empty() {
            return missing(&member_path);
        }
        self.replay(&names)
    }

    fn replay(&mut self, names: &[String]) -> Result<RestoredState, StorageError> {
        let mut replay = Replay::default();
        self.segments = read_segments(&mut self.files, &self.group, names, &mut replay)?;
        if let Err(damage) = replay.finish() {
            let path = self.group.clone();
            return DamagedSnafu {
                path,
                offset_bytes: 0_u64,
                damage,
            }
            .fail();
        }
        self.hard_state = replay.hard_state.clone();
        self.snapshot = replay.snapshot.clone();
        let header = replay.snapshot;
        let snapshot = header.map(|h| read_snapshot(&self.files, &self.group, h));
        let snapshot = snapshot.transpose()?;
        Ok(RestoredState {
            may_vote: !self.member.is_rejoining || snapshot.is_some(),
            hard_state: replay.hard_state,
            snapshot,
            entries: replay.entries,
        })
    }

    /// Creates the files of a new group. The first segment is durable before the member file, so
    /// that a member file without a segment shows a loss.
    fn create(&mut self, names: &[String]) -> Result<RestoredState, StorageError> {
        let has_batches = self.has_batches(names)?;
        if has_batches {
            return missing(&join(&self.group, MEMBER_FILE));
        }
        self.member.incarnation = self.start_incarnation;
        self.remove_state(names)?;
        self.write_first_segment()?;
        self.write_member()?;
        Ok(RestoredState::fresh())
    }

    /// Whether anything was ever made durable in the segments.
    fn has_batches(&mut self, names: &[String]) -> Result<bool, StorageError> {
        match sequences(names).len() {
            0 => return Ok(false),
            1 => {}
            _ => return Ok(true),
        }
        let mut replay = Replay::default();
        let read = read_segments(&mut self.files, &self.group, names, &mut replay);
        match read {
            Ok(_) => Ok(replay.hard_state != HardState::default()
                || replay.snapshot.is_some()
                || !replay.entries.is_empty()),
            Err(StorageError::Damaged {
                damage: Damage::Truncated,
                ..
            }) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Starts over as the next incarnation. Each step can be interrupted: the member file says that
    /// the removal is to be finished.
    fn start_over(&mut self) -> Result<RestoredState, StorageError> {
        if !self.member.is_resetting {
            let next = self.member.incarnation + 1;
            self.member.incarnation = self.start_incarnation.max(next);
            self.member.is_resetting = true;
            self.member.is_rejoining = true;
            self.write_member()?;
        }
        let names = self.files.list(&self.group)?;
        self.remove_state(&names)?;
        self.hard_state = HardState::default();
        self.snapshot = None;
        self.write_first_segment()?;
        self.member.is_resetting = false;
        self.write_member()?;
        Ok(RestoredState {
            may_vote: false,
            ..RestoredState::fresh()
        })
    }

    fn remove_state(&mut self, names: &[String]) -> Result<(), StorageError> {
        self.segments.clear();
        let state = names.iter().filter(|name| *name != MEMBER_FILE);
        for name in state {
            self.files.remove(&join(&self.group, name))?;
        }
        self.files.sync_dir(&self.group)
    }

    fn write_first_segment(&mut self) -> Result<(), StorageError> {
        let mut data = Vec::new();
        self.begin_segment(1, &mut data);
        self.append_to_segment(&data, 0)?;
        self.files.sync_dir(&self.group)
    }

    fn write_member(&mut self) -> Result<(), StorageError> {
        self.files.replace(&self.group, MEMBER_FILE, &self.member)
    }
}

fn missing<T>(path: &str) -> Result<T, StorageError> {
    DamagedSnafu {
        path,
        offset_bytes: 0_u64,
        damage: Damage::Missing,
    }
    .fail()
}

fn is_plain_name(name: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    !name.is_empty() && name.chars().all(is_plain)
}
