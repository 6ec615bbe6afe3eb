//! Large responses that end early, after their caller has got the beginning.

mod platform;

use std::thread;
use std::time::Duration;

use platform::judging_caller::{Caller, Seen};
use platform::truncation::{Framing, Path, Shape, Trial, common_shapes, large_shapes};

const ROUTE_TIMEOUT: &str = "3000ms";

const VERSIONS: [&str; 2] = ["HTTP/1.1", "HTTP/1.0"];

/// The time in which a response's beginning reaches its caller.
const PASSING_ON: Duration = Duration::from_secs(1);

/// Sends each request by callers of each version at the same time, and interferes after a while.
fn send_at_once(
    caller: Caller,
    requests: &[String],
    interfere: impl FnOnce(),
) -> Vec<(String, Seen)> {
    thread::scope(|scope| {
        let calls: Vec<_> = requests
            .iter()
            .flat_map(|request| VERSIONS.map(|version| (request, version)))
            .map(|(request, version)| {
                let caller = Caller { version, ..caller };
                scope.spawn(move || (format!("{version} {request}"), caller.send(request)))
            })
            .collect();
        thread::sleep(PASSING_ON);
        interfere();
        calls.into_iter().map(|call| call.join().expect("a caller")).collect()
    })
}

fn check_large_responses(path: Path) {
    for version in VERSIONS {
        let mut trial = Trial::new(large_shapes(), path, ROUTE_TIMEOUT);
        trial.has_large_bodies = true;
        trial.caller.version = version;
        trial.check(|shape| [0, 1, 5, 7, 100_000].map(|end| shape.response.len() - end).to_vec());
    }
}

/// Guards against a large response whose early end looks to its caller like that of the body.
#[test]
fn no_large_response_that_ends_early_looks_whole() {
    check_large_responses(Path::Direct);
}

/// Guards against the same when another VM passes the response on.
#[test]
fn no_large_forwarded_response_that_ends_early_looks_whole() {
    check_large_responses(Path::ByAnotherVm);
}

/// Guards against a large response without a length that the deadline ends, and whose end looks to its caller like
/// that of the body.
#[test]
fn no_large_response_that_stalls_looks_whole() {
    let mut http_1_0 = large_shapes().remove(2);
    http_1_0.response.splice(..8, *b"HTTP/1.0");
    let shapes = vec![common_shapes().remove(0), large_shapes().remove(2), http_1_0];
    let trial = Trial::new(shapes, Path::Direct, ROUTE_TIMEOUT);
    let requests = [1, 2]
        .map(|number| format!("GET /reads/{number}/{}/stall", trial.shapes[number].response.len()));
    for (request, seen) in send_at_once(trial.caller, &requests, || {}) {
        assert_eq!((seen.status, seen.whole_body.is_some()), (200, false), "{request}");
    }
}

/// Guards against a response that the end of another VM, which had got the request, cuts and that looks whole, and
/// against a charge that is reported as not run or runs again.
#[test]
fn no_response_of_a_vm_that_is_killed_looks_whole() {
    let shapes: Vec<_> = [common_shapes(), large_shapes()].concat();
    let mut trial = Trial::new(shapes, Path::ByAnotherVm, ROUTE_TIMEOUT);
    let requests: Vec<_> = (0..trial.shapes.len())
        .flat_map(|number| {
            let cut = trial.shapes[number].response.len() - 8;
            ["GET /reads", "POST /charges"].map(|method| format!("{method}/{number}/{cut}/stall"))
        })
        .collect();
    let other_vm = trial.vms.pop().expect("a VM");
    let seen = send_at_once(trial.caller, &requests, || other_vm.kill());
    let mut passed_on = 0;
    for (request, seen) in &seen {
        println!("{request}: {seen:?}");
        passed_on += usize::from(seen.status == 200);
        let looks_whole = seen.status == 200 && seen.whole_body.is_some();
        assert!(!looks_whole, "{request}: {seen:?}");
        let is_not_run = matches!(seen.status, 408 | 421 | 429 | 503);
        assert!(!(request.contains("POST") && is_not_run), "{request}: {seen:?}");
    }
    assert_eq!(passed_on, seen.len() / 2, "{seen:#?}");
    for request in requests.iter().filter(|request| request.starts_with("POST")) {
        assert_eq!(trial.upstream.runs(request).total, VERSIONS.len(), "{request}");
    }
}

/// Starts an upstream with bodies without a length and without an end, and returns requests for them.
fn endless_bodies() -> (Trial, [String; 2]) {
    let mut chunked = large_shapes().remove(1);
    // The first chunk has no end.
    let head = "HTTP/1.1 200 OK|Transfer-Encoding: chunked|";
    let sent = [b"7fffffff\r\n".as_slice(), &chunked.body].concat();
    chunked = Shape::new("endless_chunk", Framing::Invalid, head, sent, chunked.body);
    let shapes = vec![common_shapes().remove(0), large_shapes().remove(2), chunked];
    let mut trial = Trial::new(shapes, Path::Direct, "30s");
    trial.caller.deadline_ms = 20_000;
    let requests = [1, 2].map(|number| {
        format!("GET /reads/{number}/{}/endless", trial.shapes[number].response.len())
    });
    (trial, requests)
}

/// Guards against a body without a length that the end of the VM's process cuts, and whose end looks to its caller
/// like that of the body.
#[test]
fn no_response_that_the_end_of_its_process_cuts_looks_whole() {
    for signal in ["-TERM", "-KILL"] {
        let (trial, requests) = endless_bodies();
        for (request, seen) in send_at_once(trial.caller, &requests, || trial.vms[0].signal(signal))
        {
            println!("{signal} {request}: {seen:?}");
            assert_eq!(
                (seen.status, seen.whole_body.is_some()),
                (200, false),
                "{signal} {request}"
            );
        }
    }
}

/// Guards against a body that is given up when its caller closes its sending side, and whose end looks to the caller
/// like that of the body.
#[test]
fn no_response_to_a_caller_that_half_closes_looks_whole() {
    let (mut trial, requests) = endless_bodies();
    trial.caller.closes_after = Some(PASSING_ON);
    for (request, seen) in send_at_once(trial.caller, &requests, || {}) {
        println!("{request}: {seen:?}");
        assert_eq!((seen.status, seen.whole_body.is_some()), (200, false), "{request}");
    }
}
