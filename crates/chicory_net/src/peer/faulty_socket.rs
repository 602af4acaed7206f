//! A UDP socket that drops the datagrams of blocked peers.

use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};

use crate::peer::FaultSwitch;

/// A UDP socket that drops datagrams from and to the peers that a [`FaultSwitch`] blocks.
#[derive(Debug)]
pub(crate) struct FaultySocket {
    pub(crate) inner: Arc<dyn AsyncUdpSocket>,
    pub(crate) faults: Arc<dyn FaultSwitch>,
}

impl AsyncUdpSocket for FaultySocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        self.inner.clone().create_io_poller()
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        if self.faults.is_blocked(transmit.destination) {
            return Ok(());
        }
        self.inner.try_send(transmit)
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(self.inner.poll_recv(cx, bufs, meta))?;
        for datagrams in &mut meta[..count] {
            if self.faults.is_blocked(datagrams.addr) {
                // The endpoint ignores an empty datagram.
                datagrams.len = 0;
            }
        }
        Poll::Ready(Ok(count))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.inner.max_transmit_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.inner.max_receive_segments()
    }

    fn may_fragment(&self) -> bool {
        self.inner.may_fragment()
    }
}
