//! Recognizes who opened a connection.

use chicory_directory::LinkHello;
use chicory_wire::proto::site;
use prost::Message;

/// Size of the length field at the start of a frame.
const LENGTH_BYTES: usize = 4;

/// The opener of a connection, recognized by its first bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LinkSource {
    /// The VM with this id, which opened a link.
    Vm(String),
    /// A control VM, which calls a backend server about keys.
    KeyCalls,
    /// Any other process.
    Other,
}

impl LinkSource {
    /// Recognizes the opener by the first bytes of a connection. Returns `None` while there are too
    /// few.
    pub(crate) fn from_first_bytes(first_bytes: &[u8], is_link: bool) -> Option<Self> {
        if !is_link {
            let is_about_keys = platform_stand_ins::is_key_call(first_bytes);
            return Some(if is_about_keys {
                Self::KeyCalls
            } else {
                Self::Other
            });
        }
        let length = first_bytes.first_chunk::<LENGTH_BYTES>()?;
        let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
        let frame = first_bytes.get(LENGTH_BYTES..LENGTH_BYTES.saturating_add(length))?;
        let hello = site::LinkHello::decode(frame).ok();
        let hello = hello.and_then(|hello| LinkHello::try_from(hello).ok());
        Some(match hello {
            Some(LinkHello::Control { vm } | LinkHello::Entry { vm, .. }) => Self::Vm(vm),
            Some(LinkHello::Operator { .. }) | None => Self::Other,
        })
    }
}
