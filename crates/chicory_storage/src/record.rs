//! The framing of records: a length with a checksum, then a body with a checksum.
//!
//! The length has a checksum of its own. Without it, a damaged length in the middle of a file would
//! look like a record that was cut short at the end of the file, and the acknowledged records after
//! it would be dropped.

use prost::Message;

/// Size of the header of a record: the length, the checksum of the length and the checksum of the
/// body, 4 bytes each, little-endian.
const HEADER_BYTES: usize = 12;
/// Bytes hashed before the length, so that a header of zeros isn't valid.
const LENGTH_SALT: &[u8] = b"chicory record";

/// How a file of records ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileEnd {
    /// After a complete record.
    Clean,
    /// Within a record, because a write was interrupted.
    Torn { offset_bytes: usize },
    /// At a record that doesn't match its checksums.
    Corrupt { offset_bytes: usize },
}

/// The complete records of a file.
pub(crate) struct Records<'a> {
    /// The offset of each record in the file, with its body.
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

/// Splits a file into records, up to the first one that is incomplete or corrupt.
pub(crate) fn read_records(data: &[u8]) -> Records<'_> {
    let mut bodies = Vec::new();
    let mut offset_bytes = 0;
    loop {
        match read_first_record(&data[offset_bytes..]) {
            Ok(body) => {
                bodies.push((offset_bytes, body));
                offset_bytes += HEADER_BYTES + body.len();
            }
            Err(fault) => {
                let end = match fault {
                    ReadFault::NoData => FileEnd::Clean,
                    ReadFault::Torn => FileEnd::Torn { offset_bytes },
                    ReadFault::Corrupt => FileEnd::Corrupt { offset_bytes },
                };
                return Records { bodies, end };
            }
        }
    }
}

/// The reason why no further record could be read.
enum ReadFault {
    NoData,
    Torn,
    Corrupt,
}

fn read_first_record(rest: &[u8]) -> Result<&[u8], ReadFault> {
    if rest.is_empty() {
        return Err(ReadFault::NoData);
    }
    // After a crash, some file systems fill the unwritten end of a file with zeros.
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Err(ReadFault::Torn);
    }
    let len = four_bytes(rest, 0);
    if u32_at(rest, 4) != length_checksum(len) {
        return Err(ReadFault::Corrupt);
    }
    let len_bytes = usize::try_from(u32::from_le_bytes(len)).unwrap_or(usize::MAX);
    let body = &rest[HEADER_BYTES..];
    let body = body.get(..len_bytes).ok_or(ReadFault::Torn)?;
    if u32_at(rest, 8) != crc32fast::hash(body) {
        return Err(ReadFault::Corrupt);
    }
    Ok(body)
}

fn length_checksum(len: [u8; 4]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(LENGTH_SALT);
    hasher.update(&len);
    hasher.finalize()
}

fn four_bytes(data: &[u8], offset: usize) -> [u8; 4] {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&data[offset..offset + 4]);
    bytes
}

fn u32_at(data: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(four_bytes(data, offset))
}
