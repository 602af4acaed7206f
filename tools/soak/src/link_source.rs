//! Who opened a connection.

use chicory_directory::LinkHello;
use chicory_wire::proto::site;
use prost::Message;

/// Length of the field that tells the length of a frame.
const LENGTH_BYTES: usize = 4;

/// Who opened a connection, by its first bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LinkSource {
    /// A VM with this id opened a link.
    Vm(String),
    /// A control VM calls a backend server about keys.
    KeyCalls,
    /// Anybody else.
    Other,
}

impl LinkSource {
    /// Tells from the first bytes; `None` while there are too few.
    pub(crate) fn of(first_bytes: &[u8], is_link: bool) -> Option<Self> {
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
