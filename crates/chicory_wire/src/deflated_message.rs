//! Deflate compression of large messages to entry VMs.
//!
//! Route tables are repetitive and therefore compress well, and links may have a low bandwidth.

use std::io::{Read, Write};

use chicory_directory::ControlMessage;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use prost::Message;
use snafu::OptionExt;

use crate::ConvertError;
use crate::convert_error::OutOfRangeSnafu;
use crate::proto::site::{self, control_message};

/// Minimum size of a message that is compressed; smaller ones fit into a few packets.
const MIN_DEFLATED_BYTES: usize = 4 * 1024;
/// Maximum size of a message after decompression, which is the maximum frame size of a link.
const MAX_INFLATED_BYTES: u64 = 16 * 1024 * 1024;

/// Encodes a message for a link and compresses it if it is large.
#[must_use]
pub fn encode_control_message(message: ControlMessage) -> Vec<u8> {
    let plain = site::ControlMessage::from(message).encode_to_vec();
    if plain.len() < MIN_DEFLATED_BYTES {
        return plain;
    }
    let Ok(deflated) = deflate(&plain) else {
        return plain;
    };
    let message = site::ControlMessage {
        message: Some(control_message::Message::Deflated(deflated)),
    };
    message.encode_to_vec()
}

fn deflate(plain: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(plain)?;
    encoder.finish()
}

/// Decompresses and decodes a message; a compressed message within another one is rejected.
pub(crate) fn inflate(deflated: &[u8]) -> Result<ControlMessage, ConvertError> {
    let field = "control_message.deflated";
    let mut plain = Vec::new();
    let read = DeflateDecoder::new(deflated)
        .take(MAX_INFLATED_BYTES + 1)
        .read_to_end(&mut plain);
    let is_complete = read.is_ok_and(|size| size as u64 <= MAX_INFLATED_BYTES);
    let plain = is_complete
        .then_some(plain)
        .context(OutOfRangeSnafu { field })?;
    let message = site::ControlMessage::decode(&plain[..]).ok();
    let message = message
        .filter(|message| !matches!(message.message, Some(control_message::Message::Deflated(_))));
    message.context(OutOfRangeSnafu { field })?.try_into()
}
