//! Idle connections to the addresses that a caller sends to.

use std::cell::RefCell;
use std::collections::BTreeMap;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// The sending side of a connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// Idle connections to the addresses that a caller sends to.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<String, Vec<Sender>>>,
}

impl ConnectionPool {
    /// Returns an idle connection to `address`, or opens a new one.
    ///
    /// # Errors
    ///
    /// The system's error if no connection can be opened.
    pub async fn take(&self, address: &str) -> std::io::Result<Sender> {
        while let Some(mut sender) = self.pop(address) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        spawn_local(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Puts a connection back into the pool, unless it is closed.
    pub fn put_back(&self, address: &str, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(address.to_owned()).or_default().push(sender);
    }

    fn pop(&self, address: &str) -> Option<Sender> {
        self.idle.borrow_mut().get_mut(address)?.pop()
    }
}
