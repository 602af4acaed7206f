//! HTTP/1.1 with lengths and chunks, as far as the stand-ins need it.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer. Names of headers are in lower case.
pub struct Message {
    /// First line, split at spaces.
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.start
            .get(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection that reads messages one after the other.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a connection that was accepted.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Opens a connection.
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> Result<usize> {
        let mut part = [0; 64 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn line(&mut self) -> Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn exact(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the next message; `None` at the end of the connection.
    pub fn read(&mut self) -> Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let start = first.split(' ').map(String::from).collect();
        let mut headers = Vec::new();
        loop {
            let line = self
                .line()?
                .ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line
                .split_once(':')
                .ok_or_else(|| Error::from(ErrorKind::InvalidData))?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = self
                    .line()?
                    .ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| Error::from(ErrorKind::InvalidData))?;
                let part = self.exact(size)?;
                message.body.extend(part);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length
                .parse()
                .map_err(|_| Error::from(ErrorKind::InvalidData))?;
            message.body = self.exact(length)?;
        }
        Ok(Some(message))
    }

    /// Writes a message with a length.
    pub fn write(&mut self, start: &str, headers: &[(&str, String)], body: &[u8]) -> Result<()> {
        let mut head = format!("{start}\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Result<Message> {
    let began = Instant::now();
    let mut connection = Connection::open(address, timeout.min(Duration::from_secs(1)))?;
    let left = timeout
        .saturating_sub(began.elapsed())
        .max(Duration::from_millis(1));
    connection.stream.set_read_timeout(Some(left))?;
    connection.stream.set_write_timeout(Some(left))?;
    connection.write(&format!("{start} HTTP/1.1"), headers, body)?;
    connection
        .read()?
        .ok_or_else(|| ErrorKind::UnexpectedEof.into())
}
