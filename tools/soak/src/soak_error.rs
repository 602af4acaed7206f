//! Errors that prevent a run.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// An error that prevents a run; it says nothing about the guarantees.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SoakError {
    /// A file or folder can't be used.
    #[snafu(display("{} can't be used: {source}", path.display()))]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A process can't be started or signalled.
    #[snafu(display("process {name} can't be started or signalled: {source}"))]
    Process {
        /// Name of the process.
        name: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A listening socket can't be opened.
    #[snafu(display("can't listen for {name}: {source}"))]
    Listen {
        /// Name of the proxy or backend server that was to listen.
        name: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// It is unknown which process has opened a connection.
    #[snafu(display("the kernel doesn't tell which process opens connections"))]
    UnknownOpeners,
}
