//! The file system as a disk.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::Disk;

/// A folder of the file system as a disk.
///
/// It holds the lock of the folder until it is dropped.
#[derive(Debug)]
pub struct RealDisk {
    root: PathBuf,
    _lock: Arc<File>,
    /// The file that was last appended to or synced, with its path.
    open_file: Option<(String, File)>,
}

impl RealDisk {
    pub(crate) fn new(root: &Path, lock: Arc<File>) -> Self {
        Self {
            root: root.to_owned(),
            _lock: lock,
            open_file: None,
        }
    }

    fn path(&self, path: &str) -> PathBuf {
        self.root.join(path)
    }

    fn open_for_append(&mut self, path: &str) -> io::Result<&mut File> {
        let is_open = self
            .open_file
            .as_ref()
            .is_some_and(|(name, _)| name == path);
        let reused = self.open_file.take().filter(|_| is_open);
        let file = match reused {
            Some((_, file)) => file,
            None => OpenOptions::new()
                .append(true)
                .create(true)
                .open(self.path(path))?,
        };
        let (_, file) = self.open_file.insert((path.to_owned(), file));
        Ok(file)
    }
}

impl Disk for RealDisk {
    fn create_dir(&mut self, dir: &str) -> io::Result<()> {
        fs::create_dir_all(self.path(dir))
    }

    fn list(&self, dir: &str) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(self.path(dir))? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, path: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path(path))
    }

    fn append(&mut self, path: &str, data: &[u8]) -> io::Result<()> {
        self.open_for_append(path)?.write_all(data)
    }

    fn truncate(&mut self, path: &str, len_bytes: u64) -> io::Result<()> {
        self.open_file = None;
        let file = OpenOptions::new().write(true).open(self.path(path))?;
        file.set_len(len_bytes)
    }

    fn sync(&mut self, path: &str) -> io::Result<()> {
        self.open_for_append(path)?.sync_data()
    }

    fn sync_dir(&mut self, dir: &str) -> io::Result<()> {
        File::open(self.path(dir))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_file = None;
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&mut self, path: &str) -> io::Result<()> {
        self.open_file = None;
        fs::remove_file(self.path(path))
    }
}
