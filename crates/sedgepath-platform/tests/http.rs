//! What the client makes of each way in which an answer can fail to come.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};

use sedgepath_core::table::{TableRequest, TableResult, Transaction};
use sedgepath_platform::{HttpPlatform, ObjectStore, PlatformError, TableService, VmList, VmState};

/// What a canned server does with one connection after it has read the request.
enum Step {
    Answer(&'static str),
    Hold,
}

/// Serves one connection for each step and returns the requests it read.
fn serve(steps: Vec<Step>) -> (HttpPlatform, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        steps
            .into_iter()
            .map(|step| {
                let (mut stream, _) = listener.accept().expect("a connection");
                let request = read_request(&mut stream);
                match step {
                    Step::Answer(text) => stream.write_all(text.as_bytes()).expect("written"),
                    Step::Hold => drop(stream.read(&mut [0])),
                }
                request
            })
            .collect()
    });
    (client(addr), server)
}

fn client(addr: SocketAddr) -> HttpPlatform {
    HttpPlatform::new(format!("http://{addr}/")).with_timeout_ms(300)
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
fn a_commit_without_a_whole_answer_is_unknown_and_a_read_unavailable() {
    // The platform takes the request and then: holds it beyond the time-out, cuts its answer short,
    // answers with a server's error, or answers something that is no result.
    // The commit may have taken effect each time, so the caller must not hear that it did not.
    // A read has no effect, so "unavailable" is true of it.
    let failures = || {
        vec![
            Step::Hold,
            Step::Answer("HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n\"Commi"),
            Step::Answer("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n"),
            Step::Answer("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"),
            Step::Answer(""),
        ]
    };
    for (request, expected) in
        [(commit(), TableResult::Unknown), (read(), TableResult::Unavailable)]
    {
        let count = failures().len();
        let (platform, server) = serve(failures());
        for step in 0..count {
            assert_eq!(platform.execute(&request), expected, "step {step}");
        }
        assert_eq!(server.join().expect("served").len(), count);
    }
}

#[test]
fn a_refused_commit_was_not_carried_out() {
    // The platform answers 503, then nobody listens at its address any more.
    // The caller hears "unavailable" both times and may safely say that nothing was written.
    let (platform, server) =
        serve(vec![Step::Answer("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")]);
    assert_eq!(platform.execute(&commit()), TableResult::Unavailable);
    server.join().expect("served");
    assert_eq!(platform.execute(&commit()), TableResult::Unavailable);
}

#[test]
fn a_chunked_result_is_taken_when_it_is_whole_and_only_then() {
    // The platform's results come in chunks, as a long scan's do: the first one whole, the second
    // one cut off inside its last chunk, the third without the chunk that ends it.
    // The caller sees rows, then "unavailable" twice, never fewer rows than there are.
    let (platform, server) = serve(vec![
        Step::Answer(concat!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "8\r\n{\"Rows\":\r\n3\r\n[]}\r\n0\r\n\r\n"
        )),
        Step::Answer(concat!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "8\r\n{\"Rows\":\r\n3\r\n[]"
        )),
        Step::Answer(concat!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "8\r\n{\"Rows\":\r\n3\r\n[]}\r\n"
        )),
    ]);
    assert_eq!(platform.execute(&read()), TableResult::Rows(Vec::new()));
    for _ in 0..2 {
        assert_eq!(platform.execute(&read()), TableResult::Unavailable);
    }
    server.join().expect("served");
}

#[test]
fn half_an_object_is_never_taken_for_the_object() {
    // The platform declares ten bytes, sends four and closes; then it sends a body that ends with
    // the connection, and a chunked one.
    // The caller sees a failure each time: the library takes an early close for the end, and does
    // not tell the last two apart.
    let (platform, server) = serve(vec![
        Step::Answer("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf"),
        Step::Answer("HTTP/1.1 200 OK\r\n\r\nhalf"),
        Step::Answer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"),
        Step::Answer("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull"),
        Step::Answer("HTTP/1.1 404 Gone\r\ncontent-length: 0\r\n\r\n"),
    ]);
    let cut = platform.get("guides/a.pdf");
    assert!(matches!(cut, Err(PlatformError::Unavailable)), "{cut:?}");
    for _ in 0..2 {
        let unsure = platform.get("guides/a.pdf");
        assert!(matches!(unsure, Err(PlatformError::NoLength)), "{unsure:?}");
    }
    let whole = platform.get("guides/a.pdf").expect("whole");
    assert_eq!(whole.as_deref(), Some(&b"full"[..]));
    assert_eq!(platform.get("guides/a.pdf").expect("answered"), None);
    let requests = server.join().expect("served");
    assert!(requests[0].starts_with("GET /objects/guides/a.pdf HTTP/1.1\r\n"));
}

#[test]
fn a_lost_answer_to_an_object_write_is_unknown() {
    // The platform takes an object and closes without an answer, then answers 500, then 403.
    // Only the refusal proves that nothing was stored.
    let (platform, server) = serve(vec![
        Step::Answer(""),
        Step::Answer("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n"),
        Step::Answer("HTTP/1.1 403 No\r\ncontent-length: 0\r\n\r\n"),
        Step::Answer("HTTP/1.1 204 Done\r\ncontent-length: 0\r\n\r\n"),
    ]);
    for _ in 0..2 {
        let lost = platform.put("a", b"bytes");
        assert!(matches!(lost, Err(PlatformError::Unknown)), "{lost:?}");
    }
    let refused = platform.put("a", b"bytes");
    assert!(matches!(refused, Err(PlatformError::Refused { status: 403 })));
    platform.delete("a").expect("removed");
    let requests = server.join().expect("served");
    assert!(requests[0].ends_with("\r\n\r\nbytes"));
    assert!(requests[3].starts_with("DELETE /objects/a "));
}

#[test]
fn a_name_that_would_change_the_path_is_refused_without_a_request() {
    // Nobody listens: a request would give "unavailable" rather than the name's own error.
    let nobody = client("127.0.0.1:9".parse().expect("an address"));
    for name in ["", "../table", "a/./b", "a//b", "a?b", "a#b", "a%2e", "a b", "é"] {
        let refused = nobody.get(name);
        assert!(matches!(refused, Err(PlatformError::InvalidName { .. })), "{name}");
    }
}

#[test]
fn the_vm_list_keeps_its_age() {
    // The list says when it was true; the caller judges by this and not by when it asked.
    let (platform, server) = serve(vec![Step::Answer(concat!(
        "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n",
        r#"{"as_of_ms":7,"vms":[{"name":"vm-1","domain":"gulf-a","peers":"127.0.0.1:7000","state":"leaving"}]}"#
    ))]);
    let list = platform.list().expect("listed");
    server.join().expect("served");
    assert_eq!(list.as_of_ms, 7);
    assert_eq!(list.vms[0].state, VmState::Leaving);
}
