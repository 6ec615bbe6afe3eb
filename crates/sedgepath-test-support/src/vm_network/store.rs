//! The store of the simulated VMs, and the way of its changes to all of them.
//!
//! The store has one table, of which VMs keep the version only. Readers poll it; VMs that hear of a newer
//! version fetch it from each other.

use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::replicas::{FetchPace, StoreCall, StoreFeed, Table, fetch_delay_ms};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::vms::StoreHealth;

use super::{Event, VmIndex, VmNetwork};

/// The timeout of a call of the store, beyond the time for which the store may hold it, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 700;

/// The timeout of a fetch from a VM that doesn't respond, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 800;

/// The table that VMs follow.
const TABLE: Table = Table::Operators;

/// How the store treats the calls of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAccess {
    /// It responds.
    Normal,
    /// It rejects them at once.
    TurnedAway,
    /// It responds no more, also to calls that it holds.
    Silent,
}

/// The store.
#[derive(Debug)]
pub(super) struct SimulatedStore {
    version: StoreVersion,
    /// The calls that wait for a change.
    held: Vec<CallKey>,
    /// The time that a message takes to the store or back, in milliseconds.
    latency_ms: u64,
    /// The number of calls that have reached it.
    call_count: u64,
}

/// A call of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallKey {
    vm: VmIndex,
    number: u64,
}

/// What a VM learns from a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallResult {
    /// All changes up to a version.
    Version(StoreVersion),
    /// The store lacks the changes since the VM's position.
    HistoryLost,
    /// The call failed.
    Failed,
}

/// A step on the way of a change.
#[derive(Debug, Clone, Copy)]
pub(super) enum StoreEvent {
    /// A VM looks whether it calls the store.
    Step { vm: VmIndex, boot: u64 },
    /// A call arrives at the store.
    CallArrives { key: CallKey, call: StoreCall, position: StoreVersion },
    /// The store holds a call no longer.
    HoldEnds { key: CallKey },
    /// A call ends at its VM.
    CallEnds { key: CallKey, result: CallResult },
    /// A VM asks another one for rows.
    FetchBegins { vm: VmIndex, boot: u64, from: VmIndex, announced: StoreVersion },
    /// The rows, if any, arrive.
    FetchEnds { vm: VmIndex, boot: u64, from: VmIndex, version: Option<StoreVersion> },
}

/// A VM's replica and its reading of the store.
#[derive(Debug)]
pub(super) struct Follower {
    feed: StoreFeed,
    pace: FetchPace,
    version: StoreVersion,
    health: StoreHealth,
    /// The call under way, and when it was sent, in milliseconds.
    call: Option<(u64, u64)>,
    access: StoreAccess,
}

impl VmNetwork {
    /// Lets all running VMs follow a store that has one version of its table, which they have read.
    pub fn follow_store(&mut self, latency_ms: u64) {
        let version = StoreVersion::new(1, 100);
        self.store = Some(SimulatedStore { version, held: Vec::new(), latency_ms, call_count: 0 });
        for vm in self.running_vms() {
            self.vms[vm].follower = Some(Follower {
                feed: StoreFeed::new(TABLE),
                pace: FetchPace::default(),
                version,
                health: StoreHealth::Unknown,
                call: None,
                access: StoreAccess::Normal,
            });
            let at_ms = self.now_ms + self.rng.u64(1..100);
            let boot = self.vms[vm].boot_at_ms;
            self.schedule(at_ms, Event::Store(StoreEvent::Step { vm, boot }));
        }
    }

    /// Writes to the store, and returns the version.
    pub fn write_to_store(&mut self) -> StoreVersion {
        let Some(store) = &mut self.store else { return StoreVersion::default() };
        store.version = StoreVersion::new(store.version.era(), store.version.counter() + 1);
        let version = store.version;
        for key in std::mem::take(&mut store.held) {
            self.respond(key, CallResult::Version(version));
        }
        version
    }

    /// Restores the store from a copy that lacks a number of its last writes. The calls that it holds
    /// fail.
    pub fn restore_store(&mut self, lost_writes: u64) {
        let Some(store) = &mut self.store else { return };
        let counter = store.version.counter() - lost_writes;
        store.version = StoreVersion::new(store.version.era() + 1, counter);
        for key in std::mem::take(&mut store.held) {
            self.respond(key, CallResult::Failed);
        }
    }

    /// Sets how the store treats a VM's calls from now on.
    pub fn set_store_access(&mut self, vm: VmIndex, access: StoreAccess) {
        if let Some(follower) = &mut self.vms[vm].follower {
            follower.access = access;
        }
    }

    /// Returns the number of calls that have reached the store.
    pub fn store_call_count(&self) -> u64 {
        self.store.as_ref().map_or(0, |store| store.call_count)
    }

    /// Returns the VMs that have a call of the store under way.
    pub fn store_readers(&self) -> Vec<VmIndex> {
        let reads = |vm: &VmIndex| {
            self.vms[*vm].follower.as_ref().is_some_and(|follower| follower.call.is_some())
        };
        self.running_vms().into_iter().filter(reads).collect()
    }

    /// Returns whether all running VMs but suspended ones have a version of the store, or a later one.
    pub fn all_have(&self, version: StoreVersion) -> bool {
        let has = |follower: &Follower| follower.version >= version;
        self.vms
            .iter()
            .all(|vm| self.now_ms < vm.suspended_until_ms || vm.follower.as_ref().is_none_or(has))
    }

    pub(super) fn handle_store_event(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Step { vm, boot } => self.step_follower(vm, boot),
            StoreEvent::CallArrives { key, call, position } => {
                self.receive_call(key, call, position);
            }
            StoreEvent::HoldEnds { key } => {
                let Some(store) = &mut self.store else { return };
                if store.held.contains(&key) {
                    store.held.retain(|held| *held != key);
                    let version = store.version;
                    self.respond(key, CallResult::Version(version));
                }
            }
            StoreEvent::CallEnds { key, result } => self.end_call(key, result),
            StoreEvent::FetchBegins { vm, boot, from, announced } => {
                self.begin_fetch(vm, boot, from, announced);
            }
            StoreEvent::FetchEnds { vm, boot, from, version } => {
                self.end_fetch(vm, boot, from, version);
            }
        }
    }

    /// Fetches rows from a VM that has announced a newer version.
    pub(super) fn hear_version(&mut self, vm: VmIndex, announced: StoreVersion, from: VmIndex) {
        let (now_ms, boot) = (self.now_ms, self.vms[vm].boot_at_ms);
        let Some(follower) = &mut self.vms[vm].follower else { return };
        if announced > follower.version && follower.pace.try_begin(TABLE, now_ms) {
            let delay_ms = fetch_delay_ms(follower.health.is_reachable());
            let event = StoreEvent::FetchBegins { vm, boot, from, announced };
            self.schedule(now_ms + delay_ms, Event::Store(event));
        }
    }

    /// Tells a VM's table what its next messages say of its replica.
    pub(super) fn update_replica_state(&mut self, vm: VmIndex) {
        let super::Vm { table: Some(table), follower: Some(follower), .. } = &mut self.vms[vm]
        else {
            return;
        };
        table.set_replica_state([follower.version; 2], follower.health);
    }

    fn step_follower(&mut self, vm: VmIndex, boot: u64) {
        let (now_ms, resumes_at_ms) = (self.now_ms, self.vms[vm].suspended_until_ms);
        if self.vms[vm].boot_at_ms != boot {
            return;
        }
        if now_ms < resumes_at_ms {
            let event = StoreEvent::Step { vm, boot };
            return self.schedule(resumes_at_ms, Event::Store(event));
        }
        let number = self.last_event_id;
        self.update_replica_state(vm);
        let super::Vm { table: Some(table), follower: Some(follower), .. } = &mut self.vms[vm]
        else {
            return;
        };
        if !table.should_read_store(now_ms) {
            follower.health = StoreHealth::Unknown;
            let at_ms = now_ms + follower.feed.role_check_interval_ms(true);
            return self.schedule(at_ms, Event::Store(StoreEvent::Step { vm, boot }));
        }
        let call = follower.feed.next_call(true, follower.health.is_reachable());
        follower.call = Some((number, now_ms));
        let (key, position) = (CallKey { vm, number }, follower.version);
        let wait_ms = match call {
            StoreCall::ReadWhole => 0,
            StoreCall::PollChanges { wait_ms } => wait_ms,
        };
        let latency_ms = self.store.as_ref().map_or(0, |store| store.latency_ms);
        let arrival = StoreEvent::CallArrives { key, call, position };
        self.schedule(now_ms + latency_ms, Event::Store(arrival));
        let timeout = StoreEvent::CallEnds { key, result: CallResult::Failed };
        self.schedule(now_ms + CALL_TIMEOUT_MS + wait_ms, Event::Store(timeout));
    }

    fn access(&self, vm: VmIndex) -> StoreAccess {
        self.vms[vm].follower.as_ref().map_or(StoreAccess::Silent, |follower| follower.access)
    }

    fn receive_call(&mut self, key: CallKey, call: StoreCall, position: StoreVersion) {
        let access = self.access(key.vm);
        let now_ms = self.now_ms;
        let Some(store) = &mut self.store else { return };
        if access == StoreAccess::Silent {
            return;
        }
        store.call_count += 1;
        let version = store.version;
        match call {
            _ if access == StoreAccess::TurnedAway => self.respond(key, CallResult::Failed),
            StoreCall::PollChanges { .. } if position.era() != version.era() => {
                self.respond(key, CallResult::HistoryLost);
            }
            StoreCall::PollChanges { wait_ms } if position == version => {
                store.held.push(key);
                self.schedule(now_ms + wait_ms, Event::Store(StoreEvent::HoldEnds { key }));
            }
            _ => self.respond(key, CallResult::Version(version)),
        }
    }

    fn respond(&mut self, key: CallKey, result: CallResult) {
        let latency_ms = self.store.as_ref().map_or(0, |store| store.latency_ms);
        if self.access(key.vm) != StoreAccess::Silent {
            let event = Event::Store(StoreEvent::CallEnds { key, result });
            self.schedule(self.now_ms + latency_ms, event);
        }
    }

    fn end_call(&mut self, key: CallKey, result: CallResult) {
        let (now_ms, mut rng, vm) = (self.now_ms, self.rng.fork(), key.vm);
        let (boot, resumes_at_ms) = (self.vms[vm].boot_at_ms, self.vms[vm].suspended_until_ms);
        let Some(follower) = &mut self.vms[vm].follower else { return };
        let Some((number, sent_at_ms)) = follower.call else { return };
        if number != key.number {
            return;
        }
        if now_ms < resumes_at_ms {
            let event = StoreEvent::CallEnds { key, result };
            return self.schedule(resumes_at_ms, Event::Store(event));
        }
        follower.call = None;
        let (pause_ms, is_news) = match result {
            CallResult::Version(version) => {
                let for_ms = now_ms - sent_at_ms + follower.health.reachable_for_ms().unwrap_or(0);
                follower.health = StoreHealth::Reachable { for_ms };
                let has_changes = version > follower.version;
                follower.version = follower.version.max(version);
                (follower.feed.record_success(has_changes, true), has_changes)
            }
            CallResult::HistoryLost => (follower.feed.record_history_loss(true, &mut rng), false),
            CallResult::Failed => {
                let was_reachable = follower.health.is_reachable();
                follower.health = StoreHealth::Failing;
                let took_ms = now_ms - sent_at_ms;
                (follower.feed.record_failure(took_ms, true, &mut rng), was_reachable)
            }
        };
        self.schedule(now_ms + pause_ms, Event::Store(StoreEvent::Step { vm, boot }));
        if is_news {
            self.announce_changes(vm);
        }
    }

    fn announce_changes(&mut self, vm: VmIndex) {
        self.update_replica_state(vm);
        let (now_ms, stamp, mut rng) = (self.now_ms, self.next_timestamp(), self.rng.fork());
        if let Some(table) = &mut self.vms[vm].table {
            let messages = table.change_messages(stamp, &mut rng, now_ms);
            self.send_all(vm, messages);
        }
    }

    fn begin_fetch(&mut self, vm: VmIndex, boot: u64, from: VmIndex, announced: StoreVersion) {
        let now_ms = self.now_ms;
        let is_current = self.vms[vm].boot_at_ms == boot;
        let Some(follower) = self.vms[vm].follower.as_mut().filter(|_| is_current) else { return };
        if follower.version >= announced {
            follower.pace.end(TABLE);
            return;
        }
        let round_trip_ms = 2 * self.latency_ms(vm, from);
        let giver = &self.vms[from];
        let responds = giver.table.is_some()
            && now_ms >= giver.suspended_until_ms
            && !self.cut.contains(&(vm, from))
            && !self.cut.contains(&(from, vm));
        let version = giver.follower.as_ref().map(|giver| giver.version).filter(|_| responds);
        let took_ms = if responds { 2 * round_trip_ms } else { FETCH_TIMEOUT_MS };
        let event = StoreEvent::FetchEnds { vm, boot, from, version };
        self.schedule(now_ms + took_ms, Event::Store(event));
    }

    fn end_fetch(&mut self, vm: VmIndex, boot: u64, from: VmIndex, version: Option<StoreVersion>) {
        let resumes_at_ms = self.vms[vm].suspended_until_ms;
        if self.now_ms < resumes_at_ms {
            let event = StoreEvent::FetchEnds { vm, boot, from, version };
            return self.schedule(resumes_at_ms, Event::Store(event));
        }
        let is_current = self.vms[vm].boot_at_ms == boot;
        let Some(follower) = self.vms[vm].follower.as_mut().filter(|_| is_current) else { return };
        follower.pace.end(TABLE);
        let Some(version) = version.filter(|version| *version > follower.version) else { return };
        follower.version = version;
        if self.domain(vm) != self.domain(from) {
            self.update_replica_state(vm);
            let (now_ms, stamp) = (self.now_ms, self.next_timestamp());
            if let Some(table) = &mut self.vms[vm].table {
                let message = table.full_heartbeat(stamp, now_ms);
                self.send_all(vm, vec![message]);
            }
        }
    }

    pub(super) fn next_timestamp(&mut self) -> HybridTimestamp {
        self.last_timestamp_ms += 1;
        HybridTimestamp { time_ms: self.last_timestamp_ms, count: 0 }
    }
}
