//! Storage of the log, the snapshots and the hard state of one group.

use chicory_consensus::{Entry, HardState, RestoredState, Snapshot, SnapshotHeader};
use chicory_types::{Incarnation, LogIndex};
use chicory_wire::proto::storage::{GroupMember, LogBatch, SegmentHeader};

use crate::files::{Files, join};
use crate::record::write_record;
use crate::replay::Replay;
use crate::segment_reader::{Segment, read_segments, sequences};
use crate::snapshot_store::{read_snapshot, superseded_files, write_snapshot};
use crate::storage_error::{
    Damage, DamagedSnafu, FailedSnafu, InvalidGroupNameSnafu, StorageError,
};
use crate::{Disk, FolderIdentity};

/// Size in bytes at which a log segment is full, so that the next write starts a new segment.
pub const SEGMENT_BYTES: u64 = 1024 * 1024;
const MEMBER_FILE: &str = "member";

/// The log, the snapshots and the hard state of one group, in the group's own directory of the data
/// folder.
///
/// A group that is formed again is a different group, so the epoch of a group must be part of its
/// name. Each call of [`persist`](Self::persist) writes one record, which is found either complete
/// or not at all when the storage is opened again. After a failed write nothing more is written,
/// since it is unknown what is durable.
///
/// Damage to state that was durable is not an error of [`open`](Self::open). Instead, the group is
/// reset to an empty state with the incarnation of this start and restarts as a learner;
/// [`damage`](Self::damage) returns the damage that was found.
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
    /// Opens the storage of a group, which is created if it doesn't exist.
    ///
    /// The incarnation in `identity` must be greater than that of any former start, as it is in
    /// [`DataFolder::identity`](crate::DataFolder::identity).
    ///
    /// # Errors
    ///
    /// Returns the error of a disk operation that fails, and [`StorageError::InvalidGroupName`] if
    /// `group` is not a plain file name.
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

    /// Sets the size at which a log segment is full, so that the next write starts a new segment.
    pub fn set_segment_bytes(&mut self, segment_bytes: u64) {
        self.segment_bytes = segment_bytes;
    }

    /// Returns the incarnation that the files belong to.
    ///
    /// The replica must run as the member with this incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.member.incarnation
    }

    /// Returns the damage that led to a reset of the group when the storage was opened, if any.
    #[must_use]
    pub fn damage(&self) -> Option<&StorageError> {
        self.damage.as_ref()
    }

    /// Returns how often removing a superseded file failed.
    ///
    /// The removal of a snapshot file is tried again with the next snapshot, that of a log segment
    /// only after the storage has been opened again.
    #[must_use]
    pub fn cleanup_failures(&self) -> u64 {
        self.cleanup_failures
    }

    /// Makes state durable, in the order of the fields of a
    /// [`Persist`](chicory_consensus::ReplicaEffect::Persist) effect.
    ///
    /// The state is durable when this returns `Ok`.
    ///
    /// # Errors
    ///
    /// Returns the error of a disk operation that fails, and [`StorageError::Failed`] for every
    /// call after that.
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
        let written = self.write_state(hard_state, truncate_from, entries, snapshot);
        self.is_failed = written.is_err();
        written
    }

    fn write_state(
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
            self.remove_superseded_files();
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
            .is_none_or(|current_segment| current_segment.size_bytes >= self.segment_bytes);
        if is_full {
            let sequence = last.map_or(1, |full_segment| full_segment.sequence + 1);
            self.start_segment(sequence, &mut data);
        }
        write_record(&mut data, batch);
        self.append_to_segment(&data, greatest_index)?;
        if is_full {
            self.files.sync_dir(&self.group)?;
        }
        Ok(())
    }

    fn start_segment(&mut self, sequence: u64, data: &mut Vec<u8>) {
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

    /// Removes the files that the snapshot supersedes; the current segment stays.
    fn remove_superseded_files(&mut self) {
        let snapshot_index = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot_header| snapshot_header.last_index);
        let last = self.segments.len().saturating_sub(1);
        let closed = self.segments.iter().take(last);
        let count = closed
            .take_while(|closed_segment| closed_segment.greatest_index <= snapshot_index)
            .count();
        let superseded = self.segments.drain(..count).collect();
        self.remove_segments(superseded);
        let names = self.files.list(&self.group).unwrap_or_default();
        let last_index = self
            .snapshot
            .as_ref()
            .map(|snapshot_header| snapshot_header.last_index);
        for name in superseded_files(&names, last_index) {
            let path = join(&self.group, &name);
            self.remove_or_count_failure(&path);
        }
    }

    fn remove_segments(&mut self, segments: Vec<Segment>) {
        for segment in segments {
            let path = segment.path(&self.group);
            self.remove_or_count_failure(&path);
        }
    }

    fn remove_or_count_failure(&mut self, path: &str) {
        let removed = self.files.remove(path);
        self.cleanup_failures += u64::from(removed.is_err());
    }

    /// Reads the stored state, and resets the group if that state is damaged.
    fn restore(&mut self) -> Result<RestoredState, StorageError> {
        match self.read_state() {
            Ok(restored) => Ok(restored),
            Err(error @ StorageError::Damaged { .. }) => {
                self.damage = Some(error);
                self.reset()
            }
            Err(error) => Err(error),
        }
    }

    fn read_state(&mut self) -> Result<RestoredState, StorageError> {
        let member_path = join(&self.group, MEMBER_FILE);
        let names = self.files.list(&self.group)?;
        match self.files.load::<GroupMember>(&member_path)? {
            None => return self.create(&names),
            Some(member) => self.member = member,
        }
        if self.member.is_resetting {
            return self.reset();
        }
        if sequences(&names).is_empty() {
            return missing_file(&member_path);
        }
        self.replay(&names)
    }

    fn replay(&mut self, names: &[String]) -> Result<RestoredState, StorageError> {
        let mut replay = Replay::default();
        let segments = read_segments(&mut self.files, &self.group, names, &mut replay)?;
        self.segments = segments.current;
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
        let snapshot =
            header.map(|logged_header| read_snapshot(&self.files, &self.group, logged_header));
        let snapshot = snapshot.transpose()?;
        self.remove_segments(segments.superseded);
        Ok(RestoredState {
            may_vote: !self.member.is_rejoining || snapshot.is_some(),
            hard_state: replay.hard_state,
            snapshot,
            entries: replay.entries,
        })
    }

    /// Creates the files of a new group.
    ///
    /// The first segment is made durable before the member file, so that a member file without a
    /// segment shows that files were lost.
    fn create(&mut self, names: &[String]) -> Result<RestoredState, StorageError> {
        let has_batches = self.has_batches(names)?;
        if has_batches {
            return missing_file(&join(&self.group, MEMBER_FILE));
        }
        self.member.incarnation = self.start_incarnation;
        self.remove_state(names)?;
        self.write_first_segment()?;
        self.write_member()?;
        Ok(RestoredState::fresh())
    }

    /// Returns whether any state was ever made durable in the segments.
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

    /// Resets the group to an empty state with the incarnation of this start, or with the one after
    /// the stored incarnation if that is greater.
    ///
    /// The reset may be interrupted at any step. The field `is_resetting` of the member file then
    /// makes the next start finish it.
    fn reset(&mut self) -> Result<RestoredState, StorageError> {
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
        self.start_segment(1, &mut data);
        self.append_to_segment(&data, 0)?;
        self.files.sync_dir(&self.group)
    }

    fn write_member(&mut self) -> Result<(), StorageError> {
        self.files.replace(&self.group, MEMBER_FILE, &self.member)
    }
}

fn missing_file<T>(path: &str) -> Result<T, StorageError> {
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
