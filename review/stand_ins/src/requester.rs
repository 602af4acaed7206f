//! A stand-in requester with one kept connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};

/// What a requester sends.
#[derive(Clone)]
pub struct Attempt {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub host: String,
    pub key: Option<u32>,
    pub time_left: Duration,
    pub body: Vec<u8>,
}

#[derive(Default)]
pub struct Requester {
    connection: Option<Connection>,
}

impl Requester {
    /// Sends an attempt; `Err` if no complete answer came.
    pub fn send(&mut self, to: SocketAddr, attempt: &Attempt) -> std::io::Result<Message> {
        let until = Instant::now() + attempt.time_left;
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(to, Duration::from_secs(1))?,
        };
        let mut headers = vec![
            ("Host".to_owned(), attempt.host.clone()),
            ("Attempt-Id".to_owned(), attempt.id.clone()),
            (
                "Deadline-Ms".to_owned(),
                attempt.time_left.as_millis().to_string(),
            ),
        ];
        if let Some(key) = attempt.key {
            headers.push(("Shard-Key".to_owned(), key.to_string()));
        }
        let request = Message {
            first_line: format!("{} {} HTTP/1.1", attempt.method, attempt.path),
            headers,
            body: attempt.body.clone(),
        };
        connection.write(&request.to_bytes())?;
        let answer = connection.read(until)?;
        if !answer.closes() {
            self.connection = Some(connection);
        }
        Ok(answer)
    }
}

/// The statuses that promise that a request has not run and never will.
pub fn is_promise(status: u16) -> bool {
    [408, 421, 429, 503].contains(&status)
}
