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
    pub(crate) sent_position: DirectoryMark,
    /// The moving keys that it was told.
    pub(crate) sent_moves: MovesVersion,
    /// Reports that are awaited before the first update: one that was told of another leader turns
    /// to that before.
    pub(crate) reports_before_update: u32,
    /// Whether it is owed the state of this member.
    pub(crate) is_status_due: bool,
    /// Whether the link has taken all that was sent; what changes meanwhile goes out as one.
    pub(crate) is_ready: bool,
}

impl EntryLink {
    pub(crate) fn new(
        vm: VmId,
        zone: ZoneName,
        known: DirectoryMark,
        reports_before_update: u32,
    ) -> Self {
        Self {
            vm,
            zone,
            sent_position: known,
            sent_moves: 0,
            reports_before_update,
            is_status_due: true,
            is_ready: true,
        }
    }
    /// Whether the link can take an update to `newest` now, and lacks it.
    pub(crate) fn awaits_update(&self, newest: DirectoryMark) -> bool {
        self.is_ready
            && self.reports_before_update == 0
            && self.sent_position.version < newest.version
    }
}
