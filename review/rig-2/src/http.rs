//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::time::Duration;

/// A request as a server reads it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A response as a client reads it.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    #[allow(dead_code)]
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    #[allow(dead_code)]
    pub is_whole: bool,
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(broken("the head ends early"));
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("the head ends early"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("no chunk"))?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let length = usize::from_str_radix(size, 16).map_err(|_| broken("no chunk size"))?;
        if length == 0 {
            while !read_line(reader)?.ok_or_else(|| broken("no last line"))?.is_empty() {}
            return Ok(());
        }
        let start = body.len();
        body.resize(start + length, 0);
        reader.read_exact(&mut body[start..])?;
        read_line(reader)?;
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    body: &mut Vec<u8>,
    ends_with_connection: bool,
) -> io::Result<()> {
    if header(headers, "transfer-encoding").is_some() {
        return read_chunks(reader, body);
    }
    if let Some(length) = header(headers, "content-length") {
        let length: u64 = length.parse().map_err(|_| broken("no length"))?;
        let read = reader.take(length).read_to_end(body)?;
        return if read as u64 == length { Ok(()) } else { Err(broken("the body ends early")) };
    }
    if ends_with_connection {
        reader.read_to_end(body)?;
    }
    Ok(())
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    read_request_after(reader, Duration::ZERO)
}

/// Reads a request, with a pause before its body.
pub fn read_request_after(
    reader: &mut BufReader<TcpStream>,
    pause: Duration,
) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    std::thread::sleep(pause);
    read_body(reader, &headers, &mut body, false)?;
    Ok(Some(Request { method: method.into(), target: target.into(), headers, body }))
}

/// Reads a response. A body that ends early is returned as far as it goes.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Response> {
    let line = read_line(reader)?.ok_or_else(|| broken("closed without an answer"))?;
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| broken("no status"))?;
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    let is_whole = read_body(reader, &headers, &mut body, true).is_ok();
    Ok(Response { status, headers, body, is_whole })
}

pub fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.set_write_timeout(Some(Duration::from_secs(10)))?;
    Ok(stream)
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddressV4, length: u32) -> i32;
}

/// `struct sockaddr_in`.
#[repr(C)]
struct SocketAddressV4 {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const WINDOW_BYTES: i32 = 16 * 1024;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const ETHERNET_SEGMENT_BYTES: i32 = 1_460;

/// Gives a socket, or those that a listener accepts, a small receive buffer and segments as on an Ethernet link.
pub fn set_small_window(fd: i32) {
    // SAFETY: the values live for the calls.
    unsafe {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &ETHERNET_SEGMENT_BYTES, 4);
    }
}

/// Connects with a small receive buffer, and segments as on an Ethernet link: the links of the deployments have small windows, so that a peer that
/// doesn't read blocks the writer.
pub fn connect_with_small_window(address: SocketAddr) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    let SocketAddr::V4(address) = address else { return Err(broken("no IPv4 address")) };
    let raw = SocketAddressV4 {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the structures live for the calls, and the descriptor is owned by the stream from then on.
    let stream = unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        set_small_window(fd);
        if connect(fd, &raw, size_of::<SocketAddressV4>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        stream
    };
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    Ok(stream)
}

/// Sends a request with a connection of its own, and reads the response.
pub fn call(address: SocketAddr, request: &[u8]) -> io::Result<Response> {
    let mut stream = open(address)?;
    stream.write_all(request)?;
    read_response(&mut BufReader::new(stream))
}
