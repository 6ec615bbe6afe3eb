//! Connections to servers that send bytes without end, as both ways to upstreams use them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use sedgepathd::http_connection::{HttpConnection, discard_body};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The time within which a connection is given up.
const PROMPT: Duration = Duration::from_millis(500);

/// Starts a server that answers with a head, and then repeats bytes until its connection is closed.
fn start_server(head: &'static str, repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        let request_bytes = stream.read(&mut request).expect("a request");
        assert!(request_bytes > 0);
        let mut sent = stream.write_all(head.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(repeated.as_bytes());
        }
    });
    address
}

async fn connect(address: SocketAddr) -> HttpConnection<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (connection, driver) = HttpConnection::handshake(stream).await.expect("a handshake");
    tokio::spawn(async move { drop(driver.await) });
    connection
}

/// Guards against a head that takes memory and time until the request's deadline.
#[tokio::test]
async fn a_head_without_end_fails() {
    let endless = [
        ("HTTP/1.1 200 OK\r\nX-Filler: ", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"),
        ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    ];
    for (head, repeated) in endless {
        let mut connection = connect(start_server(head, repeated)).await;
        let sent = connection.try_send_request(Request::new(Full::default()));
        let response = timeout(PROMPT, sent).await.expect("a prompt failure");
        assert!(response.is_err(), "{response:?}");
    }
}

/// Guards against a rejection's body that is read for as long as it comes, into memory.
#[tokio::test]
async fn a_body_that_is_not_needed_is_not_read_without_end() {
    let head = "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut connection = connect(start_server(head, "1\r\nx\r\n")).await;
    let response = connection.try_send_request(Request::new(Full::default())).await;
    let since = Instant::now();
    let is_whole = discard_body(response.expect("a head").into_body()).await;
    assert!(!is_whole && since.elapsed() < PROMPT, "it took {:?}", since.elapsed());
}
