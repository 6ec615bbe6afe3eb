//! The operators' commands against daemons as processes of their own.

use std::path::Path;
use std::time::{Duration, Instant};

use sedgepath::cli::{self, Environment};
use sedgepath::error::{CliError, ExitStatus};
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::store::StoreMode;
use sedgepath_test_support::system::{SECRET, System};
use sedgepath_wire::rpc::{CLOCK_SKEW_CODE, UNAUTHENTICATED_CODE, method};
use sedgepath_wire::signed_call::{self, MAX_CLOCK_SKEW_MS, SignedCall};
use sedgepath_wire::time::unix_ms;
use tempfile::TempDir;

/// What an operator reads of the first change.
const ACCEPTED: &str = "revision 2 is accepted\n";

/// How long a condition that holds within seconds is waited for.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Two daemons of two failure domains, and a directory for files of records.
struct Bench {
    system: System,
    files: TempDir,
}

impl Bench {
    fn new() -> Self {
        Self::with_settings("")
    }

    /// Starts daemons with further lines in their settings.
    fn with_settings(lines: &str) -> Self {
        let mut system = System::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd")))
            .expect("platform")
            .with_settings(lines);
        let upstreams =
            [UpstreamSpec::new("b1", "north-a", 4), UpstreamSpec::new("b2", "south-a", 4)];
        let first = [
            records::places(&[("north", &["north-a"]), ("south", &["south-a"])]),
            records::service("browse", 5_000, &upstreams),
            records::steering("browse", &[("north-a", 1.0), ("south-a", 1.0)], 25.0, 10_000),
        ];
        system.write_records(&first).expect("records");
        system.add_daemon("n1", "north-a").expect("daemon");
        system.add_daemon("s1", "south-a").expect("daemon");
        let bench = Self { system, files: tempfile::tempdir().expect("directory") };
        bench.wait_for(|bench| {
            (0..2).all(|node| {
                let status = bench.run_at(&[node], &["status"]);
                status.is_ok_and(|status| status.contains("revision 1;") && status.contains("live"))
            })
        });
        bench
    }

    fn wait_for(&self, holds: impl Fn(&Self) -> bool) {
        let limit = Instant::now() + WAIT_LIMIT;
        while !holds(self) {
            assert!(Instant::now() < limit, "the condition does not come to hold");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Runs a command that may ask these daemons, and returns its output.
    fn run_at(&self, daemons: &[usize], arguments: &[&str]) -> Result<String, CliError> {
        self.run_with(SECRET, daemons, arguments)
    }

    /// Does the same as an operator with a certain key.
    fn run_with(
        &self,
        key: &str,
        daemons: &[usize],
        arguments: &[&str],
    ) -> Result<String, CliError> {
        let nodes = daemons.iter().map(|daemon| self.system.addresses[*daemon].operators);
        let nodes: Vec<_> = nodes.map(|node| node.to_string()).collect();
        let arguments: Vec<_> = arguments.iter().map(|argument| (*argument).to_owned()).collect();
        let environment = Environment { nodes: Some(nodes.join(",")), key: Some(key.into()) };
        let mut out = Vec::new();
        cli::execute(&arguments, &environment, &mut out)?;
        Ok(String::from_utf8(out).expect("text"))
    }

    fn run(&self, arguments: &[&str]) -> Result<String, CliError> {
        self.run_at(&[0, 1], arguments)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.files.path().join(name);
        std::fs::write(&path, text).expect("file");
        path.display().to_string()
    }

    fn steering(&self, weight: u32) -> String {
        let text = format!(
            "schema: 2\nkind: steering\nname: browse\ngroups:\n  - origin: any\n    shares:\n      \
             - {{domain: north-a, weight: {weight}}}\n      - {{domain: south-a, weight: 1}}\ncap: \
             {{percent: 25, window_ms: 10000}}\n"
        );
        self.file("steering.yaml", &text)
    }
}

fn exit(result: Result<String, CliError>) -> (ExitStatus, String) {
    let error = result.expect_err("an error");
    (error.exit(), error.to_string())
}

/// An operator checks and applies a record at one daemon. It is in force at the other one within
/// seconds, in `get` and `history`; a second operator who expects the revision before is shown the
/// first one's change; and a record with a mistake is refused before it reaches the platform.
#[test]
fn a_record_is_applied_and_a_racing_operator_sees_it() {
    let bench = Bench::new();
    let file = bench.steering(3);
    assert!(bench.run(&["check", &file]).expect("check").contains("on top of revision 1"));
    let applied = bench.run_at(&[0], &["apply", &file, "--expect", "1", "--note", "more north"]);
    assert_eq!(applied.expect("apply"), "revision 2 is accepted\n");
    bench.wait_for(|bench| {
        bench.run_at(&[1], &["get"]).is_ok_and(|listed| listed.starts_with("revision 2 "))
    });
    let shown = bench.run_at(&[1], &["get", "steering", "browse"]).expect("get");
    let again = bench.file("again.yaml", &shown);
    bench.run(&["check", &again]).expect("what get prints can be applied");
    assert!(shown.contains("weight: 3"), "{shown}");
    let history = bench.run(&["history"]).expect("history");
    assert!(history.starts_with("revision 2 at "), "{history}");
    assert!(history.lines().next().expect("a line").ends_with("steering browse: more north"));

    let (code, message) = exit(bench.run_at(&[1], &["apply", &file, "--expect", "1"]));
    assert_eq!(code, ExitStatus::Conflict);
    assert!(message.contains("more north"), "{message}");
    let wrong = bench
        .file("wrong.yaml", "schema: 1\nkind: drain\nname: b9\ntarget: upstream\nactive: true\n");
    assert_eq!(exit(bench.run(&["apply", &wrong])).0, ExitStatus::Rejected);
    assert_eq!(exit(bench.run(&["get", "steering", "nothing"])).0, ExitStatus::Failed);
    assert_eq!(bench.run(&["get"]).expect("get").lines().next(), Some("revision 2 is in force"));
}

/// The platform carries a change out and loses its answer. The operator hears "accepted" all the
/// same, and asking again with the number of the change tells the same revision.
#[test]
fn a_lost_answer_is_settled() {
    let bench = Bench::new();
    bench.system.store.drop_next_answers(1);
    let file = bench.steering(2);
    let arguments = ["apply", &file, "--change-id", "one"];
    assert_eq!(bench.run(&arguments).expect("apply"), "revision 2 is accepted\n");
    assert_eq!(bench.run_at(&[1], &arguments).expect("apply"), "revision 2 is accepted\n");
    assert_eq!(bench.run(&["history"]).expect("history").lines().count(), 2);
}

/// One daemon is killed. Commands go on with the next one that is named, the time line says whose
/// part is missing, and with the other one killed too they say that no node can be reached.
#[test]
fn the_next_node_is_asked_when_one_is_gone() {
    let mut bench = Bench::new();
    let merged = bench.run(&["timeline"]).expect("time line");
    for node in ["n1", "s1"] {
        let ready = merged
            .lines()
            .any(|line| line.contains(&format!(" node={node} ")) && line.contains("event=ready"));
        assert!(ready, "{merged}");
    }
    let stamps = merged.lines().map(|line| line.split(' ').take(2).collect::<Vec<_>>());
    assert!(stamps.clone().count() > 2);
    let times: Vec<u64> = merged
        .lines()
        .map(|line| {
            line["time_ms=".len()..].split(' ').next().expect("time").parse().expect("time")
        })
        .collect();
    assert!(times.is_sorted(), "{merged}");
    bench.system.daemons[0] = None;
    let status = bench.run(&["status"]).expect("status");
    assert!(status.starts_with("s1 serves by revision 1"), "{status}");
    let merged = bench.run(&["timeline"]).expect("time line");
    assert!(merged.contains("no answer from n1 at "), "{merged}");
    bench.system.daemons[1] = None;
    let (code, message) = exit(bench.run(&["status"]));
    assert_eq!(code, ExitStatus::Unreachable);
    assert_eq!(message.lines().count(), 3, "{message}");
}

/// An operator plans the drain of a failure domain, is refused where it can't end in time, starts it
/// and ends it; a daemon explains meanwhile that the domain is drained.
#[test]
fn a_drain_is_planned_started_and_ended() {
    let bench = Bench::new();
    let (code, message) = exit(bench.run(&["drain", "start", "south-a", "--finish-by", "10s"]));
    assert_eq!(
        (code, message.as_str()),
        (ExitStatus::Rejected, "the drain is refused by its plan")
    );
    let plan = bench.run(&["drain", "plan", "south-a", "--finish-by", "1h"]).expect("plan");
    assert!(plan.contains("would end after 39 s"), "{plan}");
    let started = bench.run(&["drain", "start", "south-a", "--finish-by", "1h"]).expect("start");
    assert!(started.ends_with("revision 2 is accepted\n"), "{started}");
    bench.wait_for(|bench| {
        (0..2).all(|node| {
            let told = bench.run_at(&[node], &["explain", "browse"]);
            told.is_ok_and(|told| told.contains("b2 is drained"))
        })
    });
    bench.run(&["drain", "end", "south-a"]).expect("end");
    assert_eq!(exit(bench.run(&["drain", "plan", "nowhere"])).0, ExitStatus::Rejected);
    let told = bench.run(&["explain", "browse", "--json"]).expect("explain");
    let told: serde_json::Value = serde_json::from_str(&told).expect("JSON");
    assert_eq!(told["entrance"], "open");
    assert_eq!(told["class"], "guest");
    assert_eq!(told["candidates"].as_array().map(Vec::len), Some(2));
}

/// The platform goes down and one daemon is started again with an empty memory. It serves callers
/// within seconds by the records that its peer hands it; a change is not accepted meanwhile, which
/// the operator is told; and after the outage it is accepted as if nothing had been.
#[test]
fn a_daemon_restarts_while_the_platform_is_down() {
    let mut bench = Bench::new();
    let file = bench.steering(4);
    assert_eq!(bench.run(&["apply", &file]).expect("apply"), "revision 2 is accepted\n");
    let serves = |bench: &Bench, node: usize| {
        let status = bench.run_at(&[node], &["status"]);
        status.is_ok_and(|status| status.contains(" serves by revision 2;"))
    };
    bench.wait_for(|bench| serves(bench, 0) && serves(bench, 1));
    bench.system.store.set_mode(StoreMode::Refusing);
    bench.system.daemons[1] = None;
    bench.system.start_daemon(1).expect("daemon");
    bench.wait_for(|bench| serves(bench, 1));
    assert_eq!(exit(bench.run(&["apply", &file])).0, ExitStatus::Failed);
    assert_eq!(exit(bench.run(&["history"])).0, ExitStatus::Unreachable);
    bench.system.store.set_mode(StoreMode::Normal);
    assert_eq!(bench.run(&["apply", &file]).expect("apply"), "revision 3 is accepted\n");
}

/// One key of operators is replaced by another: both are in force for a while. An operator with
/// either reads and changes; one with a key that is not, or with none, learns nothing and changes
/// nothing, and a call that was recorded on its way can't be made again. One by a clock far from the
/// node's is told the node's time, and taken by that.
#[test]
fn calls_are_proved_by_a_key_in_force() {
    let (old, new) = ("the key until now", "the key from now on");
    let bench = Bench::with_settings(&format!("operator_keys: [{old}, {new}]\n"));
    let file = bench.steering(3);
    for key in [old, new, SECRET] {
        assert!(bench.run_with(key, &[1], &["status"]).expect("status").contains("serves"));
    }
    let (code, message) = exit(bench.run_with("some other key....", &[0], &["apply", &file]));
    assert_eq!(code, ExitStatus::Failed);
    assert!(message.contains("not proved by a key in force"), "{message}");
    assert_eq!(exit(bench.run_with("some other key....", &[0], &["get"])).0, ExitStatus::Failed);
    assert_eq!(bench.run_with(new, &[0], &["apply", &file]).expect("apply"), ACCEPTED);

    let url = format!("http://{}", bench.system.addresses[0].operators);
    let call = |at_ms, number| {
        let recorded =
            SignedCall::new(&signed_call::derive_call_key(old), method::STATUS, (), at_ms, number);
        let body = serde_json::json!({
            "jsonrpc": "2.0", "id": 1, "method": "sedgepath_status", "params": [recorded],
        });
        let answer = attohttpc::post(&url).json(&body).expect("a body").send();
        answer.expect("an answer").json::<serde_json::Value>().expect("JSON")
    };
    let now_ms = unix_ms();
    let first = call(now_ms, 7);
    assert_eq!(first["result"]["ready"], true, "{first}");
    let again = call(now_ms, 7);
    assert_eq!(again["error"]["code"], UNAUTHENTICATED_CODE, "{again}");
    assert_eq!(again["error"]["message"], "the call was made before");
    let early = call(now_ms - 10 * MAX_CLOCK_SKEW_MS, 8);
    assert_eq!(early["error"]["code"], CLOCK_SKEW_CODE, "{early}");
    let nodes_ms = early["error"]["data"].as_u64().expect("the node's time");
    assert_eq!(call(nodes_ms, 9)["result"]["ready"], true, "by the node's own time");
}

/// The help of each command and wrong command lines.
#[test]
fn help_and_usage() {
    let run = |arguments: &[&str]| {
        let arguments: Vec<_> = arguments.iter().map(|argument| (*argument).to_owned()).collect();
        let mut out = Vec::new();
        cli::execute(&arguments, &Environment::default(), &mut out)
            .map(|()| String::from_utf8(out).expect("text"))
    };
    let overview = run(&["--help"]).expect("help");
    for command in sedgepath::commands::COMMANDS {
        assert!(overview.contains(command.name));
        let help = run(&[command.name, "--help"]).expect("help");
        assert!(help.starts_with(&format!("Usage: sedgepath {}", command.name)), "{help}");
        assert_eq!(run(&["help", command.name]).expect("help"), help);
    }
    assert_eq!(exit(run(&["nothing"])).0, ExitStatus::Usage);
    assert_eq!(exit(run(&["status", "--nothing"])).0, ExitStatus::Usage);
    assert_eq!(exit(run(&["status"])).0, ExitStatus::Usage);
    assert_eq!(exit(run(&["status", "--node", "somewhere"])).0, ExitStatus::Usage);
    assert_eq!(
        run(&["key", "porch-key"]).expect("key").trim(),
        records::key_digest("porch-key").to_hex()
    );
}
