//! Why requests were not answered in time, from collected logs.

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
    let dir = tempfile::tempdir().expect("a directory");
    fs::write(dir.path().join("a1.log"), LOG).expect("written");
    let logs = dir.path().to_str().expect("a name");
    let mut all = vec!["losses", "--logs", logs];
    all.extend(arguments);
    let all: Vec<String> = all.into_iter().map(str::to_owned).collect();
    let mut out = Vec::new();
    cli::execute(&all, &Environment::default(), &mut out).expect("a table");
    String::from_utf8(out).expect("text")
}

/// Returns what `--by` adds to the table, under a line that keeps its indentation in an expectation.
fn groups(by: &str) -> String {
    let all = run(&["--by", by]);
    let added = all.strip_prefix(&run(&[])).expect("the table over all comes first");
    format!("by {by}\n{added}")
}

/// Guards against a reason that hides another: each request counts once, by the most likely one.
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

/// Guards against losses of a domain or a moment that a sum over all hides.
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
    .assert_eq(&groups("domain"));
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
    .assert_eq(&groups("second"));
}

/// Guards against an answer being taken for late by another limit than the operator's.
#[test]
fn the_operator_says_what_is_late() {
    expect![[r#"
        3 not in time, 5 in time, 8 lines left out
               2  refused: busy
               1  given up: timed_out
    "#]]
    .assert_eq(&run(&["--late-after", "2000"]));
}

/// Guards against a plot without its curves.
#[test]
fn the_plot_has_a_curve_for_each_reason() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("losses.svg");
    run(&["--plot", path.to_str().expect("a name")]);
    let plot = fs::read_to_string(path).expect("a plot");
    for name in ["refused: busy", "given up: timed_out", "late: waited"] {
        assert!(plot.contains(name), "{name} is missing");
    }
}
