//! The order of lines from several VMs, and the selection of lines that explain a request.

use std::fs;
use std::path::Path;

use expect_test::expect;
use sedgepath::operations::logs::{self, LogLine};

/// Writes the logs of two VMs, of which the second has a slower clock but later hybrid timestamps. Some
/// lines have a collector's prefix.
fn write_files(dir: &Path) {
    let first = "at=5000.0 vm=a1 level=info event=started boot=1\n\
        at=5010.0 vm=a1 level=info event=configuration version=12 in_force=true\n\
        at=5020.0 vm=a1 level=info event=upstream upstream=u1 change=Joined\n\
        at=5021.0 vm=a1 level=info event=upstream upstream=u2 change=Joined\n\
        not a line of a VM\n\
        at=6000.0 vm=a1 level=info event=sending_failed request=r7 upstream=u1 outcome=refused\n\
        at=6050.1 vm=a1 level=info event=gave_up request=r7 reason=no_retry upstream=u1\n\
        at=7000.0 vm=a1 level=info event=store_away error=\"x\"\n";
    let second = "  1.5 b1 at=6000.1 vm=b1 level=info event=served request=r8 upstream=u1\n\
        \u{fffd}at=6000.2 vm=b1 level=info event=upstream_removed upstream=u1\n";
    fs::write(dir.join("a1.log"), first).expect("the file is written");
    fs::write(dir.join("b1.log"), second).expect("the file is written");
}

fn read_collected_lines() -> Vec<LogLine> {
    let dir = tempfile::tempdir().expect("a temporary directory");
    write_files(dir.path());
    logs::read(dir.path()).expect("the logs are readable")
}

fn summarize(lines: &[&LogLine]) -> String {
    let lines: Vec<_> = lines.iter().map(|line| format!("{} {}", line.vm, line.event)).collect();
    lines.join("\n")
}

/// Guards against an order by file or wall clock, and against prefixes that hide lines.
#[test]
fn lines_of_all_vms_merge_in_one_order() {
    let lines = read_collected_lines();
    expect![[r"
        a1 started
        a1 configuration
        a1 upstream
        a1 upstream
        a1 sending_failed
        b1 served
        b1 upstream_removed
        a1 gave_up
        a1 store_away"]]
    .assert_eq(&summarize(&lines.iter().collect::<Vec<_>>()));
}

/// Guards against an explanation by later lines or by lines of other VMs.
#[test]
fn a_request_is_explained_by_earlier_lines_of_its_vm() {
    let lines = read_collected_lines();
    expect![[r"
        a1 started
        a1 configuration
        a1 upstream
        a1 sending_failed
        a1 gave_up"]]
    .assert_eq(&summarize(&logs::lines_explaining(&lines, "r7")));
    assert!(logs::lines_explaining(&lines, "r9").is_empty());
}

/// Guards against a rejection whose cause, crashes on other VMs, is not shown.
#[test]
fn a_quarantined_request_is_explained_by_the_crashes_of_its_repeats() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let first = "at=1000.0 vm=a1 event=sending_failed request=r1 upstream=u1 outcome=crashed fingerprint=aa/cc\n\
        at=1000.1 vm=a1 event=sending_failed request=r2 upstream=u1 outcome=crashed fingerprint=dd/ee\n";
    let second = "at=1500.0 vm=b1 event=quarantine fingerprint=cc in_force=true probes=0\n\
        at=1500.1 vm=b1 event=quarantine fingerprint=dd in_force=true probes=0\n\
        at=1600.0 vm=b1 event=refused request=r3 reason=crashes_upstreams fingerprint=bb/cc\n";
    fs::write(dir.path().join("a1.log"), first).expect("the file is written");
    fs::write(dir.path().join("b1.log"), second).expect("the file is written");
    let lines = logs::read(dir.path()).expect("the logs are readable");
    expect![[r"
        a1 sending_failed
        b1 quarantine
        b1 refused"]]
    .assert_eq(&summarize(&logs::lines_explaining(&lines, "r3")));
}
