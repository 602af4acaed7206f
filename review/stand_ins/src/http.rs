//! Just enough HTTP/1.1 for stand-ins.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = format!("{}\r\n", self.first_line).into_bytes();
        for (name, value) in &self.headers {
            bytes.extend(format!("{name}: {value}\r\n").bytes());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", self.body.len()).bytes());
        bytes.extend(&self.body);
        bytes
    }
}

/// A connection with the bytes that were received but not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self, until: Instant) -> io::Result<()> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend(&chunk[..count]);
        Ok(())
    }

    fn line(&mut self, until: Instant) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill(until)?;
        }
    }

    fn bytes(&mut self, count: usize, until: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill(until)?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a request or an answer with its body.
    pub fn read(&mut self, until: Instant) -> io::Result<Message> {
        let mut message = Message {
            first_line: self.line(until)?,
            ..Message::default()
        };
        loop {
            let line = self.line(until)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            let value = value.trim().to_owned();
            message.headers.push((name.to_owned(), value));
        }
        if message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
        {
            loop {
                let size = self.line(until)?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
                let chunk = self.bytes(size + 2, until)?;
                message.body.extend(&chunk[..size]);
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length");
        if let Some(length) = length.and_then(|length| length.parse().ok()) {
            message.body = self.bytes(length, until)?;
        }
        Ok(message)
    }
}

/// Sends one call over a new connection and returns its answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + timeout;
    let mut connection = Connection::open(to, timeout)?;
    let request = Message {
        first_line: format!("{method} {path} HTTP/1.1"),
        headers: vec![
            ("Host".into(), to.to_string()),
            ("Content-Type".into(), "application/json".into()),
            ("Connection".into(), "close".into()),
        ],
        body: body.as_bytes().to_vec(),
    };
    connection.write(&request.to_bytes())?;
    connection.read(until)
}

/// Returns the number behind a field of a flat JSON object.
pub fn json_number(text: &str, field: &str) -> Option<f64> {
    let (_, rest) = text.split_once(&format!("\"{field}\":"))?;
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    rest[..end].trim().parse().ok()
}

/// Returns the text behind a field of a flat JSON object.
pub fn json_text(text: &str, field: &str) -> Option<String> {
    let (_, rest) = text.split_once(&format!("\"{field}\":\""))?;
    rest.split('"').next().map(str::to_owned)
}
