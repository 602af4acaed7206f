//! Failures of the storage.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// Why stored state could not be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The disk failed.
    #[snafu(display("could not {operation} {path}"))]
    Io {
        /// What was tried.
        operation: DiskOperation,
        /// The file or directory, relative to the data folder.
        path: String,
        /// The failure.
        source: io::Error,
    },
    /// The data folder can't be used.
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
    /// The folder belongs to another process.
    #[snafu(display("the data folder is of {field} {found}, not {expected}"))]
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
        /// What is wrong.
        damage: Damage,
    },
    /// A former write failed; nothing more is written until the storage is opened anew.
    #[snafu(display("a former write failed"))]
    Failed,
    /// A group's name is no plain file name.
    #[snafu(display("{group} is no valid name of a group"))]
    InvalidGroupName {
        /// The name.
        group: String,
    },
}

/// What was tried on the disk.
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
    /// Cut a file.
    Truncate,
    /// Make a file or directory durable.
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

/// What is wrong with a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// A checksum does not match.
    Checksum,
    /// A record ends before its length.
    Truncated,
    /// A record does not hold what belongs there.
    Content,
    /// Entries are missing.
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
