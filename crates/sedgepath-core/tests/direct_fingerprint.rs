//! The fingerprints by which VMs recognise the repeats of a request.

use sedgepath_core::direct::fingerprint::{
    FINGERPRINT_BODY_BYTES, RequestFingerprints, RequestIdentity,
};

const REQUEST: RequestIdentity<'_> = RequestIdentity {
    account: None,
    credentials: None,
    caller: std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1)),
    method: "POST",
    host: "shop.example",
    target: "/charges/1?q=2",
    body: b"pay 10",
    body_bytes: Some(6),
};

fn identity_with_account(account: &[u8]) -> RequestIdentity<'_> {
    RequestIdentity { credentials: Some(account), ..REQUEST }
}

/// Guards against repeats that are taken for different requests.
#[test]
fn repeats_have_the_same_fingerprints() {
    let from_elsewhere = RequestIdentity { caller: [10, 0, 0, 2].into(), ..REQUEST };
    let (one, other) =
        (RequestFingerprints::of(&REQUEST), RequestFingerprints::of(&from_elsewhere));
    assert_ne!(one.of_caller, other.of_caller);
    assert_eq!(one.of_content, other.of_content);

    let account = identity_with_account(b"a");
    let from_elsewhere = RequestIdentity { caller: [10, 0, 0, 2].into(), ..account };
    assert_eq!(RequestFingerprints::of(&account), RequestFingerprints::of(&from_elsewhere));
}

/// Guards against a fingerprint that depends on how much of a large body a VM has buffered.
#[test]
fn the_buffered_part_of_a_body_does_not_matter() {
    let body = vec![b'x'; 4 * FINGERPRINT_BODY_BYTES];
    let whole = RequestIdentity { body: &body, body_bytes: Some(body.len() as u64), ..REQUEST };
    let streamed = RequestIdentity { body: &body[..FINGERPRINT_BODY_BYTES], ..whole };
    assert_eq!(RequestFingerprints::of(&whole), RequestFingerprints::of(&streamed));
}

/// Guards against a client account whose requests are rejected for those of another one.
#[test]
fn requests_that_differ_share_no_fingerprint() {
    let requests = [
        REQUEST,
        RequestIdentity { method: "PUT", ..REQUEST },
        RequestIdentity { host: "other.example", ..REQUEST },
        RequestIdentity { target: "/charges/1", ..REQUEST },
        RequestIdentity { body: b"pay 11", ..REQUEST },
        RequestIdentity { body_bytes: Some(7), ..REQUEST },
        identity_with_account(b"a"),
        identity_with_account(b"b"),
        identity_with_account(&[10, 0, 0, 1]),
    ];
    let all: Vec<_> = requests
        .iter()
        .flat_map(|request| RequestFingerprints::of(request).iter().collect::<Vec<_>>())
        .collect();
    let distinct: std::collections::BTreeSet<_> = all.iter().collect();
    assert_eq!(distinct.len(), all.len());
}

/// Guards against a caller who has another account's requests rejected by presenting its name.
#[test]
fn an_account_can_not_be_claimed_by_credentials() {
    let of_account = RequestIdentity { account: Some("one"), ..REQUEST };
    let claimed = RequestIdentity { credentials: Some(b"one"), ..REQUEST };
    let other = RequestIdentity { account: Some("two"), ..REQUEST };
    let fingerprint = |identity| RequestFingerprints::of(&identity).of_caller;
    assert_ne!(fingerprint(of_account), fingerprint(claimed));
    assert_ne!(fingerprint(of_account), fingerprint(other));
    let elsewhere = RequestIdentity { caller: [10, 0, 0, 9].into(), ..of_account };
    assert_eq!(fingerprint(of_account), fingerprint(elsewhere));
}
