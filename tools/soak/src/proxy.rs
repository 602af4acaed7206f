//! A proxy on loopback that mistreats connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast::error::RecvError;
use tokio::task::AbortHandle;

use crate::link_source::LinkSource;
use crate::proxy_rules::{Direction, Order, ProxyRules, Treatment};
use crate::soak_error::{ListenSnafu, SoakError};

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// A proxy before one interface; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Proxy {
    task: AbortHandle,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Listens at `told` and passes connections on to `own`. `is_link` tells that they are links
    /// between processes, which say who opened them.
    pub(crate) async fn start(
        told: SocketAddr,
        own: SocketAddr,
        is_link: bool,
        rules: Arc<ProxyRules>,
    ) -> Result<Self, SoakError> {
        let listener = TcpListener::bind(told).await;
        let name = told.to_string();
        let listener = listener.context(ListenSnafu { name })?;
        let task = tokio::spawn(async move {
            loop {
                let Ok((opener, _)) = listener.accept().await else {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                };
                let connection = Connection {
                    told,
                    own,
                    is_link,
                    rules: rules.clone(),
                };
                tokio::spawn(connection.carry(opener));
            }
        });
        Ok(Self {
            task: task.abort_handle(),
        })
    }
}

/// One connection through a proxy.
struct Connection {
    told: SocketAddr,
    own: SocketAddr,
    is_link: bool,
    rules: Arc<ProxyRules>,
}

/// How one direction ended.
enum End {
    /// With the end of the stream.
    Closed,
    /// With a reset.
    Broken,
}

impl Connection {
    async fn carry(self, mut opener: TcpStream) {
        let mut orders = self.rules.orders();
        // A link that is cut off is not answered at all, whoever opens it.
        let Some((source, first_bytes)) = self.source(&mut opener).await else {
            return;
        };
        let Ok(server) = TcpStream::connect(self.own).await else {
            reset(&opener);
            return;
        };
        // Both ends are ours; without the option small messages wait for acknowledgements.
        drop((opener.set_nodelay(true), server.set_nodelay(true)));
        let (from_opener, to_opener) = opener.into_split();
        let (from_server, to_server) = server.into_split();
        let forth = self.pump(
            Direction::Forth,
            &source,
            first_bytes,
            from_opener,
            to_server,
        );
        let back = self.pump(Direction::Back, &source, Vec::new(), from_server, to_opener);
        let both = async { tokio::join!(forth, back) };
        let ordered = async {
            loop {
                match orders.recv().await {
                    Ok(Order::Reset(selection)) if selection.fits(self.told, &source) => {
                        return Order::Reset(selection);
                    }
                    Ok(Order::Silence(selection)) if selection.fits(self.told, &source) => {
                        return Order::Silence(selection);
                    }
                    Ok(_) | Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => std::future::pending().await,
                }
            }
        };
        tokio::pin!(both);
        tokio::select! {
            _ = &mut both => {}
            order = ordered => {
                if matches!(order, Order::Silence(_)) {
                    // The halves stay open in `both`, and nothing passes any more.
                    std::future::pending::<()>().await;
                }
                // Dropped with data in flight, or by linger: the sockets send resets.
            }
        }
    }

    /// Reads the first bytes, as far as they are needed to tell who opened the connection.
    async fn source(&self, opener: &mut TcpStream) -> Option<(LinkSource, Vec<u8>)> {
        let mut first_bytes = Vec::new();
        loop {
            if opener.read_buf(&mut first_bytes).await.ok()? == 0 {
                return None;
            }
            if let Some(source) = LinkSource::of(&first_bytes, self.is_link) {
                return Some((source, first_bytes));
            }
        }
    }

    async fn pump(
        &self,
        direction: Direction,
        source: &LinkSource,
        first_bytes: Vec<u8>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) {
        let end = self
            .pass_on(direction, source, first_bytes, &mut from, &mut to)
            .await;
        match end {
            // The other end may be gone already.
            End::Closed => drop(to.shutdown().await),
            End::Broken => {
                reset(to.as_ref());
                reset(from.as_ref());
                to.forget();
            }
        }
    }

    async fn pass_on(
        &self,
        direction: Direction,
        source: &LinkSource,
        first_bytes: Vec<u8>,
        from: &mut OwnedReadHalf,
        to: &mut OwnedWriteHalf,
    ) -> End {
        let mut chunk = first_bytes;
        loop {
            if !chunk.is_empty() {
                self.hold_back(direction, source).await;
                // Bytes that waited are lost if their sender reset the connection meanwhile.
                let is_reset = !matches!(from.as_ref().take_error(), Ok(None));
                if is_reset || to.write_all(&chunk).await.is_err() {
                    return End::Broken;
                }
                chunk.clear();
            }
            chunk.reserve(CHUNK_BYTES);
            match from.read_buf(&mut chunk).await {
                Ok(0) => {
                    self.hold_back(direction, source).await;
                    return End::Closed;
                }
                Ok(_) => {}
                Err(_) => return End::Broken,
            }
        }
    }

    async fn hold_back(&self, direction: Direction, source: &LinkSource) {
        let mut changes = self.rules.changes();
        loop {
            changes.mark_unchanged();
            match self.rules.treatment(self.told, source, direction) {
                None => return,
                Some(Treatment::Delay(delay)) => {
                    tokio::time::sleep(delay).await;
                    return;
                }
                Some(Treatment::Block) => {
                    if changes.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// Makes the end of a connection a reset.
fn reset(stream: &TcpStream) {
    // A connection that is gone already needs none.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}
