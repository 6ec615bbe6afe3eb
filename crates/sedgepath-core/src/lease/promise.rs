//! Promises not to use another member's upstreams.

use crate::hash::Map;
use crate::key::{BootId, UpstreamKey, VmKey};

/// The boot of a member that a promise was made to. A later boot cannot release the promise, since
/// it does not know what the earlier one has in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct LeaseHolder {
    /// The key of the member.
    pub vm: VmKey,
    /// The boot ID of the member's process.
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
    promises: Map<(UpstreamKey, LeaseHolder), Promise>,
}

impl Promises {
    /// Promises not to use an upstream; an existing promise is extended, never shortened.
    pub fn extend(
        &mut self,
        upstream: UpstreamKey,
        holder: LeaseHolder,
        now_ms: u64,
        until_ms: u64,
    ) {
        let promise = self
            .promises
            .entry((upstream, holder))
            .or_insert(Promise { made_at_ms: 0, until_ms: 0 });
        promise.made_at_ms = now_ms;
        promise.until_ms = promise.until_ms.max(until_ms);
    }

    /// Removes the promises to a boot that has released its claim or announced that it has ended.
    pub fn release(&mut self, released: LeaseHolder) {
        self.promises.retain(|(_, holder), _| *holder != released);
    }

    /// Removes expired promises.
    pub fn expire(&mut self, now_ms: u64) {
        self.promises.retain(|_, promise| promise.until_ms > now_ms);
    }

    /// Returns whether a promise forbids this node to use an upstream.
    ///
    /// A promise ends early if its holder has granted a heartbeat that this node sent after the
    /// promise was last made: by then the holder's roster assigned the upstream to another owner.
    /// `granted_at_ms` returns the sending time of the heartbeat that a member granted last.
    pub fn forbid(
        &self,
        upstream: UpstreamKey,
        now_ms: u64,
        granted_at_ms: impl Fn(VmKey) -> Option<u64>,
    ) -> bool {
        self.promises.iter().any(|((promised_upstream, holder), promise)| {
            let is_released =
                granted_at_ms(holder.vm).is_some_and(|sent_at_ms| sent_at_ms > promise.made_at_ms);
            *promised_upstream == upstream && promise.until_ms > now_ms && !is_released
        })
    }
}
