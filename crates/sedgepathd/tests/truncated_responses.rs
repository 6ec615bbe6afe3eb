//! Small responses that end early: after each byte of the head and the body, by FIN or reset.

mod platform;

use platform::truncation::{Framing, Path, Shape, Trial, common_shapes};

const ROUTE_TIMEOUT: &str = "3000ms";

fn shapes() -> Vec<Shape> {
    use Framing::{EndsWithConnection, Framed, Invalid};
    let chunks = "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    let trailers = "5\r\nhello\r\n6\r\n world\r\n0\r\nX-T: 1\r\n\r\n";
    let text = "hello world";
    let ok = |name, framing, fields: &str, sent: &str| {
        Shape::new(name, framing, &format!("HTTP/1.1 200 OK|{fields}"), sent, text)
    };
    let without_body = |name, head| Shape::new(name, Framed, head, "", "");
    let mut informational = ok("informational", Framed, "Content-Length: 11|", text);
    informational
        .response
        .splice(0..0, *b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n");
    let mut bare_lf = ok("bare_lf", Framed, "Content-Length: 11|", text);
    bare_lf.response.retain(|byte| *byte != b'\r');
    let reads: &[_] = &["GET /reads", "HEAD /reads"];
    let mut shapes = common_shapes();
    shapes.extend([
        ok("trailers", Framed, "Transfer-Encoding: chunked|", trailers),
        Shape::new("http_1_0", EndsWithConnection, "HTTP/1.0 200 OK|", text, text),
        informational,
        bare_lf,
        ok("equal_lengths", Framed, "Content-Length: 11|Content-Length: 11|", text),
        ok("two_lengths", Invalid, "Content-Length: 5|Content-Length: 11|", text),
        ok("folded_length", Invalid, "Content-Length:| 11|", text),
        ok(
            "length_5_and_chunked",
            Invalid,
            "Content-Length: 5|Transfer-Encoding: chunked|",
            chunks,
        ),
        ok("length_and_other_coding", Invalid, "Content-Length: 11|Transfer-Encoding: x|", text),
        without_body("head", "HTTP/1.1 200 OK|Content-Length: 11|").with_methods(&["HEAD /reads"]),
        without_body("head_chunked", "HTTP/1.1 200 OK|Transfer-Encoding: chunked|")
            .with_methods(&["HEAD /reads"]),
        without_body("no_content", "HTTP/1.1 204 No Content|"),
        without_body("not_modified", "HTTP/1.1 304 Not Modified|Content-Length: 11|")
            .with_methods(reads),
    ]);
    shapes
}

/// Guards against a response that its upstream broke off, in its head or body, and that reaches the caller as a
/// whole one, and against a charge that runs twice or is rejected as not run after it ran.
#[test]
fn no_response_that_ends_early_looks_whole() {
    Trial::new(shapes(), Path::Direct, ROUTE_TIMEOUT).check_all_cuts();
}

/// Guards against an early end that only a caller whose body may end with its connection takes for a whole one.
#[test]
fn no_response_that_ends_early_looks_whole_to_an_http_1_0_caller() {
    let mut trial = Trial::new(shapes(), Path::Direct, ROUTE_TIMEOUT);
    trial.shapes.truncate(5);
    trial.caller.version = "HTTP/1.0";
    trial.check_all_cuts();
}

/// Guards against an early end on a connection whose earlier responses were whole.
#[test]
fn no_response_that_ends_early_on_a_kept_connection_looks_whole() {
    let mut trial = Trial::new(common_shapes(), Path::Direct, ROUTE_TIMEOUT);
    trial.warm_up_requests = 3;
    trial.check_all_cuts();
}

/// Guards against an early end that a pipelined caller takes for the beginning of its next response.
#[test]
fn no_response_that_ends_early_before_another_looks_whole() {
    let mut trial = Trial::new(common_shapes(), Path::Direct, ROUTE_TIMEOUT);
    trial.is_pipelined = true;
    trial.check_all_cuts();
}

/// Guards against an early end that another VM, which forwarded the request, takes for a whole response.
#[test]
fn no_forwarded_response_that_ends_early_looks_whole() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let mut trial = Trial::new(common_shapes(), Path::ByAnotherVm, ROUTE_TIMEOUT);
        trial.caller.version = version;
        trial.check_all_cuts();
    }
}

/// Guards against bytes behind a whole response that are taken for the beginning of the next one.
#[test]
fn bytes_behind_a_response_belong_to_no_other() {
    let trial = Trial::new(common_shapes(), Path::Direct, ROUTE_TIMEOUT);
    let mut wrong = Vec::new();
    for (number, shape) in trial.shapes.iter().enumerate().take(2) {
        for cut in 0..=shape.response.len() {
            for request in [format!("GET /reads/{number}/{cut}/left"), trial.whole_request("keep")]
            {
                let seen = trial.caller.send(&request);
                if (seen.status, seen.whole_body.as_deref()) != (200, Some(b"hello world")) {
                    wrong.push(format!("{request}: {seen:?}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{} wrong: {:#?}", wrong.len(), &wrong[..wrong.len().min(12)]);
}

/// Guards against a response that says that its request didn't run, whose end isn't certain, and whose connection
/// another request then gets with the rest of it.
#[test]
fn a_rejection_with_a_contradictory_length_is_the_last_response_of_its_connection() {
    let mut shapes = common_shapes();
    let chunks = "0\r\n\r\n";
    let length = chunks.len() + shapes[0].response.len();
    let head = format!(
        "HTTP/1.1 503 Service Unavailable|X-Sedgepath-Not-Executed: 1|Content-Length: {length}|\
         Transfer-Encoding: chunked|"
    );
    shapes.push(Shape::new("rejection", Framing::Invalid, &head, chunks, ""));
    let trial = Trial::new(shapes, Path::Direct, ROUTE_TIMEOUT);
    let mut wrong = Vec::new();
    for _ in 0..60 {
        let seen = trial.caller.send("GET /reads/3/0/late");
        wrong.extend((seen.status != 503).then_some(seen));
    }
    for _ in 0..120 {
        let seen = trial.caller.send(&trial.whole_request("keep"));
        if (seen.status, seen.whole_body.as_deref()) != (200, Some(b"hello world")) {
            wrong.push(seen);
        }
    }
    assert!(wrong.is_empty(), "{} wrong: {:#?}", wrong.len(), &wrong[..wrong.len().min(12)]);
}
