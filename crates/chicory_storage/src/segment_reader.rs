//! Reading of the log segments of a group.

use chicory_types::LogIndex;
use chicory_wire::proto::storage::{LogBatch, SegmentHeader};
use prost::Message;

use crate::files::{Files, join};
use crate::record::{FileEnd, Records, read_records};
use crate::replay::Replay;
use crate::storage_error::{Damage, DamagedSnafu, StorageError};

const SEGMENT_PREFIX: &str = "log-";

/// A log segment, one file of a group's log.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) sequence: u64,
    pub(crate) size_bytes: u64,
    /// Greatest index of an entry in the segment, or 0 if it has no entries.
    pub(crate) greatest_index: LogIndex,
}

impl Segment {
    pub(crate) fn path(&self, group: &str) -> String {
        segment_path(group, self.sequence)
    }
}

fn segment_path(group: &str, sequence: u64) -> String {
    join(group, &format!("{SEGMENT_PREFIX}{sequence:020}"))
}

/// Returns the sequence numbers of the segments among the names of a group's files. They ascend if
/// the names do.
pub(crate) fn sequences(names: &[String]) -> Vec<u64> {
    let numbers = names
        .iter()
        .filter_map(|name| name.strip_prefix(SEGMENT_PREFIX));
    numbers.filter_map(|number| number.parse().ok()).collect()
}

/// The segments of a group.
#[derive(Debug, Default)]
pub(crate) struct Segments {
    /// The segments that make up the log.
    pub(crate) current: Vec<Segment>,
    /// Segments that a snapshot has superseded, and whose removal a crash has undone.
    pub(crate) superseded: Vec<Segment>,
}

/// Reads all segments and truncates a torn end of the last one.
///
/// After a crash, removals that were not synced may be undone, each independently of the others. A gap
/// in the segments is therefore no damage if a snapshot that was recorded behind it covers what is
/// before it.
pub(crate) fn read_segments(
    files: &mut Files,
    group: &str,
    names: &[String],
    replay: &mut Replay,
) -> Result<Segments, StorageError> {
    let sequences = sequences(names);
    let mut runs: Vec<&[u64]> = sequences.chunk_by(|a, b| a + 1 == *b).collect();
    let Some(last_run) = runs.pop() else {
        return Ok(Segments::default());
    };
    let mut superseded = Vec::new();
    for run in runs {
        let read = read_run(files, group, run, false, &mut Replay::default())?;
        superseded.extend(read);
    }
    let current = read_run(files, group, last_run, true, replay)?;
    let greatest_index = superseded.iter().map(|segment| segment.greatest_index);
    let is_covered = greatest_index.max().is_none_or(|greatest_index| {
        let recorded_index = replay.recorded_snapshot_index;
        recorded_index.is_some_and(|recorded_index| recorded_index >= greatest_index)
    });
    match last_run.first() {
        Some(first) if !is_covered => damaged(&segment_path(group, *first), 0, Damage::Gap),
        _ => Ok(Segments {
            current,
            superseded,
        }),
    }
}

/// Reads segments that follow each other; `is_end` states whether they are the last ones of the log.
fn read_run(
    files: &mut Files,
    group: &str,
    run: &[u64],
    is_end: bool,
    replay: &mut Replay,
) -> Result<Vec<Segment>, StorageError> {
    let mut segments = Vec::new();
    for (position, sequence) in run.iter().enumerate() {
        let is_last = is_end && position + 1 == run.len();
        let is_first = position == 0;
        let segment = read_segment(files, group, *sequence, is_last, is_first, replay)?;
        segments.extend(segment);
    }
    Ok(segments)
}

/// Reads one segment.
///
/// Removes the file and returns `None` if the segment was interrupted before its first record was
/// complete.
fn read_segment(
    files: &mut Files,
    group: &str,
    sequence: u64,
    is_last: bool,
    is_first: bool,
    replay: &mut Replay,
) -> Result<Option<Segment>, StorageError> {
    let path = segment_path(group, sequence);
    let data = files.read(&path)?;
    let records = read_records(&data);
    let complete_bytes = complete_bytes(&path, &records, data.len(), is_last)?;
    if records.bodies.is_empty() {
        if is_first || !is_last {
            return damaged(&path, 0, Damage::Truncated);
        }
        files.remove(&path)?;
        files.sync_dir(group)?;
        return Ok(None);
    }
    let greatest_index = replay_records(&path, sequence, &records, replay)?;
    if complete_bytes < data.len() {
        files.truncate(&path, complete_bytes as u64)?;
        files.sync(&path)?;
    }
    Ok(Some(Segment {
        sequence,
        size_bytes: complete_bytes as u64,
        greatest_index,
    }))
}

fn complete_bytes(
    path: &str,
    records: &Records<'_>,
    len_bytes: usize,
    is_last: bool,
) -> Result<usize, StorageError> {
    match records.end {
        FileEnd::Clean => Ok(len_bytes),
        FileEnd::Torn { offset_bytes } if is_last => Ok(offset_bytes),
        FileEnd::Torn { offset_bytes } => damaged(path, offset_bytes, Damage::Truncated),
        FileEnd::Corrupt { offset_bytes } => damaged(path, offset_bytes, Damage::Checksum),
    }
}

fn replay_records(
    path: &str,
    sequence: u64,
    records: &Records<'_>,
    replay: &mut Replay,
) -> Result<LogIndex, StorageError> {
    let mut greatest_index = 0;
    for (position, (offset_bytes, body)) in records.bodies.iter().enumerate() {
        let applied = if position == 0 {
            replay_header(sequence, body, replay).map(|()| 0)
        } else {
            replay_batch(body, replay)
        };
        match applied {
            Ok(index) => greatest_index = greatest_index.max(index),
            Err(damage) => return damaged(path, *offset_bytes, damage),
        }
    }
    Ok(greatest_index)
}

fn replay_header(sequence: u64, body: &[u8], replay: &mut Replay) -> Result<(), Damage> {
    let header = SegmentHeader::decode(body).map_err(|_| Damage::Content)?;
    if header.sequence != sequence {
        return Err(Damage::Content);
    }
    replay.apply_header(header)
}

fn replay_batch(body: &[u8], replay: &mut Replay) -> Result<LogIndex, Damage> {
    let batch = LogBatch::decode(body).map_err(|_| Damage::Content)?;
    replay.apply_batch(batch)
}

fn damaged<T>(path: &str, offset_bytes: usize, damage: Damage) -> Result<T, StorageError> {
    DamagedSnafu {
        path,
        offset_bytes: offset_bytes as u64,
        damage,
    }
    .fail()
}
