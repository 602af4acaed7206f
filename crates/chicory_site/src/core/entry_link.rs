//! A link of an entry VM.

use chicory_directory::DirectoryMark;
use chicory_types::{VmId, ZoneName};

/// Identifier of a link of an entry VM, unique in the life of the process.
pub type EntryLinkId = u64;

/// What is known of an entry VM that follows this member.
#[derive(Clone, Debug)]
pub(crate) struct EntryLink {
    pub(crate) vm: VmId,
    #[expect(dead_code, reason = "placing work by availability zone will need it")]
    pub(crate) zone: ZoneName,
    /// The directory that it was sent.
    pub(crate) sent: DirectoryMark,
}
