//! Promises not to touch another member's upstreams.

use crate::hash::Map;
use crate::key::{BootId, UpstreamKey, VmKey};

/// Whom a promise was made to: one boot of a member. What a later boot says releases nothing, since
/// it does not know what this one has in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Holder {
    /// The member.
    pub vm: VmKey,
    /// Its boot.
    pub boot: BootId,
}

/// A promise to the owner of an upstream.
#[derive(Debug, Clone, Copy)]
struct Promise {
    made_at_ms: u64,
    until_ms: u64,
}

/// The promises that this boot has made.
#[derive(Debug, Default)]
pub(super) struct Promises {
    promises: Map<(UpstreamKey, Holder), Promise>,
}

impl Promises {
    /// Promises a member not to touch an upstream; an earlier promise is only made longer.
    pub fn make(&mut self, upstream: UpstreamKey, to: Holder, now_ms: u64, until_ms: u64) {
        let promise =
            self.promises.entry((upstream, to)).or_insert(Promise { made_at_ms: 0, until_ms: 0 });
        promise.made_at_ms = now_ms;
        promise.until_ms = promise.until_ms.max(until_ms);
    }

    /// Drops the promises to a boot that has released its right or said farewell.
    pub fn release(&mut self, to: Holder) {
        self.promises.retain(|(_, holder), _| *holder != to);
    }

    /// Drops the promises that have run out.
    pub fn expire(&mut self, now_ms: u64) {
        self.promises.retain(|_, promise| promise.until_ms > now_ms);
    }

    /// Whether a promise binds this node as far as an upstream is concerned.
    ///
    /// A promise to a member ends early where that member has granted a heartbeat sent after the
    /// promise was last made, for which `granted_at_ms` gives the time of sending: by then it had
    /// taken up the roster by which it no longer owns the upstream.
    pub fn bind(
        &self,
        upstream: UpstreamKey,
        now_ms: u64,
        granted_at_ms: impl Fn(VmKey) -> Option<u64>,
    ) -> bool {
        self.promises.iter().any(|((promised, to), promise)| {
            let released =
                granted_at_ms(to.vm).is_some_and(|sent_at_ms| sent_at_ms > promise.made_at_ms);
            *promised == upstream && promise.until_ms > now_ms && !released
        })
    }
}
