//! Start, signals and clean-up of daemon processes.

use std::fs::{self, Permissions};
use std::net::TcpListener;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::{Duration, Instant};

use sedgepath_test_support::daemon::{DaemonError, DaemonProcess, Signal};

fn script(dir: &Path, name: &str, text: &str) -> std::path::PathBuf {
    let path = dir.join(name);
    fs::write(&path, format!("#!/bin/sh\n{text}\n")).expect("written");
    fs::set_permissions(&path, Permissions::from_mode(0o755)).expect("executable");
    path
}

/// Returns the state of a process, for example `S` or `T`, or `None` if there is none.
fn state(id: u32) -> Option<char> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    stat.rsplit(") ").next()?.chars().next()
}

fn wait_until(what: &str, reached: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if reached() {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("not reached: {what}");
}

#[test]
fn a_process_is_suspended_resumed_stopped_and_killed_on_drop() {
    // Guards against a wait for a process that has exited, a signal to a process id that may have
    // been reused, and a suspended process that outlives its handle.
    let dir = tempfile::tempdir().expect("a directory");
    let ready = TcpListener::bind("127.0.0.1:0").expect("a port");
    let ready = ready.local_addr().map(|addr| (ready, addr)).expect("an address");
    let broken = script(dir.path(), "broken", "cat $2; exit 3");
    let closed = "127.0.0.1:9".parse().expect("an address");
    let error = DaemonProcess::new(&broken, "name: vm-1", closed).expect_err("the process exited");
    match error {
        DaemonError::ExitedEarly { status, output } => {
            assert_eq!((status.code(), &*output), (Some(3), "name: vm-1"));
        }
        unexpected => panic!("{unexpected}"),
    }
    let sleeper = script(dir.path(), "sleeper", "exec sleep 600");
    let mut daemon = DaemonProcess::new(&sleeper, "", ready.1).expect("started");
    let id = daemon.id();
    daemon.signal(Signal::Stop).expect("signalled");
    wait_until("suspended", || state(id) == Some('T'));
    daemon.signal(Signal::Continue).expect("signalled");
    wait_until("resumed", || state(id) != Some('T'));
    daemon.signal(Signal::Term).expect("signalled");
    let limit = Instant::now() + Duration::from_secs(10);
    let status = daemon.wait_until(limit).expect("watched");
    assert!(status.is_some_and(|status| !status.success()));
    assert!(matches!(daemon.signal(Signal::Kill), Err(DaemonError::HasExited)));
    let mut dropped = DaemonProcess::new(&sleeper, "", ready.1).expect("started");
    let id = dropped.id();
    dropped.signal(Signal::Stop).expect("signalled");
    drop(dropped);
    assert_eq!(state(id), None);
}
