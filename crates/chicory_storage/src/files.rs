//! Disk operations whose errors name the operation and the path, and files of a single record.

use std::io;

use prost::Message;
use snafu::{OptionExt, ResultExt};

use crate::Disk;
use crate::record::{FileEnd, read_records, write_record};
use crate::storage_error::{Damage, DamagedSnafu, DiskOperation, IoSnafu, StorageError};

/// A disk whose errors name the failed operation and its path.
pub(crate) struct Files {
    disk: Box<dyn Disk>,
}

impl Files {
    pub(crate) fn new(disk: Box<dyn Disk>) -> Self {
        Self { disk }
    }

    pub(crate) fn create_dir(&mut self, dir: &str) -> Result<(), StorageError> {
        let disk_result = self.disk.create_dir(dir);
        with_location(disk_result, DiskOperation::CreateDir, dir)
    }

    pub(crate) fn list(&self, dir: &str) -> Result<Vec<String>, StorageError> {
        with_location(self.disk.list(dir), DiskOperation::List, dir)
    }

    pub(crate) fn read(&self, path: &str) -> Result<Vec<u8>, StorageError> {
        with_location(self.disk.read(path), DiskOperation::Read, path)
    }

    pub(crate) fn append(&mut self, path: &str, data: &[u8]) -> Result<(), StorageError> {
        let disk_result = self.disk.append(path, data);
        with_location(disk_result, DiskOperation::Append, path)
    }

    pub(crate) fn truncate(&mut self, path: &str, len_bytes: u64) -> Result<(), StorageError> {
        let disk_result = self.disk.truncate(path, len_bytes);
        with_location(disk_result, DiskOperation::Truncate, path)
    }

    pub(crate) fn sync(&mut self, path: &str) -> Result<(), StorageError> {
        let disk_result = self.disk.sync(path);
        with_location(disk_result, DiskOperation::Sync, path)
    }

    pub(crate) fn sync_dir(&mut self, dir: &str) -> Result<(), StorageError> {
        let disk_result = self.disk.sync_dir(dir);
        with_location(disk_result, DiskOperation::Sync, dir)
    }

    pub(crate) fn remove(&mut self, path: &str) -> Result<(), StorageError> {
        let disk_result = self.disk.remove(path);
        with_location(disk_result, DiskOperation::Remove, path)
    }

    /// Removes a file if it exists; an interrupted write may have left it.
    pub(crate) fn remove_if_present(&mut self, path: &str) -> Result<(), StorageError> {
        match self.disk.remove(path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                with_location(Err(error), DiskOperation::Remove, path)
            }
            _ => Ok(()),
        }
    }

    /// Replaces a file of a single record atomically: after a crash, either the former or the new
    /// record is found.
    pub(crate) fn replace(
        &mut self,
        dir: &str,
        name: &str,
        message: &impl Message,
    ) -> Result<(), StorageError> {
        let path = join(dir, name);
        let temporary = format!("{path}.new");
        let mut data = Vec::new();
        write_record(&mut data, message);
        self.remove_if_present(&temporary)?;
        self.append(&temporary, &data)?;
        self.sync(&temporary)?;
        let disk_result = self.disk.rename(&temporary, &path);
        with_location(disk_result, DiskOperation::Rename, &path)?;
        self.sync_dir(dir)
    }

    /// Reads a file of a single record; returns `None` if there is no such file.
    pub(crate) fn load<M: Message + Default>(&self, path: &str) -> Result<Option<M>, StorageError> {
        let data = match self.disk.read(path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            other => with_location(other, DiskOperation::Read, path)?,
        };
        let records = read_records(&data);
        let damage = match records.end {
            FileEnd::Clean => Damage::Content,
            FileEnd::Torn { .. } => Damage::Truncated,
            FileEnd::Corrupt { .. } => Damage::Checksum,
        };
        let damaged = DamagedSnafu {
            path,
            offset_bytes: 0_u64,
            damage,
        };
        let is_complete = records.end == FileEnd::Clean && records.bodies.len() == 1;
        let body = records.bodies.first().filter(|_| is_complete);
        let message = body.and_then(|(_, body)| M::decode(*body).ok());
        message.context(damaged).map(Some)
    }
}

pub(crate) fn join(dir: &str, name: &str) -> String {
    if dir.is_empty() {
        name.to_owned()
    } else {
        format!("{dir}/{name}")
    }
}

fn with_location<T>(
    result: io::Result<T>,
    operation: DiskOperation,
    path: &str,
) -> Result<T, StorageError> {
    result.context(IoSnafu { operation, path })
}
