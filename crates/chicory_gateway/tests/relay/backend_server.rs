//! A backend server whose connections a test handles itself.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A backend server whose connections a test handles itself.
pub struct BackendServer {
    listener: TcpListener,
    pub address: SocketAddr,
}

/// One connection to a server.
pub struct Connection {
    pub stream: TcpStream,
}

/// A request as the server received it.
#[derive(Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl BackendServer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        Self { listener, address }
    }

    pub async fn accept(&self) -> Connection {
        let (stream, _) = self.listener.accept().await.expect("a connection");
        Connection { stream }
    }

    /// Returns whether a connection waits to be accepted.
    pub async fn has_connection(&self) -> bool {
        let accepted = tokio::time::timeout(Duration::from_millis(1), self.listener.accept());
        accepted.await.is_ok()
    }
}

impl Connection {
    pub async fn read_request(&mut self) -> ReceivedRequest {
        let mut bytes = Vec::new();
        let head_end = loop {
            if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
                break end + 4;
            }
            self.read_more(&mut bytes).await;
        };
        let body = bytes.split_off(head_end);
        let head = String::from_utf8(bytes).expect("a head");
        let lower_case = head.to_ascii_lowercase();
        let length = lower_case.lines().find_map(|line| {
            let length = line.strip_prefix("content-length: ")?;
            length.parse().ok()
        });
        let length = length.unwrap_or(0);
        let mut request = ReceivedRequest { head, body };
        while request.body.len() < length {
            self.read_more(&mut request.body).await;
        }
        request
    }

    async fn read_more(&mut self, bytes: &mut Vec<u8>) {
        let read = self.stream.read_buf(bytes).await;
        let read = read.expect("an open connection");
        assert!(read > 0, "the connection was closed");
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .await
            .expect("an open connection");
    }

    /// Waits until the other end has closed the connection.
    pub async fn wait_for_close(&mut self) {
        let mut byte = [0];
        // A reset closes the connection as well.
        let read = self.stream.read(&mut byte).await.unwrap_or(0);
        assert!(read == 0, "the connection carries another byte");
    }
}
