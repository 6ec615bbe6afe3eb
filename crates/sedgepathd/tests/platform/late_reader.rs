//! An upstream that works for a while before it reads the body of a request.

use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use sedgepath_test_support::packet_filter::drop_packets_from;

use super::upstream::read_head;

/// Starts an upstream that works for a time before it reads the body of a request, and that some VMs don't
/// reach, and returns its address. It runs until the test's process ends.
pub fn start(work: Duration, cut_from: &[Ipv4Addr]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    drop_packets_from(&listener, cut_from).expect("a filter");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(&stream, work));
        }
    });
    address
}

/// Serves a connection until it ends.
fn serve(mut stream: &TcpStream, work: Duration) -> Option<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let (_line, fields) = read_head(&mut reader)?;
        thread::sleep(work);
        let body_bytes = fields.get("content-length").map_or(0, |text| text.parse().unwrap_or(0));
        reader.read_exact(&mut vec![0; body_bytes]).ok()?;
        let id = fields.get("x-sedgepath-attempt-id").map_or("", String::as_str);
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Sedgepath-Attempt-Id: {id}\r\n\
             X-Sedgepath-Response-Signature: s.{id}\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(response.as_bytes()).ok()?;
    }
}
