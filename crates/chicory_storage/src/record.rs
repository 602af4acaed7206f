//! The framing of records: a checked length, then a checked body.
//!
//! The length has a checksum of its own. Without it a damaged length in the middle of a file would
//! look like a record that was cut short at the end, and acknowledged records would be dropped.

use prost::Message;

/// Length, checksum of the length, checksum of the body; 4 bytes each, little-endian.
const HEADER_BYTES: usize = 12;
/// Keeps a header of zeros from being valid.
const LENGTH_SALT: &[u8] = b"chicory record";

/// How a file of records ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileEnd {
    /// After a whole record.
    Clean,
    /// Within a record, as a write leaves it that was cut short.
    Torn { offset_bytes: usize },
    /// At a record that does not match its checksums.
    Corrupt { offset_bytes: usize },
}

/// The whole records of a file.
pub(crate) struct Records<'a> {
    /// Body of each record with the offset of the record.
    pub(crate) bodies: Vec<(usize, &'a [u8])>,
    pub(crate) end: FileEnd,
}

/// Appends a record to `out`.
pub(crate) fn write_record(out: &mut Vec<u8>, message: &impl Message) {
    let body = message.encode_to_vec();
    let len = u32::try_from(body.len()).unwrap_or(u32::MAX).to_le_bytes();
    out.extend(len);
    out.extend(length_checksum(len).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
}

/// Splits a file into records up to the first one that is not whole.
pub(crate) fn read_records(data: &[u8]) -> Records<'_> {
    let mut bodies = Vec::new();
    let mut offset_bytes = 0;
    loop {
        match read_one(&data[offset_bytes..]) {
            Ok(body) => {
                bodies.push((offset_bytes, body));
                offset_bytes += HEADER_BYTES + body.len();
            }
            Err(fault) => {
                let end = match fault {
                    Fault::Nothing => FileEnd::Clean,
                    Fault::Torn => FileEnd::Torn { offset_bytes },
                    Fault::Corrupt => FileEnd::Corrupt { offset_bytes },
                };
                return Records { bodies, end };
            }
        }
    }
}

enum Fault {
    Nothing,
    Torn,
    Corrupt,
}

fn read_one(rest: &[u8]) -> Result<&[u8], Fault> {
    if rest.is_empty() {
        return Err(Fault::Nothing);
    }
    // Some file systems fill with zeros what was not written.
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Err(Fault::Torn);
    }
    let len = word(rest, 0);
    if word_value(rest, 4) != length_checksum(len) {
        return Err(Fault::Corrupt);
    }
    let len_bytes = usize::try_from(u32::from_le_bytes(len)).unwrap_or(usize::MAX);
    let body = &rest[HEADER_BYTES..];
    let body = body.get(..len_bytes).ok_or(Fault::Torn)?;
    if word_value(rest, 8) != crc32fast::hash(body) {
        return Err(Fault::Corrupt);
    }
    Ok(body)
}

fn length_checksum(len: [u8; 4]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(LENGTH_SALT);
    hasher.update(&len);
    hasher.finalize()
}

fn word(data: &[u8], at: usize) -> [u8; 4] {
    let mut word = [0; 4];
    word.copy_from_slice(&data[at..at + 4]);
    word
}

fn word_value(data: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(word(data, at))
}
