//! Connections to servers that send bytes without end, as both ways to upstreams use them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use sedgepath_wire::tcp;
use sedgepathd::http_connection::{HttpConnection, discard_body};
use socket2::SockRef;
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

/// The longer time that a request with a large body sets.
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against an idle connection whose server is lost and that seems open for as long as its last request
/// might have taken.
#[tokio::test]
async fn an_idle_connection_notices_a_lost_server_as_soon_as_before() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        while stream.read(&mut request).is_ok_and(|bytes| bytes > 0) {
            let _sent = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    let stream = tcp::connect(address, PROMPT).await.expect("a connection");
    let stream = stream.into_std().expect("a socket");
    let socket = stream.try_clone().expect("a second handle");
    let user_timeout = || SockRef::from(&socket).tcp_user_timeout().expect("an option");
    let stream = TcpStream::from_std(stream).expect("a stream");
    let (mut connection, driver) = HttpConnection::handshake(stream).await.expect("a handshake");
    tokio::spawn(async move { drop(driver.await) });

    connection.set_unacknowledged_timeout(LONG_TIMEOUT);
    let request = Request::new(Full::new(Bytes::from_static(b"body")));
    let response = connection.try_send_request(request).await.expect("a response");
    assert_eq!(user_timeout(), Some(LONG_TIMEOUT));
    assert!(discard_body(response.into_body()).await);
    connection.record_idle();

    let since = Instant::now();
    while user_timeout() != Some(tcp::UNACKNOWLEDGED_TIMEOUT) {
        assert!(since.elapsed() < PROMPT, "{:?}", user_timeout());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
