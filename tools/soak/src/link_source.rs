//! Who opened a connection.

use chicory_directory::LinkHello;
use chicory_wire::proto::site;
use prost::Message;

use crate::cluster::Vm;

/// Size of the length field at the start of a frame.
const LENGTH_BYTES: usize = 4;

/// How the opener of a connection is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recognition {
    /// By the hello in the first bytes, on links between processes.
    Hello,
    /// By the process that has opened it, on connections to backend servers.
    Process,
    /// Not at all.
    None,
}

/// The opener of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LinkSource {
    /// The VM with this id, which opened a link.
    Link(String),
    /// The VM that opened a connection to a backend server.
    Vm(Vm),
    /// Any other process.
    Other,
}

impl LinkSource {
    /// Recognizes the opener of a link by the first bytes. Returns `None` while there are too few.
    pub(crate) fn from_first_bytes(first_bytes: &[u8]) -> Option<Self> {
        let length = first_bytes.first_chunk::<LENGTH_BYTES>()?;
        let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
        let frame = first_bytes.get(LENGTH_BYTES..LENGTH_BYTES.saturating_add(length))?;
        let hello = site::LinkHello::decode(frame).ok();
        let hello = hello.and_then(|hello| LinkHello::try_from(hello).ok());
        Some(match hello {
            Some(LinkHello::Control { vm, .. } | LinkHello::Entry { vm, .. }) => Self::Link(vm),
            Some(LinkHello::Operator { .. }) | None => Self::Other,
        })
    }
}
