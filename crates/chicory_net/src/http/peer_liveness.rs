//! TCP settings by which the end of a peer is noticed.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time without any packet after which a probe is sent, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of probes without an acknowledgement after which a connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// Time after which a connection is closed if sent bytes are not acknowledged. It also replaces
/// [`MAX_UNANSWERED_PROBES`] where it is set, and leaves time for two probes.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2200);

/// Sends probes while a connection is silent. The kernel of the peer acknowledges them, however long
/// its process says nothing.
pub(crate) fn set_probes(stream: &TcpStream) -> io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Sets or removes the time after which unacknowledged bytes close a connection.
pub(crate) fn set_unacknowledged_timeout(
    stream: &TcpStream,
    timeout: Option<Duration>,
) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(timeout)
}

/// Whether unacknowledged bytes close a connection after some time.
pub(crate) fn has_unacknowledged_timeout(stream: &TcpStream) -> bool {
    let timeout = SockRef::from(stream).tcp_user_timeout();
    timeout.is_ok_and(|timeout| timeout.is_some_and(|timeout| !timeout.is_zero()))
}
