//! Forwarding of a link while it is open, cut in one or both directions, and restored.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

use sedgepath_test_support::link::{Cut, CuttableLink, LinkCounts};

/// How long to check that nothing passes a cut.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(80);
const READ_TIMEOUT: Duration = Duration::from_secs(10);

fn udp() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(READ_TIMEOUT)).expect("a time-out");
    let addr = socket.local_addr().expect("an address");
    (socket, addr)
}

fn wait_until(what: &str, link: &CuttableLink, reached: impl Fn(&LinkCounts) -> bool) {
    for _ in 0..2_000 {
        if reached(&link.counts()) {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("not reached: {what}: {:?}", link.counts());
}

/// Connects through a link to a listener and returns both ends.
fn tcp_pair(listener: &TcpListener, link: &CuttableLink) -> (TcpStream, TcpStream) {
    let near = TcpStream::connect(link.addr()).expect("connected");
    let (far, _) = listener.accept().expect("accepted");
    for stream in [&near, &far] {
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a time-out");
    }
    (near, far)
}

fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).expect("bytes");
    bytes
}

#[test]
fn datagrams_are_lost_in_the_direction_that_is_cut() {
    // Guards against a cut that also drops datagrams of the opposite direction.
    let (target, target_addr) = udp();
    let link = CuttableLink::new(target_addr).expect("a link");
    let (member, _) = udp();
    let mut buffer = [0; 16];
    let send = |text: &[u8]| member.send_to(text, link.addr()).expect("sent");
    send(b"one");
    let (count, back) = target.recv_from(&mut buffer).expect("carried");
    assert_eq!(&buffer[..count], b"one");
    link.set_cut(Cut::ToTarget);
    send(b"two");
    target.send_to(b"answer", back).expect("sent");
    let count = member.recv(&mut buffer).expect("carried");
    assert_eq!(&buffer[..count], b"answer");
    wait_until("a drop", &link, |counts| counts.udp_dropped == 1);
    link.set_cut(Cut::FromTarget);
    target.send_to(b"lost", back).expect("sent");
    wait_until("a second drop", &link, |counts| counts.udp_dropped == 2);
    send(b"three");
    let count = target.recv(&mut buffer).expect("carried");
    assert_eq!(&buffer[..count], b"three");
    let counts = link.counts();
    assert_eq!((counts.udp_to_target, counts.udp_from_target), (2, 1));
}

#[test]
fn a_connection_survives_a_cut_without_data_loss() {
    // Guards against a cut that delivers, loses or reorders data of a TCP connection, or that blocks
    // the opposite direction.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let link = CuttableLink::new(listener.local_addr().expect("an address")).expect("a link");
    let (mut near, mut far) = tcp_pair(&listener, &link);
    near.write_all(b"hello").expect("written");
    assert_eq!(read(&mut far, 5), b"hello");
    link.set_cut(Cut::FromTarget);
    far.write_all(b"answer").expect("written");
    near.write_all(b"more").expect("written");
    assert_eq!(read(&mut far, 4), b"more");
    near.set_read_timeout(Some(SILENCE_TIMEOUT)).expect("a time-out");
    let silent = near.read(&mut [0]).expect_err("nothing comes");
    assert_eq!(silent.kind(), ErrorKind::WouldBlock);
    assert_eq!(link.counts().tcp_from_target_bytes, 0);
    near.set_read_timeout(Some(READ_TIMEOUT)).expect("a time-out");
    link.set_cut(Cut::None);
    assert_eq!(read(&mut near, 6), b"answer");
    drop(near);
    assert_eq!(far.read(&mut [0]).expect("the end"), 0);
}

#[test]
fn dropping_a_cut_link_closes_its_connections() {
    // Guards against a drop that hangs on a forwarding thread, or leaves its connections open.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let link = CuttableLink::new(listener.local_addr().expect("an address")).expect("a link");
    let (mut near, mut far) = tcp_pair(&listener, &link);
    link.set_cut(Cut::Both);
    near.write_all(&vec![0; 1 << 16]).expect("written");
    far.write_all(b"answer").expect("written");
    drop(link);
    for stream in [&mut near, &mut far] {
        let end = stream.read(&mut [0]);
        assert!(matches!(&end, Ok(0)) || is_reset(&end), "{end:?}");
    }
}

fn is_reset(end: &std::io::Result<usize>) -> bool {
    matches!(end, Err(error) if error.kind() == ErrorKind::ConnectionReset)
}
