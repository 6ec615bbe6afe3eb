//! Collected logs of VMs: one order, and what explains a request.

use std::fs;
use std::path::Path;

use expect_test::expect;
use sedgepath::operations::logs::{self, LogLine};

/// Two VMs' files. The second one's clock runs a second behind; its stamps don't, since it has heard the
/// first one's heartbeat. A collector has put a prefix before some lines.
fn write_files(dir: &Path) {
    let first = "at=5000.0 vm=a1 level=info event=started boot=1\n\
        at=5010.0 vm=a1 level=info event=configuration version=12 in_force=true\n\
        at=5020.0 vm=a1 level=info event=upstream upstream=u1 change=Joined\n\
        at=5021.0 vm=a1 level=info event=upstream upstream=u2 change=Joined\n\
        not a line of ours\n\
        at=6000.0 vm=a1 level=info event=sending_failed request=r7 upstream=u1 outcome=refused\n\
        at=6050.1 vm=a1 level=info event=gave_up request=r7 reason=no_retry upstream=u1\n\
        at=7000.0 vm=a1 level=info event=store_away error=\"x\"\n";
    let second = "  1.5 b1 at=6000.1 vm=b1 level=info event=served request=r8 upstream=u1\n\
        \u{fffd}at=6000.2 vm=b1 level=info event=upstream_removed upstream=u1\n";
    fs::write(dir.join("a1.log"), first).expect("written");
    fs::write(dir.join("b1.log"), second).expect("written");
}

/// Returns the lines of both files.
fn collected() -> Vec<LogLine> {
    let dir = tempfile::tempdir().expect("a directory");
    write_files(dir.path());
    logs::read(dir.path()).expect("read")
}

fn text(lines: &[&LogLine]) -> String {
    let lines: Vec<_> = lines.iter().map(|line| format!("{} {}", line.vm, line.event)).collect();
    lines.join("\n")
}

#[test]
fn lines_of_all_vms_merge_in_one_order() {
    let lines = collected();
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
    .assert_eq(&text(&lines.iter().collect::<Vec<_>>()));
}

/// What its VM believed when it decided, and nothing that came later or of other VMs.
#[test]
fn a_request_is_explained_by_what_its_vm_believed() {
    let lines = collected();
    expect![[r"
        a1 started
        a1 configuration
        a1 upstream
        a1 sending_failed
        a1 gave_up"]]
    .assert_eq(&text(&logs::about(&lines, "r7")));
    assert!(logs::about(&lines, "r9").is_empty());
}
