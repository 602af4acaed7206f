//! Opens connections to other processes.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::link_error::{DialTimeoutSnafu, IoSnafu};
use crate::{FrameReader, FrameWriter, LinkError};

/// Time limit for a connection to be established: a few round trips between availability zones.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a connection is closed if the other end has not acknowledged sent bytes.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);

/// Replaces [`UNACKNOWLEDGED_TIMEOUT`] on links that transfer full route tables. Bodies queued in
/// front of a table, or a reader that gets no processor time, can delay acknowledgements for more
/// than a second.
const EXTENDED_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the kernel's send buffer. Messages in it can't be replaced by newer ones any more, so it
/// holds only as much as the longest link between regions has in flight at a few MB/s.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Both directions of a link.
pub type LinkStream = (FrameReader<OwnedReadHalf>, FrameWriter<OwnedWriteHalf>);

/// Connects to a process within [`DIAL_TIMEOUT`].
///
/// # Errors
///
/// [`LinkError`] when no connection could be established.
pub async fn dial(address: SocketAddr) -> Result<LinkStream, LinkError> {
    dial_with_timeout(address, DIAL_TIMEOUT).await
}

/// Connects to a process within `connect_timeout`.
///
/// # Errors
///
/// [`LinkError`] when no connection could be established.
pub async fn dial_with_timeout(
    address: SocketAddr,
    connect_timeout: Duration,
) -> Result<LinkStream, LinkError> {
    let connected = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await;
    let Ok(stream) = connected else {
        return DialTimeoutSnafu.fail();
    };
    split(stream.context(IoSnafu)?)
}

/// Sets the socket options of a link, and splits the connection into a reader and a
/// writer of frames.
///
/// # Errors
///
/// [`LinkError`] when a socket option can't be set.
pub fn split(stream: TcpStream) -> Result<LinkStream, LinkError> {
    stream.set_nodelay(true).context(IoSnafu)?;
    let socket = SockRef::from(&stream);
    socket
        .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
        .context(IoSnafu)?;
    socket
        .set_send_buffer_size(SEND_BUFFER_BYTES)
        .context(IoSnafu)?;
    let (read, write) = stream.into_split();
    Ok((FrameReader::new(read), FrameWriter::new(write)))
}

/// Extends the time limit for acknowledgements, so that the link stays open while full route tables
/// are transferred over slow connections.
///
/// # Errors
///
/// [`LinkError`] when the socket option can't be set.
pub fn extend_unacknowledged_timeout((_, writer): &LinkStream) -> Result<(), LinkError> {
    let stream: &TcpStream = writer.get_ref().as_ref();
    SockRef::from(stream)
        .set_tcp_user_timeout(Some(EXTENDED_UNACKNOWLEDGED_TIMEOUT))
        .context(IoSnafu)
}
