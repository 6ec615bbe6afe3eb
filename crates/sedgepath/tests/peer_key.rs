//! Replacing the key of messages between VMs, against a stand-in of the platform's store.

use std::net::SocketAddr;

use sedgepath::cli::{self, Environment};
use sedgepath::error::{CliError, ExitStatus};
use sedgepath_test_support::store::{StoreMode, StoreStandIn};
use sedgepath_wire::peer_keys::{PEER_KEY_ROW, PeerKeyring, VM_TABLE};

fn run(arguments: &[&str]) -> Result<String, CliError> {
    let arguments: Vec<String> = arguments.iter().map(|&argument| argument.into()).collect();
    let mut out = Vec::new();
    cli::execute(&arguments, &Environment::default(), &mut out)?;
    Ok(String::from_utf8(out).expect("UTF-8 output"))
}

fn replace(store: SocketAddr) -> Result<String, CliError> {
    run(&["peer-key", "--store", &store.to_string()])
}

/// Returns the numbers of the keys in the store.
fn key_ids(store: &StoreStandIn) -> Vec<u8> {
    let rows = store.rows(VM_TABLE);
    let row = rows.iter().find(|row| &*row.key == PEER_KEY_ROW).expect("a row of keys");
    PeerKeyring::from_row(&row.value).expect("keys").ids()
}

/// Guards against a replacement that drops the key which VMs use.
#[test]
fn a_key_is_replaced_beside_the_one_in_use_and_not_again_before_it_is_used() {
    let store = StoreStandIn::new().expect("a store");
    let first = replace(store.address).expect("the first key");
    assert_eq!(first, "key 0 is accepted, and used from 0 ms since the epoch\n");
    replace(store.address).expect("the second key");
    assert_eq!(key_ids(&store), [0, 1]);
    let error = replace(store.address).expect_err("the second key is not used yet");
    assert_eq!(error.exit(), ExitStatus::Failed);
    assert_eq!(key_ids(&store), [0, 1]);
}

/// Guards against keys that are overwritten because they can't be read.
#[test]
fn unreadable_keys_are_left_as_they_are() {
    let store = StoreStandIn::new().expect("a store");
    store.put(VM_TABLE, PEER_KEY_ROW, b"?");
    let error = replace(store.address).expect_err("the keys are unreadable");
    assert_eq!(error.exit(), ExitStatus::Failed);
    assert_eq!(&*store.rows(VM_TABLE)[0].value, b"?");
}

#[test]
fn a_store_that_cannot_be_reached_and_a_missing_address_have_their_exit_statuses() {
    let store = StoreStandIn::new().expect("a store");
    store.set_mode(StoreMode::Refusing);
    let error = replace(store.address).expect_err("the store refuses");
    assert_eq!(error.exit(), ExitStatus::Unreachable);
    for arguments in [&["peer-key"][..], &["peer-key", "--store", "here"]] {
        assert_eq!(run(arguments).expect_err("a usage error").exit(), ExitStatus::Usage);
    }
}
