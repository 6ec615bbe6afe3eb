//! Tests which messages between entry VMs are accepted.

use std::net::SocketAddr;

use proptest::prelude::*;
use sedgepath_wire::peer_keys::{PeerKeyring, SIGNING_DELAY_MS};
use sedgepath_wire::peer_seal::{PeerAuthentication, PeerSeal, SEAL_BYTES, SealError};

const NOW_MS: u64 = 1_700_000_000_000;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn keyring() -> PeerKeyring {
    PeerKeyring::default().rotated("one".into(), NOW_MS)
}

/// Returns the seal of a VM, with keys.
fn vm(policy: PeerAuthentication, number: u8, keyring: &PeerKeyring) -> PeerSeal {
    let mut seal = PeerSeal::new(policy, address(number), u32::from(number));
    seal.set_keyring(keyring.clone());
    seal
}

fn strict(number: u8) -> PeerSeal {
    vm(PeerAuthentication::Require, number, &keyring())
}

fn sealed(sender: &mut PeerSeal, message: &[u8], to: u8) -> Vec<u8> {
    sender.seal(message, address(to), NOW_MS).expect("a key is known").into_owned()
}

#[test]
fn a_sealed_message_is_opened_once() {
    let (mut sender, mut receiver) = (strict(1), strict(2));
    let datagram = sealed(&mut sender, b"hello", 2);
    assert_eq!(datagram.len(), 5 + SEAL_BYTES);
    assert_eq!(receiver.open(&datagram, address(1)), Ok(&b"hello"[..]));
    assert_eq!(receiver.open(&datagram, address(1)), Err(SealError::Replayed));
}

/// Guards against a message that is taken for another VM's, or by a VM that it wasn't sent to.
#[test]
fn a_message_is_bound_to_its_sender_and_receiver() {
    let (mut sender, mut receiver, mut other) = (strict(1), strict(2), strict(3));
    let datagram = sealed(&mut sender, b"hello", 2);
    assert_eq!(receiver.open(&datagram, address(3)), Err(SealError::Forged));
    assert_eq!(other.open(&datagram, address(1)), Err(SealError::Forged));
}

/// Guards against lost messages when datagrams overtake each other.
#[test]
fn datagrams_that_overtake_each_other_are_opened() {
    let (mut sender, mut receiver) = (strict(1), strict(2));
    let mut datagrams: Vec<_> =
        (0..60_u8).map(|number| sealed(&mut sender, &[number], 2)).collect();
    datagrams.reverse();
    for datagram in &datagrams {
        receiver.open(datagram, address(1)).expect("a new datagram");
    }
    for datagram in &datagrams {
        assert_eq!(receiver.open(datagram, address(1)), Err(SealError::Replayed));
    }
}

/// Guards against messages that can be replayed once their numbers are no longer remembered.
#[test]
fn an_old_message_is_not_opened_after_many_newer_ones() {
    let (mut sender, mut receiver) = (strict(1), strict(2));
    let delayed = sealed(&mut sender, b"old", 2);
    for _ in 0..1_000 {
        let datagram = sealed(&mut sender, b"new", 2);
        receiver.open(&datagram, address(1)).expect("a new datagram");
    }
    assert_eq!(receiver.open(&delayed, address(1)), Err(SealError::Replayed));
}

/// Guards against a VM that is not heard after a restart, and against replays of its last process.
#[test]
fn a_restarted_sender_is_heard_and_its_earlier_messages_are_not() {
    let mut receiver = strict(2);
    let mut earlier = PeerSeal::new(PeerAuthentication::Require, address(1), 900);
    earlier.set_keyring(keyring());
    let before = sealed(&mut earlier, b"before", 2);
    receiver.open(&before, address(1)).expect("a new datagram");
    let mut later = PeerSeal::new(PeerAuthentication::Require, address(1), 5);
    later.set_keyring(keyring());
    let after = sealed(&mut later, b"after", 2);
    receiver.open(&after, address(1)).expect("a new datagram");
    assert_eq!(receiver.open(&before, address(1)), Err(SealError::Replayed));
}

#[test]
fn messages_without_a_seal_are_accepted_unless_seals_are_required() {
    let keyring = keyring();
    for (policy, expected) in [
        (PeerAuthentication::Off, Ok(&[1, 2][..])),
        (PeerAuthentication::Sign, Ok(&[1, 2][..])),
        (PeerAuthentication::Require, Err(SealError::Missing)),
    ] {
        assert_eq!(vm(policy, 2, &keyring).open(&[1, 2], address(1)), expected, "{policy:?}");
    }
}

/// Guards against VMs that don't understand each other while they are restarted with authentication.
#[test]
fn vms_of_neighbouring_policies_hear_each_other() {
    use PeerAuthentication::{Off, Require, Sign};
    let keyring = keyring();
    for (one, other) in [(Off, Off), (Off, Sign), (Sign, Sign), (Sign, Require), (Require, Require)]
    {
        for (from, to) in [(one, other), (other, one)] {
            let (mut sender, mut receiver) = (vm(from, 1, &keyring), vm(to, 2, &keyring));
            let datagram = sealed(&mut sender, &[7], 2);
            assert_eq!(receiver.open(&datagram, address(1)), Ok(&[7][..]), "{from:?} to {to:?}");
        }
    }
}

/// Guards against a VM that speaks or hears without a key although authentication is required.
#[test]
fn a_vm_without_keys_neither_speaks_nor_hears_if_seals_are_required() {
    let mut without = PeerSeal::new(PeerAuthentication::Require, address(2), 1);
    assert!(without.seal(b"hello", address(1), NOW_MS).is_none());
    let datagram = sealed(&mut strict(1), b"hello", 2);
    assert_eq!(without.open(&datagram, address(1)), Err(SealError::UnknownKey));
    assert!(without.take_met_unknown_key(), "nothing tells the VM to read the keys");
}

/// Guards against a rotation that cuts off VMs which haven't read the new key yet.
#[test]
fn a_new_key_is_accepted_before_it_is_used() {
    let before = keyring();
    let after = before.rotated("two".into(), NOW_MS);
    let mut informed = vm(PeerAuthentication::Require, 1, &after);
    let mut uninformed = vm(PeerAuthentication::Require, 2, &before);
    let early = informed.seal(b"early", address(2), NOW_MS + SIGNING_DELAY_MS - 1).expect("a key");
    uninformed.open(&early, address(1)).expect("the older key is still used");
    let late = informed.seal(b"late", address(2), NOW_MS + SIGNING_DELAY_MS).expect("a key");
    assert_eq!(uninformed.open(&late, address(1)), Err(SealError::UnknownKey));
    let from_uninformed = sealed(&mut uninformed, b"old key", 1);
    informed.open(&from_uninformed, address(2)).expect("the older key is accepted");
}

/// Guards against keys that stay valid although they were replaced twice.
#[test]
fn a_key_is_rejected_after_two_rotations() {
    let first = keyring();
    let third = first.rotated("two".into(), NOW_MS).rotated("three".into(), NOW_MS);
    let datagram = sealed(&mut vm(PeerAuthentication::Require, 1, &first), b"hello", 2);
    let mut receiver = vm(PeerAuthentication::Require, 2, &third);
    assert_eq!(receiver.open(&datagram, address(1)), Err(SealError::UnknownKey));
}

#[test]
fn the_row_of_keys_is_read_as_written_and_not_shown() {
    let written = keyring().rotated("two".into(), NOW_MS);
    let row = written.to_row().expect("a row");
    let read = PeerKeyring::from_row(row.as_bytes()).expect("keys");
    let datagram = sealed(&mut vm(PeerAuthentication::Require, 1, &written), b"hello", 2);
    vm(PeerAuthentication::Require, 2, &read).open(&datagram, address(1)).expect("the same keys");
    assert!(!format!("{read:?}").contains("two"), "a secret is shown");
    PeerKeyring::from_row(b"{}").expect_err("not a row of keys");
}

/// Guards against rows that somebody changed, or that answer another request.
#[test]
fn a_proof_holds_for_its_parts_only() {
    let (prover, mut checker) = (strict(1), strict(2));
    let proof = prover.prove(&[b"ab", b"c"], NOW_MS).expect("a proof");
    assert_eq!(checker.check_proof(&[b"ab", b"c"], Some(&proof)), Ok(()));
    assert_eq!(checker.check_proof(&[b"a", b"bc"], Some(&proof)), Err(SealError::Forged));
    assert_eq!(checker.check_proof(&[b"ab", b"c"], None), Err(SealError::Missing));
    for malformed in ["", "1", ".", "0.", "x.00", "0.zz", "300.00"] {
        assert_eq!(
            checker.check_proof(&[b"ab", b"c"], Some(malformed)),
            Err(SealError::Malformed),
            "{malformed:?}"
        );
    }
}

proptest! {
    /// Guards against changed datagrams that are accepted, and against panics on any bytes.
    #[test]
    fn a_changed_datagram_is_never_opened(
        message in proptest::collection::vec(any::<u8>(), 0..200),
        index in any::<prop::sample::Index>(),
        flipped in 1_u8..,
        cut in any::<prop::sample::Index>(),
    ) {
        let (mut sender, mut receiver) = (strict(1), strict(2));
        let datagram = sealed(&mut sender, &message, 2);
        let mut changed = datagram.clone();
        changed[index.index(datagram.len())] ^= flipped;
        prop_assert!(receiver.open(&changed, address(1)).is_err());
        prop_assert!(receiver.open(&datagram[..cut.index(datagram.len())], address(1)).is_err());
        prop_assert!(receiver.open(&message, address(1)).is_err());
        prop_assert_eq!(receiver.open(&datagram, address(1)), Ok(&*message));
    }
}
