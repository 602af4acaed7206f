//! The disk interface, which lets tests and other harnesses inject failures.

use std::io;

/// The files of one data folder, addressed by paths relative to the folder with `/` as separator.
///
/// The data of a file is durable once the file is synced. A new, changed or removed name is durable
/// once its directory is synced.
pub trait Disk: Send {
    /// Creates a directory if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Any failure of the disk.
    fn create_dir(&mut self, dir: &str) -> io::Result<()>;

    /// Returns the names in a directory in ascending order.
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

    /// Appends to a file, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Any failure of the disk, after which a part of the data may have been written.
    fn append(&mut self, path: &str, data: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length.
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

    /// Makes the current names in a directory durable.
    ///
    /// # Errors
    ///
    /// Any failure of the disk.
    fn sync_dir(&mut self, dir: &str) -> io::Result<()>;

    /// Renames a file, replacing any file that has the new name.
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
