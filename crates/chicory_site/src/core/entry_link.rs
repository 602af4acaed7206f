//! A link of an entry VM.

use chicory_directory::{DirectoryMark, MovesVersion};
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
    /// The moving keys that it was told.
    pub(crate) told_moves: MovesVersion,
    /// Whether it is owed the state of this member.
    pub(crate) is_status_due: bool,
    /// Whether the link has taken all that was sent; what changes meanwhile goes out as one.
    pub(crate) is_ready: bool,
}

impl EntryLink {
    pub(crate) fn new(vm: VmId, zone: ZoneName, known: DirectoryMark) -> Self {
        Self {
            vm,
            zone,
            sent: known,
            told_moves: 0,
            is_status_due: true,
            is_ready: true,
        }
    }
}
