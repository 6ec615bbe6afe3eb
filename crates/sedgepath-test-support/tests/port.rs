//! Ports for processes that a test starts.

use std::net::{Ipv4Addr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sedgepath_test_support::port::{free_port, start};

const PORTS: usize = 4_000;

/// One test asks for a port while others start their daemons. A process that is being started has the open
/// sockets of this one for a moment; it must not have the port that is just being tried, or the daemon
/// that is then told to listen there finds it in use.
#[test]
fn a_free_port_is_kept_by_no_process_that_is_being_started() {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let mut child =
                        start(Command::new("true").current_dir("/")).expect("a process");
                    child.wait().expect("its end");
                }
            });
        }
        let taken = (0..PORTS).filter(|_| {
            let port = free_port().expect("a port");
            thread::sleep(Duration::from_micros(300));
            TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_err()
        });
        let taken = taken.count();
        stop.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0, "of {PORTS} ports");
    });
}
