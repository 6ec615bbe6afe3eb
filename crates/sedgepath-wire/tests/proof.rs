//! Which remote calls a node takes.

use sedgepath_wire::signed_call::{
    CallVerifier, MAX_CLOCK_SKEW_MS, SignatureError, SignedCall, derive_call_key,
};

const KEY: &str = "a key of operators";
const NOW_MS: u64 = 1_000_000;

fn call(text: &str, at_ms: u64, number: u64) -> SignedCall<Vec<u32>> {
    SignedCall::new(&derive_call_key(text), "change", vec![1, 2], at_ms, number)
}

/// A call by any key in force is taken, once; by another key, for another method or with other
/// parameters it is not.
#[test]
fn a_call_is_taken_once_and_for_what_it_was_made() {
    let mut guard = CallVerifier::new(["the key until now", KEY]);
    let mut open = |method, call| guard.verify(method, call, NOW_MS);
    assert_eq!(open("change", call(KEY, NOW_MS, 1)), Ok(vec![1, 2]));
    assert_eq!(open("change", call(KEY, NOW_MS, 1)), Err(SignatureError::Replayed));
    assert_eq!(open("change", call("the key until now", NOW_MS, 2)), Ok(vec![1, 2]));
    assert_eq!(
        open("change", call("another key", NOW_MS, 3)),
        Err(SignatureError::InvalidSignature)
    );
    assert_eq!(open("page", call(KEY, NOW_MS, 4)), Err(SignatureError::InvalidSignature));
    let mut forged = call(KEY, NOW_MS, 5);
    forged.of.push(3);
    assert_eq!(open("change", forged), Err(SignatureError::InvalidSignature));
    let mut renumbered = call(KEY, NOW_MS, 6);
    renumbered.proof.number = 7;
    assert_eq!(open("change", renumbered), Err(SignatureError::InvalidSignature));
}

/// A call is refused as a repeat for as long as its time would let it in, also one that was ahead of
/// the node's clock; before and after that its time refuses it.
#[test]
fn a_recorded_call_never_comes_in_again() {
    for ahead_ms in [0, MAX_CLOCK_SKEW_MS] {
        let mut guard = CallVerifier::new([KEY]);
        let at_ms = NOW_MS + ahead_ms;
        assert_eq!(guard.verify("change", call(KEY, at_ms, 1), NOW_MS), Ok(vec![1, 2]));
        for now_ms in (NOW_MS..NOW_MS + 4 * MAX_CLOCK_SKEW_MS).step_by(1_000) {
            // Other calls make the node forget what it may.
            let other = call(KEY, now_ms, now_ms);
            assert_eq!(guard.verify("change", other, now_ms), Ok(vec![1, 2]));
            let again = guard.verify("change", call(KEY, at_ms, 1), now_ms);
            let apart_ms = now_ms.abs_diff(at_ms);
            let expected = if apart_ms > MAX_CLOCK_SKEW_MS {
                SignatureError::ClockSkew { apart_ms }
            } else {
                SignatureError::Replayed
            };
            assert_eq!(again, Err(expected), "{ahead_ms} {now_ms}");
        }
    }
}
