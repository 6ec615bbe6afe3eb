//! A minimal HTTP/1.1 implementation for both sides of the stand-ins' connections.
//!
//! HTTP libraries hide connections, correct or reject malformed messages, and cannot send a response
//! that is shorter than its declared length, so they don't fit the stand-ins.

use std::io::{self, BufRead, Read};

const MAX_LINE_BYTES: u64 = 64 * 1024;
const MAX_HEADERS: usize = 256;

/// The start line and the headers of a message.
#[derive(Debug, Default)]
pub(crate) struct Head {
    pub(crate) start_line: Box<str>,
    /// Headers in the order received, with names in lower case.
    pub(crate) headers: Vec<(Box<str>, Box<str>)>,
}

/// How the end of a message body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Empty,
    Length(u64),
    Chunked,
    /// The message declares no length; its end is indistinguishable from a lost connection.
    Undeclared,
}

impl Head {
    /// Reads a head, or returns `None` if the connection was closed before its first byte.
    pub(crate) fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        if reader.fill_buf()?.is_empty() {
            return Ok(None);
        }
        let mut head = Self { start_line: read_line(reader)?.into(), headers: Vec::new() };
        loop {
            let line = read_line(reader)?;
            if line.is_empty() {
                return Ok(Some(head));
            }
            let (name, value) = line.split_once(':').ok_or_else(malformed_message)?;
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name.into(), value.trim().into()));
            if head.headers.len() > MAX_HEADERS {
                return Err(malformed_message());
            }
        }
    }

    /// Returns the value of the first header with this name, which must be in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(header, _)| &**header == name).map(|(_, value)| &**value)
    }

    pub(crate) fn wants_close(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Returns the framing that the headers declare, or `default` if they declare none.
    pub(crate) fn framing(&self, default: Framing) -> io::Result<Framing> {
        match (self.header("transfer-encoding"), self.header("content-length")) {
            (Some(_), _) => Ok(Framing::Chunked),
            (None, Some(length)) => {
                length.parse().map(Framing::Length).or(Err(malformed_message()))
            }
            (None, None) => Ok(default),
        }
    }
}

/// Passes a body to `sink` in chunks and returns its length.
///
/// # Errors
///
/// Returns an error of kind `UnexpectedEof` if the body ends before its declared end.
pub(crate) fn read_body(
    reader: &mut impl BufRead,
    framing: Framing,
    sink: &mut dyn FnMut(&[u8]),
) -> io::Result<u64> {
    match framing {
        Framing::Empty => Ok(0),
        Framing::Length(length) => read_exact(reader, length, sink),
        Framing::Chunked => read_chunks(reader, sink),
        Framing::Undeclared => Err(malformed_message()),
    }
}

fn read_chunks(reader: &mut impl BufRead, sink: &mut dyn FnMut(&[u8])) -> io::Result<u64> {
    let mut total = 0;
    loop {
        let line = read_line(reader)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = u64::from_str_radix(size, 16).or(Err(malformed_message()))?;
        if size == 0 {
            while !read_line(reader)?.is_empty() {}
            return Ok(total);
        }
        total += read_exact(reader, size, sink)?;
        if !read_line(reader)?.is_empty() {
            return Err(malformed_message());
        }
    }
}

fn read_exact(
    reader: &mut impl BufRead,
    length: u64,
    sink: &mut dyn FnMut(&[u8]),
) -> io::Result<u64> {
    let mut remaining = length;
    while remaining > 0 {
        let available = reader.fill_buf()?;
        if available.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let count = remaining.min(available.len() as u64);
        sink(&available[..count as usize]);
        reader.consume(count as usize);
        remaining -= count;
    }
    Ok(length)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    reader.take(MAX_LINE_BYTES).read_line(&mut line)?;
    match line.strip_suffix('\n') {
        Some(text) => Ok(text.trim_end_matches('\r').to_owned()),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

fn malformed_message() -> io::Error {
    io::ErrorKind::InvalidData.into()
}
