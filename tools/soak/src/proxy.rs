//! A proxy on loopback that delays, blocks, silences or resets connections.

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

use crate::link_source::{LinkSource, Recognition};
use crate::proxy_rules::{Direction, ProxyAction, ProxyRules, Treatment};
use crate::soak_error::{ListenSnafu, SoakError};

/// Size of the buffer in which bytes are forwarded.
const CHUNK_BYTES: usize = 16 * 1024;

/// A proxy in front of one listening address. It stops when this value is dropped.
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
    /// Listens at `advertised` and forwards connections to `target`.
    pub(crate) async fn start(
        advertised: SocketAddr,
        target: SocketAddr,
        recognition: Recognition,
        rules: Arc<ProxyRules>,
    ) -> Result<Self, SoakError> {
        let listener = TcpListener::bind(advertised).await;
        let name = advertised.to_string();
        let listener = listener.context(ListenSnafu { name })?;
        let task = tokio::spawn(async move {
            loop {
                let Ok((opener, _)) = listener.accept().await else {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                };
                let connection = Connection {
                    advertised,
                    target,
                    recognition,
                    rules: rules.clone(),
                };
                tokio::spawn(connection.forward(opener));
            }
        });
        Ok(Self {
            task: task.abort_handle(),
        })
    }
}

/// One connection through a proxy.
struct Connection {
    advertised: SocketAddr,
    target: SocketAddr,
    recognition: Recognition,
    rules: Arc<ProxyRules>,
}

/// The way one direction of a connection ended.
enum End {
    /// With the end of the stream.
    Closed,
    /// With a reset.
    Broken,
}

impl Connection {
    async fn forward(self, mut opener: TcpStream) {
        let mut actions = self.rules.actions();
        // Nothing is forwarded before the opener is known, so that a link that is cut off gets no
        // answer, whoever opens it.
        let Some((source, first_bytes)) = self.source(&mut opener).await else {
            return;
        };
        if self.rules.refuses(self.advertised, &source) {
            reset(&opener);
            return;
        }
        let Ok(server) = TcpStream::connect(self.target).await else {
            reset(&opener);
            return;
        };
        // Without this option, small messages wait for acknowledgements of earlier ones.
        drop((opener.set_nodelay(true), server.set_nodelay(true)));
        let (from_opener, to_opener) = opener.into_split();
        let (from_server, to_server) = server.into_split();
        let to_server_side = self.forward_direction(
            Direction::ToServer,
            &source,
            first_bytes,
            from_opener,
            to_server,
        );
        let to_opener_side = self.forward_direction(
            Direction::ToOpener,
            &source,
            Vec::new(),
            from_server,
            to_opener,
        );
        let both = async { tokio::join!(to_server_side, to_opener_side) };
        let ending_action = async {
            loop {
                match actions.recv().await {
                    Ok(ProxyAction::Reset(selection))
                        if selection.includes(self.advertised, &source) =>
                    {
                        return ProxyAction::Reset(selection);
                    }
                    Ok(ProxyAction::Silence(selection))
                        if selection.includes(self.advertised, &source) =>
                    {
                        return ProxyAction::Silence(selection);
                    }
                    Ok(_) | Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => std::future::pending().await,
                }
            }
        };
        tokio::pin!(both);
        tokio::select! {
            _ = &mut both => {}
            action = ending_action => {
                if matches!(action, ProxyAction::Silence(_)) {
                    // `both` keeps the sockets open, but without being polled it forwards nothing.
                    std::future::pending::<()>().await;
                }
                // Dropping sockets with unread data, or a linger time of zero, sends resets.
            }
        }
    }

    /// Recognizes the opener of the connection. Returns it with the bytes that were read for that,
    /// or `None` if the connection is closed before.
    async fn source(&self, opener: &mut TcpStream) -> Option<(LinkSource, Vec<u8>)> {
        let mut first_bytes = Vec::new();
        match self.recognition {
            Recognition::Hello => {}
            Recognition::Process => {
                let (owners, to) = (self.rules.owners.clone(), self.advertised);
                let from = opener.peer_addr().ok()?;
                let vm = tokio::task::spawn_blocking(move || owners.opener(from, to)).await;
                let vm = vm.ok().flatten();
                return Some((vm.map_or(LinkSource::Other, LinkSource::Vm), first_bytes));
            }
            Recognition::None => return Some((LinkSource::Other, first_bytes)),
        }
        loop {
            if opener.read_buf(&mut first_bytes).await.ok()? == 0 {
                return None;
            }
            if let Some(source) = LinkSource::from_first_bytes(&first_bytes) {
                return Some((source, first_bytes));
            }
        }
    }

    async fn forward_direction(
        &self,
        direction: Direction,
        source: &LinkSource,
        first_bytes: Vec<u8>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) {
        let end = self
            .forward_chunks(direction, source, first_bytes, &mut from, &mut to)
            .await;
        match end {
            // The other end may be closed already.
            End::Closed => drop(to.shutdown().await),
            End::Broken => {
                reset(to.as_ref());
                reset(from.as_ref());
                to.forget();
            }
        }
    }

    async fn forward_chunks(
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
                self.apply_rules(direction, source).await;
                // Bytes that were held back are lost if their sender has reset the connection.
                let is_reset = !matches!(from.as_ref().take_error(), Ok(None));
                if is_reset || to.write_all(&chunk).await.is_err() {
                    return End::Broken;
                }
                chunk.clear();
            }
            chunk.reserve(CHUNK_BYTES);
            match from.read_buf(&mut chunk).await {
                Ok(0) => {
                    self.apply_rules(direction, source).await;
                    return End::Closed;
                }
                Ok(_) => {}
                Err(_) => return End::Broken,
            }
        }
    }

    async fn apply_rules(&self, direction: Direction, source: &LinkSource) {
        let mut changes = self.rules.changes();
        loop {
            changes.mark_unchanged();
            match self.rules.treatment(self.advertised, source, direction) {
                None | Some(Treatment::RefuseNew) => return,
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

/// Makes a connection end with a reset when its socket is dropped.
fn reset(stream: &TcpStream) {
    // This fails if the connection is gone already, and then no reset is needed.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}
