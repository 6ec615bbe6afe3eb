//! Measures a heartbeat: its size, and the time to encode, decode and process it.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::event::Event;
use sedgepath_core::identity::{Identity, NodeSettings};
use sedgepath_core::key::{BootId, DomainKey, ServiceKey, VmKey};
use sedgepath_core::membership::Member;
use sedgepath_core::message::{
    Acknowledgement, ConfigurationStatus, Envelope, Heartbeat, LeaseClaim, MemberDescriptor,
    Message, ServiceLoad,
};
use sedgepath_core::node::Node;
use sedgepath_wire::datagram::{DatagramDecoder, encode};
use sedgepath_wire::key::SharedKey;

/// The other members of a failure domain of the largest planned size.
const MEMBERS: u64 = 41;

/// The number of heartbeats that are timed.
const HEARTBEATS: u64 = 41 * 2_000;

/// Prints the size and the processing time of a heartbeat, and the memory of a member.
pub fn measure() {
    let key = SharedKey::new("a secret for measurements", "datagrams");
    let mut node =
        Node::new(Identity::new(member_descriptor(0), BootId(1)), NodeSettings::default());
    let mut decoder = DatagramDecoder::new(key.clone());
    let (mut bytes, mut now_ms) = (0, 1_000_000);
    let started = Instant::now();
    for number in 0..HEARTBEATS {
        let envelope = heartbeat(number, now_ms);
        let Ok(datagram) = encode(&key, &envelope) else { continue };
        bytes += datagram.len();
        if let Ok(decoded) = decoder.decode(&datagram) {
            node.handle(now_ms, Event::Datagram(decoded));
        }
        now_ms += u64::from(number % MEMBERS == 0);
    }
    let each_us = started.elapsed().as_micros() as f64 / HEARTBEATS as f64;
    println!(
        "\nheartbeat: {} bytes with its authentication code, {each_us:.1} us to encode, decode and \
         process; a member takes {} bytes and its descriptor",
        bytes as u64 / HEARTBEATS,
        size_of::<Member>()
    );
}

fn member_descriptor(number: u64) -> MemberDescriptor {
    let address = |port: u16| SocketAddr::from((Ipv4Addr::new(10, 0, 0, number as u8), port));
    MemberDescriptor {
        name: format!("lowcountry-a-{number}").into(),
        domain: DomainKey::of("lowcountry-a"),
        caller_address: address(80),
        peer_address: address(81),
        operator_address: address(82),
        leaving: false,
    }
}

/// Returns a heartbeat of a steady state; the first one of each member includes its descriptor.
fn heartbeat(number: u64, now_ms: u64) -> Envelope {
    let member = 1 + number % MEMBERS;
    let load = |service: u32| ServiceLoad { service: ServiceKey(service), slots: 12, in_flight: 3 };
    let acknowledgement = Acknowledgement {
        boot: BootId(1),
        sent_at_ms: now_ms,
        descriptor_leaving: Some(false),
        in_flight: Vec::new(),
        predecessor_may_run: false,
        receiver_has_no_predecessor: false,
    };
    let heartbeat = Heartbeat {
        sent_at_ms: now_ms,
        descriptor: (number < MEMBERS).then(|| member_descriptor(member)),
        configuration: ConfigurationStatus { revision: 1, head_age_ms: 300 },
        loads: (0..4).map(load).collect(),
        roster_digest: 7,
        claim: LeaseClaim::Requested,
        longest_deadline_ms: 10_000,
        acknowledgement: Some(acknowledgement),
    };
    Envelope {
        from: VmKey::of(&format!("lowcountry-a-{member}")),
        boot: BootId(2),
        sequence: 1 + number / MEMBERS,
        stamp: HybridTimestamp { time_ms: now_ms, count: 0 },
        message: Message::Heartbeat(Box::new(heartbeat)),
    }
}
