//! What the client makes of each way in which an answer can fail to come.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};

use sedgepath_core::table::{Row, TableRequest, TableResult, TableService, Transaction};
use sedgepath_test_support::store::BlockingTableClient;

/// What a canned server does with one connection after it has read the request.
enum ServerStep {
    Respond(&'static str),
    HoldConnection,
}

/// Serves one connection for each step and returns the requests it read.
fn serve(steps: Vec<ServerStep>) -> (BlockingTableClient, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        steps
            .into_iter()
            .map(|step| {
                let (mut stream, _) = listener.accept().expect("a connection");
                let request = read_request(&mut stream);
                match step {
                    ServerStep::Respond(text) => {
                        stream.write_all(text.as_bytes()).expect("written");
                    }
                    ServerStep::HoldConnection => drop(stream.read(&mut [0])),
                }
                request
            })
            .collect()
    });
    (client(address), server)
}

fn client(address: SocketAddr) -> BlockingTableClient {
    BlockingTableClient::new(address, "table").expect("a client")
}

/// Reads a request whose body, if any, ends with a closing brace or bracket.
fn read_request(stream: &mut TcpStream) -> String {
    let mut request = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&request).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok()
            });
            if body.len() >= length.unwrap_or(0) {
                return text;
            }
        }
        let count = stream.read(&mut chunk).expect("readable");
        assert_ne!(count, 0, "the request ended early: {text}");
        request.extend_from_slice(&chunk[..count]);
    }
}

fn commit() -> TableRequest {
    TableRequest::Commit(Transaction::default())
}

fn read() -> TableRequest {
    TableRequest::Read(vec!["a".into()])
}

#[test]
fn a_failed_commit_is_unknown_and_a_failed_read_is_unavailable() {
    // The store takes the request and then: holds it beyond the time-out, cuts its answer short,
    // answers with a server's error, or answers something that is no result.
    // The commit may have taken effect each time, so the caller must not hear that it did not.
    // A read has no effect, so "unavailable" is true of it.
    let failures = || {
        vec![
            ServerStep::HoldConnection,
            ServerStep::Respond("HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n\"Commi"),
            ServerStep::Respond(
                "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
            ),
            ServerStep::Respond(
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n[]",
            ),
            ServerStep::Respond(""),
        ]
    };
    for (request, expected) in
        [(commit(), TableResult::Unknown), (read(), TableResult::Unavailable)]
    {
        let count = failures().len();
        let (store, server) = serve(failures());
        for step in 0..count {
            assert_eq!(store.execute(&request), expected, "step {step}");
        }
        assert_eq!(server.join().expect("served").len(), count);
    }
}

#[test]
fn a_call_opens_one_connection_to_a_store_that_closes_it() {
    // The store takes connections and closes them at once, as under overload. A call tries one, and
    // ends: were it to connect again and again until its time is up, all VMs together would keep the
    // store down.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let client = client(listener.local_addr().expect("an address"));
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    thread::spawn(move || {
        for stream in listener.incoming() {
            counted.fetch_add(1, Ordering::Relaxed);
            drop(stream);
        }
    });
    for _ in 0..5 {
        assert_ne!(client.execute(&commit()), TableResult::Committed);
    }
    let connections = connections.load(Ordering::Relaxed);
    assert!(connections <= 5, "{connections} connections for 5 calls");
}

#[test]
fn a_rejected_commit_was_not_applied() {
    // The store answers 503, then nobody listens at its address any more.
    // The caller hears "unavailable" both times and may safely say that nothing was written.
    let (store, server) = serve(vec![ServerStep::Respond(
        "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
    )]);
    assert_eq!(store.execute(&commit()), TableResult::Unavailable);
    server.join().expect("served");
    assert_eq!(store.execute(&commit()), TableResult::Unavailable);
}

#[test]
fn only_a_complete_chunked_result_is_accepted() {
    // The store's results come in chunks, as a long scan's do: the first one whole, the second one
    // cut off inside its last chunk, the third without the chunk that ends it.
    // The caller sees rows, then "unavailable" twice, never fewer rows than there are.
    let (store, server) = serve(vec![
        ServerStep::Respond(concat!(
            "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n",
            "8\r\n{\"rows\":\r\n3\r\n[]}\r\n0\r\n\r\n"
        )),
        ServerStep::Respond(concat!(
            "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n",
            "8\r\n{\"rows\":\r\n3\r\n[]"
        )),
        ServerStep::Respond(concat!(
            "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n",
            "8\r\n{\"rows\":\r\n3\r\n[]}\r\n"
        )),
    ]);
    assert_eq!(store.execute(&read()), TableResult::Rows(Vec::new()));
    for _ in 0..2 {
        assert_eq!(store.execute(&read()), TableResult::Unavailable);
    }
    server.join().expect("served");
}

#[test]
fn a_result_without_a_length_is_accepted_only_if_complete() {
    // The store's answer ends with its connection: once in the middle of a row, once whole.
    // The caller sees "unavailable", then the row.
    let (store, server) = serve(vec![
        ServerStep::Respond("HTTP/1.1 200 OK\r\n\r\n{\"rows\":[{\"key\":\"a\",\"val"),
        ServerStep::Respond(concat!(
            "HTTP/1.1 200 OK\r\n\r\n",
            r#"{"rows":[{"key":"a","value":"bWluZQ==","ver":7}],"hasMore":false,"ver":9}"#
        )),
    ]);
    assert_eq!(store.execute(&read()), TableResult::Unavailable);
    let row = Row { key: "a".into(), version: 7, value: "mine".into() };
    assert_eq!(store.execute(&read()), TableResult::Rows(vec![row]));
    server.join().expect("served");
}

#[test]
fn rejections_are_unavailable_and_server_errors_unknown() {
    // The store turns a commit away (429, 403) and fails with an error of its own (502).
    // Only a refusal proves that nothing was written.
    let (store, server) = serve(vec![
        ServerStep::Respond("HTTP/1.1 429 Busy\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"),
        ServerStep::Respond("HTTP/1.1 403 No\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"),
        ServerStep::Respond("HTTP/1.1 502 Oops\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"),
    ]);
    for expected in [TableResult::Unavailable, TableResult::Unavailable, TableResult::Unknown] {
        assert_eq!(store.execute(&commit()), expected);
    }
    server.join().expect("served");
}
