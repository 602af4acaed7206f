//! Opens connections.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::link_error::{DialTimeoutSnafu, IoSnafu};
use crate::{FrameReader, FrameWriter, LinkError};

/// Longest time for a connection to come about; a few round trips between availability zones.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which sent bytes that nobody has acknowledged end a connection.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);

/// The same for a link over which a full table may be long under way: a queue of bodies before it, or
/// a reader that has no processor time, may hold everything up for more than a second.
const EXTENDED_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that wait in the kernel: what has gone there can't be replaced by what is newer. As much
/// as the longest link between regions has under way at a few MB/s.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Both directions of a link.
pub type LinkStream = (FrameReader<OwnedReadHalf>, FrameWriter<OwnedWriteHalf>);

/// Connects to a process.
///
/// # Errors
///
/// [`LinkError`] when no connection came about.
pub async fn dial(address: SocketAddr) -> Result<LinkStream, LinkError> {
    dial_with_timeout(address, DIAL_TIMEOUT).await
}

/// Connects to a process, with another patience than [`DIAL_TIMEOUT`].
///
/// # Errors
///
/// [`LinkError`] when no connection came about.
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

/// Prepares a connection for frames.
///
/// # Errors
///
/// [`LinkError`] when an option can't be set.
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

/// Makes a link bear the delays of tables over thin links.
///
/// # Errors
///
/// [`LinkError`] when the option can't be set.
pub fn extend_unacknowledged_timeout((_, writer): &LinkStream) -> Result<(), LinkError> {
    let stream: &TcpStream = writer.get_ref().as_ref();
    SockRef::from(stream)
        .set_tcp_user_timeout(Some(EXTENDED_UNACKNOWLEDGED_TIMEOUT))
        .context(IoSnafu)
}
