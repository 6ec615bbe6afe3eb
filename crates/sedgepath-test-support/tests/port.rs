//! Allocation of ports for processes that a test starts.

use std::net::{Ipv4Addr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sedgepath_test_support::port::{free_port, spawn};

const PORT_COUNT: usize = 4_000;

/// Guards against a child process that inherits the socket of a port being probed, which keeps the
/// port in use after the probe.
#[test]
fn a_spawning_process_does_not_inherit_a_probed_port() {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let mut child =
                        spawn(Command::new("true").current_dir("/")).expect("a process");
                    child.wait().expect("its end");
                }
            });
        }
        let in_use = (0..PORT_COUNT).filter(|_| {
            let port = free_port().expect("a port");
            thread::sleep(Duration::from_micros(300));
            TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_err()
        });
        let in_use_count = in_use.count();
        stop.store(true, Ordering::Relaxed);
        assert_eq!(in_use_count, 0, "of {PORT_COUNT} ports");
    });
}
