//! The table and plot of requests that were not answered in time.

#![expect(clippy::needless_raw_string_hashes, reason = "expect-test writes them")]

use std::fs;

use expect_test::expect;
use sedgepath::cli::{self, Environment};

const LOG: &str = "at=1000.0 vm=a1 level=info event=started vm=a1 domain=north-a region=north boot=1\n\
    at=2000.0 vm=a1 level=info event=served service=shop sendings=1 took_ms=120 warm=true expected_ms=110\n\
    at=2100.0 vm=a1 level=info event=served service=shop sendings=1 took_ms=900 warm=false expected_ms=450\n\
    at=2200.0 vm=a1 level=info event=served service=shop sendings=1 took_ms=800 warm=true expected_ms=700\n\
    at=2300.0 vm=a1 level=info event=served service=shop sendings=2 took_ms=700 warm=true expected_ms=110\n\
    at=3400.0 vm=a1 level=info event=served service=shop sendings=1 took_ms=700 warm=true expected_ms=110\n\
    at=3500.0 vm=a1 level=info event=refused request=r1 reason=busy service=shop\n\
    at=3600.0 vm=b9 level=info event=refused request=r2 reason=busy service=till\n\
    at=3700.0 vm=a1 level=info event=gave_up request=r3 reason=timed_out service=till\n\
    at=3800.0 vm=a1 level=info event=lines_left_out calm=7 urgent=1\n";

fn run(arguments: &[&str]) -> String {
    let dir = tempfile::tempdir().expect("a temporary directory");
    fs::write(dir.path().join("a1.log"), LOG).expect("the file is written");
    let logs = dir.path().to_str().expect("a UTF-8 path");
    let mut all = vec!["losses", "--logs", logs];
    all.extend(arguments);
    let all: Vec<String> = all.into_iter().map(str::to_owned).collect();
    let mut out = Vec::new();
    cli::execute(&all, &Environment::default(), &mut out).expect("the command succeeds");
    String::from_utf8(out).expect("UTF-8 output")
}

/// Returns the part that `--by` adds, below a line that preserves its indentation in `expect!`.
fn added_by_grouping(by: &str) -> String {
    let all = run(&["--by", by]);
    let added = all.strip_prefix(&run(&[])).expect("the ungrouped table comes first");
    format!("by {by}\n{added}")
}

/// Guards against a request that counts for several reasons or for a less likely one.
#[test]
fn each_loss_is_counted_once_by_its_reason() {
    expect![[r#"
        7 not in time, 1 in time, 8 lines left out
               2  refused: busy
               1  given up: timed_out
               1  late: sent again
               1  late: first run of an object
               1  late: waited
               1  late: slower than expected
    "#]]
    .assert_eq(&run(&[]));
}

/// Guards against losses that are assigned to the wrong failure domain or second.
#[test]
fn losses_are_counted_by_domain_and_second() {
    expect![[r#"
        by domain
        north-a
               1  refused: busy
               1  given up: timed_out
               1  late: sent again
               1  late: first run of an object
               1  late: waited
               1  late: slower than expected
        unknown
               1  refused: busy
    "#]]
    .assert_eq(&added_by_grouping("domain"));
    expect![[r#"
        by second
            0
               1  late: sent again
               1  late: first run of an object
               1  late: waited
            1
               2  refused: busy
               1  given up: timed_out
               1  late: slower than expected
    "#]]
    .assert_eq(&added_by_grouping("second"));
}

/// Guards against a `--late-after` that is ignored.
#[test]
fn late_after_sets_the_limit_for_late_responses() {
    expect![[r#"
        3 not in time, 5 in time, 8 lines left out
               2  refused: busy
               1  given up: timed_out
    "#]]
    .assert_eq(&run(&["--late-after", "2000"]));
}

/// Guards against a plot that lacks the curve of a reason.
#[test]
fn the_plot_has_a_curve_for_each_reason() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().join("losses.svg");
    run(&["--plot", path.to_str().expect("a UTF-8 path")]);
    let plot = fs::read_to_string(path).expect("the plot is readable");
    for name in ["refused: busy", "given up: timed_out", "late: waited"] {
        assert!(plot.contains(name), "{name} is missing");
    }
}

/// Guards against an account over its quota that hides behind the service's losses.
#[test]
fn losses_are_counted_by_account() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let log = "at=1.0 vm=a1 level=info event=refused request=r1 reason=over_quota account=one service=shop\n\
               at=2.0 vm=a1 level=info event=refused request=r2 reason=over_quota account=one service=shop\n\
               at=3.0 vm=a1 level=info event=refused request=r3 reason=busy account=two service=shop\n";
    fs::write(dir.path().join("a1.log"), log).expect("the file is written");
    let logs = dir.path().to_str().expect("a UTF-8 path");
    let arguments = ["losses", "--logs", logs, "--by", "account"].map(str::to_owned);
    let mut out = Vec::new();
    cli::execute(&arguments, &Environment::default(), &mut out).expect("the command succeeds");
    let text = String::from_utf8(out).expect("UTF-8 output");
    let by_account = text.split_once("one").map_or("", |(_, rest)| rest);
    assert!(by_account.contains("over_quota") && by_account.contains("two"), "{text}");
}
