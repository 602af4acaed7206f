//! Errors of the storage.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// An error of reading or writing stored state.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// A disk operation failed.
    #[snafu(display("could not {operation} {path}"))]
    Io {
        /// The operation that failed.
        operation: DiskOperation,
        /// The file or directory, relative to the data folder.
        path: String,
        /// The failure.
        source: io::Error,
    },
    /// The data folder can't be created or opened.
    #[snafu(display("could not open the data folder {}", path.display()))]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The failure.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[snafu(display("the data folder {} is in use by another process", path.display()))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// The folder belongs to another cluster, VM or availability zone.
    #[snafu(display("the data folder belongs to {field} {found}, not {expected}"))]
    ForeignFolder {
        /// Which part of the identity differs.
        field: IdentityField,
        /// The value in the settings.
        expected: String,
        /// The value in the folder.
        found: String,
    },
    /// A file is damaged.
    #[snafu(display("{path} is damaged at byte {offset_bytes}: {damage}"))]
    Damaged {
        /// The file, relative to the data folder.
        path: String,
        /// Where the damage was found.
        offset_bytes: u64,
        /// The kind of damage.
        damage: Damage,
    },
    /// An earlier write failed; nothing more is written until the storage is opened again.
    #[snafu(display("an earlier write failed, so nothing more is written"))]
    Failed,
    /// The name of a group is not a plain file name.
    #[snafu(display("{group} is not a valid group name"))]
    InvalidGroupName {
        /// The name.
        group: String,
    },
}

/// An operation on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskOperation {
    /// Create a directory.
    CreateDir,
    /// List a directory.
    List,
    /// Read a file.
    Read,
    /// Append to a file.
    Append,
    /// Truncate a file.
    Truncate,
    /// Make the data of a file or the names in a directory durable.
    Sync,
    /// Rename a file.
    Rename,
    /// Remove a file.
    Remove,
}

impl std::fmt::Display for DiskOperation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let verb = match self {
            Self::CreateDir => "create",
            Self::List => "list",
            Self::Read => "read",
            Self::Append => "append to",
            Self::Truncate => "cut",
            Self::Sync => "sync",
            Self::Rename => "rename",
            Self::Remove => "remove",
        };
        f.write_str(verb)
    }
}

/// A part of a folder's identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityField {
    /// Name of the cluster.
    Cluster,
    /// Name of the VM.
    Vm,
    /// Name of the availability zone.
    Zone,
}

impl std::fmt::Display for IdentityField {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Cluster => "cluster",
            Self::Vm => "VM",
            Self::Zone => "availability zone",
        })
    }
}

/// The kind of damage found in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// A checksum doesn't match.
    Checksum,
    /// A record is shorter than its length says.
    Truncated,
    /// A record has content that is not expected at its place.
    Content,
    /// Entries or segments are missing within the log.
    Gap,
    /// The file is missing.
    Missing,
}

impl std::fmt::Display for Damage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Checksum => "a checksum does not match",
            Self::Truncated => "a record is cut short",
            Self::Content => "a record has unexpected content",
            Self::Gap => "entries are missing",
            Self::Missing => "the file is missing",
        })
    }
}
