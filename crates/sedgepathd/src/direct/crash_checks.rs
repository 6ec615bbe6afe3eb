//! Checks whether upstreams have crashed, each shared by all requests that failed with the upstream.

use std::cell::RefCell;
use std::rc::Rc;

use sedgepath_core::direct::upstreams::UpstreamKey;
use sedgepath_core::hash::Map;
use tokio::sync::OnceCell;

/// A check under way: whether the upstream refuses connections.
pub type CrashCheck = Rc<OnceCell<bool>>;

/// The checks under way, by upstream.
#[derive(Debug, Default)]
pub struct CrashChecks {
    checks: RefCell<Map<UpstreamKey, CrashCheck>>,
}

impl CrashChecks {
    /// Returns the check of an upstream, a new one if none is under way.
    pub fn get(&self, upstream: UpstreamKey) -> CrashCheck {
        Rc::clone(self.checks.borrow_mut().entry(upstream).or_default())
    }

    /// Ends the check of an upstream.
    pub fn remove(&self, upstream: UpstreamKey) {
        self.checks.borrow_mut().remove(&upstream);
    }
}
