//! Connections to upstreams that tell whether this VM reaches any.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use sedgepath_core::direct::reach::ReachChange;
use sedgepath_core::direct::steering::UpstreamCheck;
use sedgepath_core::direct::upstreams::UpstreamKey;

use super::attempt::CONNECT_TIMEOUT;
use super::shared::SharedState;
use super::{clock, gossip};

/// The longest time between two looks whether a check is due. A failed connection wakes the task.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(200);

/// The numbers of other upstreams that are tried in turn, each set at once, when one refuses connections.
/// Mostly the first accepts.
const WITNESS_COUNTS: [usize; 2] = [1, 7];

/// Checks whether this VM reaches upstreams whenever that is in doubt, until the process ends.
pub async fn run(shared: Rc<SharedState>) {
    loop {
        let checks = {
            let mut steering = shared.steering.borrow_mut();
            steering.begin_check(&mut fastrand::Rng::new(), clock::now_ms())
        };
        if checks.is_empty() {
            let woken = shared.connection_failed.notified();
            // Either way the state is looked at again.
            let _elapsed = tokio::time::timeout(MAX_CHECK_DELAY, woken).await;
            continue;
        }
        let connected = join_all(checks.iter().map(|check| connects(&shared, check))).await;
        let results: Vec<_> = checks
            .iter()
            .zip(connected)
            .map(|(check, connected)| (check.upstream, connected))
            .collect();
        let change = shared.steering.borrow_mut().record_check(&results, clock::now_ms());
        if let Some(change) = change {
            apply_change(&shared, change).await;
        }
    }
}

/// Returns whether an upstream accepts a connection, which is kept for a request.
async fn connects(shared: &SharedState, check: &UpstreamCheck) -> bool {
    match shared.upstream_connections.open(check.address, CONNECT_TIMEOUT).await {
        Ok(connection) => {
            shared.metrics.count_connection("opened");
            shared.upstream_contact_at_ms.set(clock::now_ms());
            shared.upstream_connections.release(check.upstream, connection, None);
            true
        }
        Err(error) => {
            shared.metrics.count_connection(super::attempt::io_error_name(&error));
            false
        }
    }
}

/// Returns whether an upstream other than `refusing` accepts a connection. One that doesn't may have
/// crashed too, so several others are tried.
pub async fn another_upstream_accepts(shared: &SharedState, refusing: UpstreamKey) -> bool {
    for count in WITNESS_COUNTS {
        let witnesses = {
            let steering = shared.steering.borrow();
            steering.other_upstreams(refusing, count, &mut fastrand::Rng::new())
        };
        let connect = |witness| async move { (witness, connects(shared, &witness).await) };
        let mut connecting: FuturesUnordered<_> = witnesses.into_iter().map(connect).collect();
        while let Some((witness, connected)) = connecting.next().await {
            let mut steering = shared.steering.borrow_mut();
            steering.record_connection(witness.upstream, connected, clock::now_ms());
            if connected {
                return true;
            }
        }
    }
    false
}

async fn apply_change(shared: &SharedState, change: ReachChange) {
    match change {
        ReachChange::CutOff => {
            log::warn!("event=cut_off_from_upstreams");
            // What is open may be dead without showing it.
            shared.upstream_connections.clear();
            shared.cut_off.notify_waiters();
        }
        ReachChange::Recovered => log::warn!("event=upstreams_reached_again"),
    }
    gossip::announce_changes(shared).await;
}
