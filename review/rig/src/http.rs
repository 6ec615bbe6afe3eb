//! HTTP/1.1 over blocking sockets, as far as the cases need it.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response: the first line, the headers with names in lower case, and the body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().into();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().into());
        }
    }
}

/// Reads the body that a message's head announces: with a length, or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

/// How a client's request ended.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// A complete response.
    Answered(Message),
    /// The connection could not be opened.
    NotConnected,
    /// The connection ended without a complete response.
    Broken(String),
    /// No complete response came in time.
    TimedOut,
}

impl Outcome {
    pub fn text(&self) -> String {
        match self {
            Self::Answered(response) => response.status().to_string(),
            Self::NotConnected => "not_connected".into(),
            Self::Broken(error) => format!("broken({error})"),
            Self::TimedOut => "deadline".into(),
        }
    }

    pub fn status(&self) -> u16 {
        match self {
            Self::Answered(response) => response.status(),
            _ => 0,
        }
    }
}

/// Sends a request on a new connection and waits for the response until the time limit.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Outcome {
    let deadline = Instant::now() + limit;
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Outcome::NotConnected;
    };
    let _ = stream.set_nodelay(true);
    exchange(stream, request, deadline)
}

fn exchange(mut stream: TcpStream, request: &[u8], deadline: Instant) -> Outcome {
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    if let Err(error) = stream.write_all(request) {
        return Outcome::Broken(format!("{:?}", error.kind()));
    }
    let mut reader = BufReader::new(stream);
    let result: io::Result<Message> = (|| {
        let mut head =
            read_head(&mut reader)?.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        read_body(&mut reader, &mut head)?;
        Ok(head)
    })();
    match result {
        Ok(response) => Outcome::Answered(response),
        Err(error)
            if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
        {
            Outcome::TimedOut
        }
        Err(error) => Outcome::Broken(format!("{:?}", error.kind())),
    }
}

/// Returns the bytes of a client's request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Sedgepath-Attempt-Id: {id}\r\n\
         X-Sedgepath-Deadline-Ms: {deadline_ms}\r\n"
    );
    if !body.is_empty() {
        bytes.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
