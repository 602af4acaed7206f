//! The data folder of a process.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use snafu::ResultExt;

use crate::files::Files;
use crate::storage_error::{FolderSnafu, LockedSnafu, StorageError};
use crate::{Disk, FolderIdentity, RealDisk};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";

/// The single data folder of a process, locked against use by other processes.
///
/// # Examples
///
/// ```
/// use chicory_storage::{DataFolder, FolderIdentity, GroupStorage};
///
/// let dir = tempfile::tempdir()?;
/// let identity = FolderIdentity {
///     cluster: "harbour".into(),
///     vm: "vm-a".into(),
///     zone: "north".into(),
///     incarnation: 7,
/// };
/// let folder = DataFolder::open(dir.path(), &identity)?;
/// let (storage, restored) = GroupStorage::open(folder.disk(), folder.identity(), "global-1")?;
/// assert_eq!(storage.incarnation(), 7);
/// assert!(restored.may_vote);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    lock: Arc<File>,
    identity: FolderIdentity,
}

impl DataFolder {
    /// Opens the folder. A folder that doesn't exist is created, and `identity` is stored in it.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Locked`] while another process uses the folder,
    /// [`StorageError::ForeignFolder`] if the folder belongs to another cluster, VM or availability
    /// zone, and the error of a disk operation that fails.
    pub fn open(path: impl AsRef<Path>, identity: &FolderIdentity) -> Result<Self, StorageError> {
        let path = path.as_ref();
        fs::create_dir_all(path).context(FolderSnafu { path })?;
        let lock = Arc::new(lock_folder(path)?);
        let mut files = Files::new(Box::new(RealDisk::new(path, lock.clone())));
        let identity = check_and_store_identity(&mut files, identity)?;
        Ok(Self {
            path: path.to_owned(),
            lock,
            identity,
        })
    }

    /// Returns the identity of this start of the process.
    ///
    /// Its incarnation is greater than that of any former start, even if the clock that the
    /// incarnation was derived from has gone back.
    #[must_use]
    pub fn identity(&self) -> &FolderIdentity {
        &self.identity
    }

    /// Returns the folder as a disk.
    ///
    /// The lock is held until the folder and all its disks are dropped.
    #[must_use]
    pub fn disk(&self) -> Box<dyn Disk> {
        Box::new(RealDisk::new(&self.path, self.lock.clone()))
    }
}

fn lock_folder(path: &Path) -> Result<File, StorageError> {
    let file = OpenOptions::new()
        .create(true)
        .write(true)
        .truncate(false)
        .open(path.join(LOCK_FILE))
        .context(FolderSnafu { path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => LockedSnafu { path }.fail(),
        Err(TryLockError::Error(source)) => Err(source).context(FolderSnafu { path }),
    }
}

fn check_and_store_identity(
    files: &mut Files,
    identity: &FolderIdentity,
) -> Result<FolderIdentity, StorageError> {
    let stored = files.load::<chicory_wire::proto::storage::FolderIdentity>(IDENTITY_FILE)?;
    let mut identity = identity.clone();
    if let Some(stored) = stored {
        let stored = FolderIdentity::from(stored);
        identity.check(&stored)?;
        identity.incarnation = identity.incarnation.max(stored.incarnation + 1);
    }
    let message = chicory_wire::proto::storage::FolderIdentity::from(identity.clone());
    files.replace("", IDENTITY_FILE, &message)?;
    Ok(identity)
}
