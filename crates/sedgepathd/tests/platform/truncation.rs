//! Responses that end early, and checks of what their callers see.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use sedgepath_test_support::store::StoreStandIn;

use super::cutting_upstream::CuttingUpstream;
use super::judging_caller::{Caller, Seen};
use super::{TestCluster, Vm, configure, wait_for};

/// The threads that send requests.
const CALLERS: usize = 12;

/// How often a request is sent until it reaches the upstream.
const MAX_TRIES: usize = 11;

/// When a response is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// With its last byte.
    Framed,
    /// With the end of its connection, if that isn't a reset.
    EndsWithConnection,
    /// Never: its head contradicts itself.
    Invalid,
}

/// A response of the upstream.
#[derive(Debug, Clone)]
pub struct Shape {
    pub name: &'static str,
    pub response: Vec<u8>,
    pub body: Vec<u8>,
    pub framing: Framing,
    pub methods: &'static [&'static str],
}

impl Shape {
    /// Creates a shape from a head with `|` for its line ends, and from what is sent as its body.
    pub fn new(
        name: &'static str,
        framing: Framing,
        head: &str,
        sent: impl AsRef<[u8]>,
        body: impl Into<Vec<u8>>,
    ) -> Self {
        let (first, fields) = head.split_once('|').expect("a status line");
        let fields = fields.replace('|', "\r\n");
        let head = format!("{first}\r\nX-Sedgepath-Response-Signature: s\r\n{fields}\r\n");
        let response = [head.as_bytes(), sent.as_ref()].concat();
        let methods = &["GET /reads", "POST /charges"];
        Self { name, response, body: body.into(), framing, methods }
    }

    /// Sets the methods and routes of its requests.
    pub fn with_methods(mut self, methods: &'static [&'static str]) -> Self {
        self.methods = methods;
        self
    }

    fn status(&self) -> u16 {
        let line = self.response.split(|byte| *byte == b'\n').next().unwrap_or_default();
        let line = String::from_utf8_lossy(line);
        // Informational responses come before one with 200.
        let status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        if status < 200 { 200 } else { status }
    }

    /// Returns the body with which a response cut here is whole.
    fn whole_body(&self, cut: usize, end: &str) -> Option<&[u8]> {
        match self.framing {
            Framing::Framed => (cut == self.response.len()).then_some(&*self.body),
            Framing::EndsWithConnection => {
                let body_at = self.response.len() - self.body.len();
                (cut >= body_at && end == "fin").then(|| &self.body[..cut - body_at])
            }
            Framing::Invalid => None,
        }
    }
}

/// Returns small shapes with a length, in chunks, and without a length.
pub fn common_shapes() -> Vec<Shape> {
    let chunks = "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    let text = "hello world";
    vec![
        Shape::new(
            "content_length",
            Framing::Framed,
            "HTTP/1.1 200 OK|Content-Length: 11|",
            text,
            text,
        ),
        Shape::new(
            "chunked",
            Framing::Framed,
            "HTTP/1.1 200 OK|Transfer-Encoding: chunked|",
            chunks,
            text,
        ),
        Shape::new("no_length", Framing::EndsWithConnection, "HTTP/1.1 200 OK|", text, text),
    ]
}

/// Returns the same with bodies that are passed on before they have arrived completely.
pub fn large_shapes() -> Vec<Shape> {
    const BODY_BYTES: usize = 1_300_000;
    let body = vec![b'x'; BODY_BYTES];
    let chunks =
        [format!("{BODY_BYTES:x}\r\n").as_bytes(), &body, b"\r\n0\r\n\r\n".as_slice()].concat();
    let head = |field: &str| format!("HTTP/1.1 200 OK|{field}");
    vec![
        Shape::new(
            "large_content_length",
            Framing::Framed,
            &head(&format!("Content-Length: {BODY_BYTES}|")),
            &body,
            body.clone(),
        ),
        Shape::new(
            "large_chunked",
            Framing::Framed,
            &head("Transfer-Encoding: chunked|"),
            chunks,
            body.clone(),
        ),
        Shape::new("large_no_length", Framing::EndsWithConnection, &head(""), &body, body.clone()),
    ]
}

/// How the VM reaches the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// On connections of its own.
    Direct,
    /// By another VM, since packets to the upstream are lost.
    ByAnotherVm,
}

/// The responses of a shape in numbers.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    responses: usize,
    /// Those whose requests reached the upstream.
    ran: usize,
    /// Those that looked whole with the upstream's status.
    whole: usize,
    /// Those that looked whole and weren't, or with another body.
    wrong: usize,
    /// Those that began with the upstream's status and didn't look whole.
    broken: usize,
    /// Those whose requests ran on a connection on which others had run.
    on_kept_connection: usize,
}

/// A response that is to be cut.
#[derive(Debug)]
struct Case {
    shape: usize,
    cut: usize,
    end: &'static str,
    request: String,
}

/// An upstream that cuts its responses, and the VM that passes them on.
#[derive(Debug)]
pub struct Trial {
    pub shapes: Vec<Shape>,
    pub upstream: CuttingUpstream,
    /// The VM that callers reach, and the one that it forwards to, if any.
    pub vms: Vec<Vm>,
    pub caller: Caller,
    /// Requests before each that is cut, on connections of their own.
    pub warm_up_requests: usize,
    /// Whether each request that is cut has another behind it on its connection.
    pub is_pipelined: bool,
    /// Whether bodies are passed on before they have arrived completely.
    pub has_large_bodies: bool,
    _store: StoreStandIn,
    _cluster: TestCluster,
}

impl Trial {
    /// Starts an upstream with these shapes, and VMs.
    pub fn new(shapes: Vec<Shape>, path: Path, route_timeout: &str) -> Self {
        let store = StoreStandIn::new().expect("a store");
        sedgepath::operations::peer_keys::rotate(store.address).expect("a key");
        configure(&store, "0000000c", route_timeout);
        let cluster = TestCluster::new(store.address);
        let cut_from = [cluster.ipv4(1)];
        let vm_count = match path {
            Path::Direct => 1,
            Path::ByAnotherVm => 2,
        };
        let responses = shapes.iter().map(|shape| shape.response.clone());
        let upstream = CuttingUpstream::new(responses, &store, &cut_from[..vm_count - 1]);
        let vms: Vec<_> = (1..=vm_count as u8)
            .map(|number| cluster.start_at_own_address(number, "north-a", &[]))
            .collect();
        for vm in &vms {
            let count = format!("sedgepath_vms {vm_count}");
            wait_for("readiness", || vm.is_ready() && vm.metrics().contains(&count));
        }
        let caller = Caller::new(&vms[0]);
        let trial = Self {
            shapes,
            upstream,
            vms,
            caller,
            warm_up_requests: 0,
            is_pipelined: false,
            has_large_bodies: false,
            _store: store,
            _cluster: cluster,
        };
        wait_for("service", || trial.caller.send(&trial.whole_request("keep")).status == 200);
        trial
    }

    /// Returns a read of the whole first shape.
    pub fn whole_request(&self, end: &str) -> String {
        format!("GET /reads/0/{}/{end}", self.shapes[0].response.len())
    }

    /// Cuts each shape at each byte, and checks what callers see.
    pub fn check_all_cuts(&self) {
        self.check(|shape| (0..=shape.response.len()).collect());
    }

    /// Cuts each shape at these bytes, by FIN and by a reset, and checks what callers see.
    pub fn check(&self, cuts: impl Fn(&Shape) -> Vec<usize>) {
        let mut cases = Vec::new();
        for (number, shape) in self.shapes.iter().enumerate() {
            for cut in cuts(shape) {
                for method in shape.methods {
                    for end in ["fin", "rst"] {
                        let request = format!("{method}/{number}/{cut}/{end}");
                        cases.push(Case { shape: number, cut, end, request });
                    }
                }
            }
        }
        let next = AtomicUsize::new(0);
        let work = || {
            let mut seen = Vec::new();
            while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                seen.push((case, self.send_case(case)));
            }
            seen
        };
        let results: Vec<_> = thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(work)).collect();
            callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
        });
        self.report(&results);
    }

    /// Sends the request of a case until it reaches the upstream.
    fn send_case(&self, case: &Case) -> Vec<Seen> {
        let mut requests = vec![case.request.clone()];
        requests.extend(self.is_pipelined.then(|| self.whole_request("fin")));
        let mut seen = Vec::new();
        for number in 0..MAX_TRIES {
            let warm_ups = if number == 0 { self.warm_up_requests } else { 1 };
            for _ in 0..warm_ups {
                self.caller.send(&self.whole_request("keep"));
            }
            seen = self.caller.send_all(&requests);
            if self.upstream.runs(&case.request).total > 0 {
                break;
            }
        }
        seen
    }

    fn report(&self, results: &[(&Case, Vec<Seen>)]) {
        let mut tallies = vec![Tally::default(); self.shapes.len()];
        let mut violations = Vec::new();
        for (case, seen) in results {
            let violation = self.judge_case(case, seen, &mut tallies[case.shape]);
            violations.extend(violation.map(|what| format!("{what}: {case:?}: {seen:?}")));
        }
        for (shape, tally) in self.shapes.iter().zip(&tallies) {
            println!("{} {}: {tally:?}", self.caller.version, shape.name);
            let Tally { responses, ran, on_kept_connection, .. } = *tally;
            assert!(ran * 10 >= responses * 9, "{}: too few reached the upstream", shape.name);
            assert!(
                self.warm_up_requests == 0 || on_kept_connection * 2 >= responses,
                "{}: too few on kept connections",
                shape.name
            );
        }
        let kinds: BTreeSet<_> = violations.iter().map(|text| text.split(':').next()).collect();
        assert!(
            violations.is_empty(),
            "{} violations {kinds:?}: {:#?}",
            violations.len(),
            &violations[..violations.len().min(12)]
        );
    }

    /// Counts a case, and returns what is wrong with its responses.
    fn judge_case(&self, case: &Case, seen: &[Seen], tally: &mut Tally) -> Option<&'static str> {
        let shape = &self.shapes[case.shape];
        let runs = self.upstream.runs(&case.request);
        let sent = shape.whole_body(case.cut, case.end);
        let has_status = seen[0].status == shape.status();
        let whole = seen[0].whole_body.as_deref().filter(|_| has_status);
        let is_wrong = whole.is_some_and(|body| sent != Some(body));
        tally.responses += 1;
        tally.ran += usize::from(runs.total > 0);
        tally.on_kept_connection += usize::from(runs.on_kept_connections > 0);
        tally.whole += usize::from(whole.is_some());
        tally.wrong += usize::from(is_wrong);
        tally.broken += usize::from(has_status && whole.is_none());
        let is_success = (200..300).contains(&seen[0].status);
        let next_body = seen.get(1).map(|seen| (seen.status, seen.whole_body.as_deref()));
        let is_passed_on = self.has_large_bodies && case.end == "fin";
        let checks = [
            ("wrongly whole", is_wrong),
            ("sent as HTTP/1.0", runs.as_http_1_0 > 0),
            ("not passed on", is_passed_on && !has_status),
            ("another success", is_success && !has_status),
            ("run twice", case.request.starts_with("POST") && runs.total > 1),
            ("untrue", matches!(seen[0].status, 408 | 421 | 429 | 503) && runs.total > 0),
            ("lost", case.end == "fin" && sent.is_some() && runs.total > 0 && whole.is_none()),
            (
                "next response",
                next_body.is_some_and(|next| next != (200, Some(&*self.shapes[0].body))),
            ),
        ];
        checks.into_iter().find_map(|(what, is_so)| is_so.then_some(what))
    }
}
