//! An upstream that responds before it has read the body of its request.

use std::io::{self, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use sedgepath_test_support::packet_filter::drop_packets_from;

use super::upstream::read_head;

/// The bytes of a request's body that the upstream reads before it responds.
const READ_BEFORE_RESPONSE_BYTES: usize = 300 * 1024;

/// What the upstream does with a connection after its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterResponse {
    /// Reads the rest of the body, and further requests.
    KeepOpen,
    /// States that it closes the connection, ends its sending side, and reads until the other side closes.
    Close,
}

/// An upstream that responds early, and runs until the test's process ends.
#[derive(Debug)]
pub struct EarlyUpstream {
    listener: Arc<TcpListener>,
    /// The address on which it listens.
    pub address: SocketAddr,
}

impl EarlyUpstream {
    /// Starts an upstream that responds early to requests whose bodies are longer than 300 KiB, with bodies of
    /// this many bytes.
    pub fn new(response_bytes: usize, after: AfterResponse) -> Self {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").expect("a port"));
        let address = listener.local_addr().expect("an address");
        let accepting = Arc::clone(&listener);
        thread::spawn(move || {
            for stream in accepting.incoming().flatten() {
                thread::spawn(move || serve(&stream, response_bytes, after));
            }
        });
        Self { listener, address }
    }

    /// Drops the packets of new connections from these addresses.
    pub fn cut_from(&self, vms: &[Ipv4Addr]) {
        drop_packets_from(&*self.listener, vms).expect("a filter");
    }
}

/// Serves a connection until it ends.
fn serve(mut stream: &TcpStream, response_bytes: usize, after: AfterResponse) -> Option<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let (_line, fields) = read_head(&mut reader)?;
        let body_bytes = fields.get("content-length").map_or(0, |text| text.parse().unwrap_or(0));
        let read_bytes = READ_BEFORE_RESPONSE_BYTES.min(body_bytes);
        reader.read_exact(&mut vec![0; read_bytes]).ok()?;
        let id = fields.get("x-sedgepath-attempt-id").map_or("", String::as_str);
        let connection = match after {
            AfterResponse::KeepOpen => "",
            AfterResponse::Close => "Connection: close\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Sedgepath-Attempt-Id: {id}\r\n{connection}\
             X-Sedgepath-Response-Signature: s.{id}\r\nContent-Length: {response_bytes}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(&vec![b'x'; response_bytes]).ok()?;
        if after == AfterResponse::Close {
            stream.shutdown(Shutdown::Write).ok()?;
            io::copy(&mut reader, &mut io::sink()).ok()?;
            return Some(());
        }
        reader.read_exact(&mut vec![0; body_bytes - read_bytes]).ok()?;
    }
}
