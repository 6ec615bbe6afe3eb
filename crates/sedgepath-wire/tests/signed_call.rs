//! Verification of signed remote calls.

use sedgepath_wire::signed_call::{
    CallVerifier, MAX_CLOCK_SKEW_MS, SignatureError, SignedCall, derive_call_key,
};

const KEY: &str = "operator key";
const NOW_MS: u64 = 1_000_000;

fn call(secret: &str, at_ms: u64, nonce: u64) -> SignedCall<Vec<u32>> {
    SignedCall::new(&derive_call_key(secret), "change", vec![1, 2], at_ms, nonce)
}

/// Guards against accepting a replayed call, an unknown key, or a changed method, parameter or nonce.
#[test]
fn rejects_replayed_and_modified_calls() {
    let mut verifier = CallVerifier::new(["the previous key", KEY]);
    let mut verify = |method, call| verifier.verify(method, call, NOW_MS);
    assert_eq!(verify("change", call(KEY, NOW_MS, 1)), Ok(vec![1, 2]));
    assert_eq!(verify("change", call(KEY, NOW_MS, 1)), Err(SignatureError::Replayed));
    assert_eq!(verify("change", call("the previous key", NOW_MS, 2)), Ok(vec![1, 2]));
    assert_eq!(
        verify("change", call("another key", NOW_MS, 3)),
        Err(SignatureError::InvalidSignature)
    );
    assert_eq!(verify("page", call(KEY, NOW_MS, 4)), Err(SignatureError::InvalidSignature));
    let mut forged = call(KEY, NOW_MS, 5);
    forged.params.push(3);
    assert_eq!(verify("change", forged), Err(SignatureError::InvalidSignature));
    let mut modified_nonce = call(KEY, NOW_MS, 6);
    modified_nonce.signature.nonce = 7;
    assert_eq!(verify("change", modified_nonce), Err(SignatureError::InvalidSignature));
}

/// Guards against dropping a nonce while its timestamp is still accepted, also if the timestamp was
/// ahead of the node's clock.
#[test]
fn rejects_replays_until_the_timestamp_expires() {
    for ahead_ms in [0, MAX_CLOCK_SKEW_MS] {
        let mut verifier = CallVerifier::new([KEY]);
        let at_ms = NOW_MS + ahead_ms;
        assert_eq!(verifier.verify("change", call(KEY, at_ms, 1), NOW_MS), Ok(vec![1, 2]));
        for now_ms in (NOW_MS..NOW_MS + 4 * MAX_CLOCK_SKEW_MS).step_by(1_000) {
            // Each accepted call makes the verifier remove expired nonces.
            let other = call(KEY, now_ms, now_ms);
            assert_eq!(verifier.verify("change", other, now_ms), Ok(vec![1, 2]));
            let replayed = verifier.verify("change", call(KEY, at_ms, 1), now_ms);
            let skew_ms = now_ms.abs_diff(at_ms);
            let expected = if skew_ms > MAX_CLOCK_SKEW_MS {
                SignatureError::ClockSkew { skew_ms }
            } else {
                SignatureError::Replayed
            };
            assert_eq!(replayed, Err(expected), "{ahead_ms} ms ahead, at {now_ms} ms");
        }
    }
}
