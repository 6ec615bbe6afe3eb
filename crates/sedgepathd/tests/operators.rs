//! Tests the operators' commands against daemons that run as separate processes.

use std::path::Path;
use std::time::{Duration, Instant};

use sedgepath::cli::{self, Environment};
use sedgepath::error::{CliError, ExitStatus};
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::store::StoreMode;
use sedgepath_test_support::system::{DaemonCluster, SECRET};
use sedgepath_wire::rpc::{CLOCK_SKEW_CODE, UNAUTHENTICATED_CODE, method};
use sedgepath_wire::signed_call::{self, MAX_CLOCK_SKEW_MS, SignedCall};
use sedgepath_wire::time::unix_ms;
use tempfile::TempDir;

/// The output of a command whose change becomes revision 2.
const REVISION_2_ACCEPTED: &str = "revision 2 is accepted\n";

/// The maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Two daemons in different failure domains, and a directory for record files.
struct TestSystem {
    system: DaemonCluster,
    files: TempDir,
}

impl TestSystem {
    fn new() -> Self {
        Self::with_settings("")
    }

    /// Starts daemons with additional lines in their settings.
    fn with_settings(lines: &str) -> Self {
        let mut system = DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd")))
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
        let fixture = Self { system, files: tempfile::tempdir().expect("directory") };
        fixture.wait_for(|fixture| {
            (0..2).all(|node| {
                let status = fixture.run_at(&[node], &["status"]);
                status.is_ok_and(|status| status.contains("revision 1;") && status.contains("live"))
            })
        });
        fixture
    }

    fn wait_for(&self, holds: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < deadline, "the condition does not hold in time");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Runs a command that may call only these daemons, and returns its output.
    fn run_at(&self, daemons: &[usize], arguments: &[&str]) -> Result<String, CliError> {
        self.run_with_key(SECRET, daemons, arguments)
    }

    /// Runs a command that signs its calls with this key and may call only these daemons.
    fn run_with_key(
        &self,
        key: &str,
        daemons: &[usize],
        arguments: &[&str],
    ) -> Result<String, CliError> {
        let nodes = daemons.iter().map(|daemon| self.system.addresses[*daemon].operator_address);
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

    fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.files.path().join(name);
        std::fs::write(&path, text).expect("file");
        path.display().to_string()
    }

    fn write_steering(&self, weight: u32) -> String {
        let text = format!(
            "schema: 2\nkind: steering\nname: browse\ngroups:\n  - origin: any\n    shares:\n      \
             - {{domain: north-a, weight: {weight}}}\n      - {{domain: south-a, weight: 1}}\ncap: \
             {{percent: 25, window_ms: 10000}}\n"
        );
        self.write_file("steering.yaml", &text)
    }
}

fn exit_and_message(result: Result<String, CliError>) -> (ExitStatus, String) {
    let error = result.expect_err("an error");
    (error.exit(), error.to_string())
}

/// Guards against a change that doesn't reach the other daemon, overwrites a concurrent operator's
/// change, or is accepted with an invalid record.
#[test]
fn a_record_is_applied_and_a_concurrent_change_is_reported() {
    let fixture = TestSystem::new();
    let file = fixture.write_steering(3);
    assert!(fixture.run(&["check", &file]).expect("check").contains("on top of revision 1"));
    let applied = fixture.run_at(&[0], &["apply", &file, "--expect", "1", "--note", "more north"]);
    assert_eq!(applied.expect("apply"), "revision 2 is accepted\n");
    fixture.wait_for(|fixture| {
        fixture.run_at(&[1], &["get"]).is_ok_and(|listed| listed.starts_with("revision 2 "))
    });
    let shown = fixture.run_at(&[1], &["get", "steering", "browse"]).expect("get");
    let again = fixture.write_file("again.yaml", &shown);
    fixture.run(&["check", &again]).expect("what get prints can be applied");
    assert!(shown.contains("weight: 3"), "{shown}");
    let history = fixture.run(&["history"]).expect("history");
    assert!(history.starts_with("revision 2 at "), "{history}");
    assert!(history.lines().next().expect("a line").ends_with("steering browse: more north"));

    let (code, message) =
        exit_and_message(fixture.run_at(&[1], &["apply", &file, "--expect", "1"]));
    assert_eq!(code, ExitStatus::Conflict);
    assert!(message.contains("more north"), "{message}");
    let wrong = fixture.write_file(
        "wrong.yaml",
        "schema: 1\nkind: drain\nname: b9\ntarget: upstream\nactive: true\n",
    );
    assert_eq!(exit_and_message(fixture.run(&["apply", &wrong])).0, ExitStatus::Rejected);
    assert_eq!(
        exit_and_message(fixture.run(&["get", "steering", "nothing"])).0,
        ExitStatus::Failed
    );
    assert_eq!(fixture.run(&["get"]).expect("get").lines().next(), Some("revision 2 is in force"));
}

/// Guards against a change that is reported as failed, or made twice, when the platform's response
/// is lost.
#[test]
fn a_change_with_a_lost_response_is_accepted_once() {
    let fixture = TestSystem::new();
    fixture.system.store.drop_next_answers(1);
    let file = fixture.write_steering(2);
    let arguments = ["apply", &file, "--change-id", "one"];
    assert_eq!(fixture.run(&arguments).expect("apply"), "revision 2 is accepted\n");
    assert_eq!(fixture.run_at(&[1], &arguments).expect("apply"), "revision 2 is accepted\n");
    assert_eq!(fixture.run(&["history"]).expect("history").lines().count(), 2);
}

/// Guards against commands that fail while a listed daemon is reachable, and against a timeline
/// that hides which daemon's part is missing.
#[test]
fn commands_use_the_next_node_when_one_is_unreachable() {
    let mut fixture = TestSystem::new();
    let merged = fixture.run(&["timeline"]).expect("time line");
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
    fixture.system.daemons[0] = None;
    let status = fixture.run(&["status"]).expect("status");
    assert!(status.starts_with("s1 serves by revision 1"), "{status}");
    let merged = fixture.run(&["timeline"]).expect("time line");
    assert!(merged.contains("no answer from n1 at "), "{merged}");
    fixture.system.daemons[1] = None;
    let (code, message) = exit_and_message(fixture.run(&["status"]));
    assert_eq!(code, ExitStatus::Unreachable);
    assert_eq!(message.lines().count(), 3, "{message}");
}

/// Guards against a drain that starts although its plan can't end in time, and against a drain that
/// the daemons don't apply.
#[test]
fn a_drain_is_planned_started_and_ended() {
    let fixture = TestSystem::new();
    let (code, message) =
        exit_and_message(fixture.run(&["drain", "start", "south-a", "--finish-by", "10s"]));
    assert_eq!(
        (code, message.as_str()),
        (ExitStatus::Rejected, "the drain is refused by its plan")
    );
    let plan = fixture.run(&["drain", "plan", "south-a", "--finish-by", "1h"]).expect("plan");
    assert!(plan.contains("would end after 39 s"), "{plan}");
    let started = fixture.run(&["drain", "start", "south-a", "--finish-by", "1h"]).expect("start");
    assert!(started.ends_with("revision 2 is accepted\n"), "{started}");
    fixture.wait_for(|fixture| {
        (0..2).all(|node| {
            let explanation = fixture.run_at(&[node], &["explain", "browse"]);
            explanation.is_ok_and(|explanation| explanation.contains("b2 is drained"))
        })
    });
    fixture.run(&["drain", "end", "south-a"]).expect("end");
    assert_eq!(
        exit_and_message(fixture.run(&["drain", "plan", "nowhere"])).0,
        ExitStatus::Rejected
    );
    let explanation = fixture.run(&["explain", "browse", "--json"]).expect("explain");
    let explanation: serde_json::Value = serde_json::from_str(&explanation).expect("JSON");
    assert_eq!(explanation["entrance"], "open");
    assert_eq!(explanation["class"], "guest");
    assert_eq!(explanation["candidates"].as_array().map(Vec::len), Some(2));
}

/// Guards against a daemon that can't restart from its peer's records while the platform is down,
/// and against changes that are accepted meanwhile or rejected afterwards.
#[test]
fn a_daemon_restarts_while_the_platform_is_down() {
    let mut fixture = TestSystem::new();
    let file = fixture.write_steering(4);
    assert_eq!(fixture.run(&["apply", &file]).expect("apply"), "revision 2 is accepted\n");
    let serves = |fixture: &TestSystem, node: usize| {
        let status = fixture.run_at(&[node], &["status"]);
        status.is_ok_and(|status| status.contains(" serves by revision 2;"))
    };
    fixture.wait_for(|fixture| serves(fixture, 0) && serves(fixture, 1));
    fixture.system.store.set_mode(StoreMode::Refusing);
    fixture.system.daemons[1] = None;
    fixture.system.start_daemon(1).expect("daemon");
    fixture.wait_for(|fixture| serves(fixture, 1));
    assert_eq!(exit_and_message(fixture.run(&["apply", &file])).0, ExitStatus::Failed);
    assert_eq!(exit_and_message(fixture.run(&["history"])).0, ExitStatus::Unreachable);
    fixture.system.store.set_mode(StoreMode::Normal);
    assert_eq!(fixture.run(&["apply", &file]).expect("apply"), "revision 3 is accepted\n");
}

/// Guards against calls that are accepted with an unknown key, as a replay, or with a clock far
/// from the node's, and against rejecting one of two keys while a key is replaced.
#[test]
fn calls_must_be_signed_with_a_configured_key() {
    let (old, new) = ("the key until now", "the key from now on");
    let fixture = TestSystem::with_settings(&format!("operator_keys: [{old}, {new}]\n"));
    let file = fixture.write_steering(3);
    for key in [old, new, SECRET] {
        assert!(fixture.run_with_key(key, &[1], &["status"]).expect("status").contains("serves"));
    }
    let (code, message) =
        exit_and_message(fixture.run_with_key("some other key....", &[0], &["apply", &file]));
    assert_eq!(code, ExitStatus::Failed);
    assert!(message.contains("not proved by a key in force"), "{message}");
    assert_eq!(
        exit_and_message(fixture.run_with_key("some other key....", &[0], &["get"])).0,
        ExitStatus::Failed
    );
    assert_eq!(
        fixture.run_with_key(new, &[0], &["apply", &file]).expect("apply"),
        REVISION_2_ACCEPTED
    );

    let url = format!("http://{}", fixture.system.addresses[0].operator_address);
    let call = |at_ms, number| {
        let recorded =
            SignedCall::new(&signed_call::derive_call_key(old), method::STATUS, (), at_ms, number);
        let body = serde_json::json!({
            "jsonrpc": "2.0", "id": 1, "method": "sedgepath_status", "params": [recorded],
        });
        let response = attohttpc::post(&url).json(&body).expect("a body").send();
        response.expect("a response").json::<serde_json::Value>().expect("JSON")
    };
    let now_ms = unix_ms();
    let first = call(now_ms, 7);
    assert_eq!(first["result"]["ready"], true, "{first}");
    let replayed = call(now_ms, 7);
    assert_eq!(replayed["error"]["code"], UNAUTHENTICATED_CODE, "{replayed}");
    assert_eq!(replayed["error"]["message"], "the call was made before");
    let early = call(now_ms - 10 * MAX_CLOCK_SKEW_MS, 8);
    assert_eq!(early["error"]["code"], CLOCK_SKEW_CODE, "{early}");
    let node_time_ms = early["error"]["data"].as_u64().expect("the node's time");
    assert_eq!(call(node_time_ms, 9)["result"]["ready"], true, "with the node's own time");
}

/// Guards against a command without help, and against a wrong exit code for invalid command lines.
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
    assert_eq!(exit_and_message(run(&["nothing"])).0, ExitStatus::Usage);
    assert_eq!(exit_and_message(run(&["status", "--nothing"])).0, ExitStatus::Usage);
    assert_eq!(exit_and_message(run(&["status"])).0, ExitStatus::Usage);
    assert_eq!(exit_and_message(run(&["status", "--node", "somewhere"])).0, ExitStatus::Usage);
    assert_eq!(
        run(&["key", "porch-key"]).expect("key").trim(),
        records::key_digest("porch-key").to_hex()
    );
}
