//! The disk as an interface, so that tests and harnesses can make it fail.

use std::io;

/// Files of one data folder, named by paths relative to it with `/` between their parts.
///
/// Data is durable once its file is synced, a name once its directory is synced.
pub trait Disk: Send {
    /// Creates a directory unless it exists.
    ///
    /// # Errors
    ///
    /// Any failure of the disk.
    fn create_dir(&mut self, dir: &str) -> io::Result<()>;

    /// Names in a directory, ascending.
    ///
    /// # Errors
    ///
    /// Any failure of the disk; [`io::ErrorKind::NotFound`] when there is no such directory.
    fn list(&self, dir: &str) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Any failure of the disk; [`io::ErrorKind::NotFound`] when there is no such file.
    fn read(&self, path: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file, which is created if there is none.
    ///
    /// # Errors
    ///
    /// Any failure of the disk; a part of the data may have been written.
    fn append(&mut self, path: &str, data: &[u8]) -> io::Result<()>;

    /// Cuts a file to a length.
    ///
    /// # Errors
    ///
    /// Any failure of the disk.
    fn truncate(&mut self, path: &str, len_bytes: u64) -> io::Result<()>;

    /// Makes the data of a file durable.
    ///
    /// # Errors
    ///
    /// Any failure of the disk, after which it is unknown what is durable.
    fn sync(&mut self, path: &str) -> io::Result<()>;

    /// Makes the names in a directory durable.
    ///
    /// # Errors
    ///
    /// Any failure of the disk.
    fn sync_dir(&mut self, dir: &str) -> io::Result<()>;

    /// Renames a file, replacing one of the new name.
    ///
    /// # Errors
    ///
    /// Any failure of the disk.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Any failure of the disk.
    fn remove(&mut self, path: &str) -> io::Result<()>;
}
