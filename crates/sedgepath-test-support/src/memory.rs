//! The whole platform in memory, with faults.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use sedgepath_core::table::{TableRequest, TableResult, Transaction};
use sedgepath_platform::{
    ObjectStore, PlatformError, TableService, VmEntry, VmList, VmSnapshot, VmState,
};

use crate::clock::{now_ms, sleep_ms};
use crate::sync::lock;
use crate::table::MemoryTable;

/// How the platform fails while it is down.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// It works.
    #[default]
    None,
    /// It refuses every request without carrying it out.
    Refusing,
    /// It closes the connection without an answer and carries nothing out.
    Silent,
}

/// How many requests the platform has received, by kind; those that an outage met are counted too.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Reads and scans of the table.
    pub table_reads: u64,
    /// Commits to the table.
    pub table_commits: u64,
    /// Reads of objects.
    pub object_reads: u64,
    /// Writes and removals of objects.
    pub object_writes: u64,
    /// Reads of the VM list.
    pub vm_lists: u64,
}

#[derive(Debug, Default)]
struct Faults {
    outage: Outage,
    delay_ms: u64,
    lost_answers: u32,
    late_writes: u32,
    late: VecDeque<Transaction>,
}

#[derive(Debug, Default)]
struct Vms {
    lag_ms: u64,
    frozen: Option<VmSnapshot>,
    /// Each list that was in force, with the time from which it was.
    history: Vec<VmSnapshot>,
}

/// The whole platform in memory, with faults that can be set at run time.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    table: MemoryTable,
    objects: Mutex<BTreeMap<Box<str>, Vec<u8>>>,
    vms: Mutex<Vms>,
    faults: Mutex<Faults>,
    counts: Mutex<PlatformCounts>,
}

/// What a caller of the platform gets to see.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Served<T> {
    Answer(T),
    Refused,
    Lost,
}

impl MemoryPlatform {
    /// Creates a platform with an empty table, store and VM list, and no fault.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the table itself, which no fault affects.
    pub fn table(&self) -> &MemoryTable {
        &self.table
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> PlatformCounts {
        *lock(&self.counts)
    }

    /// Sets whether and how the platform is down.
    pub fn set_outage(&self, outage: Outage) {
        lock(&self.faults).outage = outage;
    }

    /// Sets the time that passes before each request is carried out.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        lock(&self.faults).delay_ms = delay_ms;
    }

    /// Carries out the next `count` writes and loses their answers.
    pub fn lose_next_answers(&self, count: u32) {
        lock(&self.faults).lost_answers = count;
    }

    /// Loses the answers of the next `count` commits and holds the commits back until
    /// [`Self::release_late`].
    pub fn apply_late(&self, count: u32) {
        lock(&self.faults).late_writes = count;
    }

    /// Carries out the commits that were held back, oldest first, and returns their results.
    pub fn release_late(&self) -> Vec<TableResult> {
        let late: Vec<_> = lock(&self.faults).late.drain(..).collect();
        late.into_iter()
            .map(|transaction| self.table.execute(&TableRequest::Commit(transaction)))
            .collect()
    }

    /// Sets the age that the VM list has when it is read.
    pub fn set_vm_list_lag_ms(&self, lag_ms: u64) {
        lock(&self.vms).lag_ms = lag_ms;
    }

    /// Answers with the list as it stands now until [`Self::thaw_vm_list`].
    pub fn freeze_vm_list(&self) {
        let mut vms = lock(&self.vms);
        vms.frozen = Some(vms.current());
    }

    /// Ends [`Self::freeze_vm_list`].
    pub fn thaw_vm_list(&self) {
        lock(&self.vms).frozen = None;
    }

    /// Adds a VM, or replaces the one of the same name.
    pub fn put_vm(&self, entry: VmEntry) {
        self.change_vms(|vms| {
            vms.retain(|known| known.name != entry.name);
            vms.push(entry);
        });
    }

    /// Sets the state of a VM that is on the list.
    pub fn set_vm_state(&self, name: &str, state: VmState) {
        self.change_vms(|vms| {
            for vm in vms.iter_mut().filter(|vm| &*vm.name == name) {
                vm.state = state;
            }
        });
    }

    /// Takes a VM off the list.
    pub fn remove_vm(&self, name: &str) {
        self.change_vms(|vms| vms.retain(|vm| &*vm.name != name));
    }

    fn change_vms(&self, change: impl FnOnce(&mut Vec<VmEntry>)) {
        let mut vms = lock(&self.vms);
        let mut next = vms.history.last().cloned().unwrap_or_default();
        next.as_of_ms = now_ms();
        change(&mut next.vms);
        vms.history.push(next);
    }

    pub(crate) fn serve_table(&self, request: &TableRequest) -> Served<TableResult> {
        let commit = matches!(request, TableRequest::Commit(_));
        self.count(|counts| {
            counts.table_reads += u64::from(!commit);
            counts.table_commits += u64::from(commit);
        });
        self.serve(commit, || self.table.execute(request), || self.hold_back(request))
    }

    pub(crate) fn serve_put(&self, name: &str, bytes: &[u8]) -> Served<()> {
        self.count(|counts| counts.object_writes += 1);
        let store = || {
            lock(&self.objects).insert(name.into(), bytes.to_vec());
        };
        self.serve(true, store, || false)
    }

    pub(crate) fn serve_get(&self, name: &str) -> Served<Option<Vec<u8>>> {
        self.count(|counts| counts.object_reads += 1);
        self.serve(false, || lock(&self.objects).get(name).cloned(), || false)
    }

    pub(crate) fn serve_delete(&self, name: &str) -> Served<()> {
        self.count(|counts| counts.object_writes += 1);
        let remove = || {
            lock(&self.objects).remove(name);
        };
        self.serve(true, remove, || false)
    }

    pub(crate) fn serve_vms(&self) -> Served<VmSnapshot> {
        self.count(|counts| counts.vm_lists += 1);
        self.serve(false, || lock(&self.vms).visible(), || false)
    }

    fn count(&self, add: impl FnOnce(&mut PlatformCounts)) {
        add(&mut lock(&self.counts));
    }

    fn serve<T>(
        &self,
        write: bool,
        run: impl FnOnce() -> T,
        hold_back: impl FnOnce() -> bool,
    ) -> Served<T> {
        let delay_ms = lock(&self.faults).delay_ms;
        sleep_ms(delay_ms);
        match lock(&self.faults).outage {
            Outage::None => {}
            Outage::Refusing => return Served::Refused,
            Outage::Silent => return Served::Lost,
        }
        if write && hold_back() {
            return Served::Lost;
        }
        let answer = run();
        if write && self.takes_answer() {
            return Served::Lost;
        }
        Served::Answer(answer)
    }

    fn hold_back(&self, request: &TableRequest) -> bool {
        let mut faults = lock(&self.faults);
        let TableRequest::Commit(transaction) = request else {
            return false;
        };
        if faults.late_writes == 0 {
            return false;
        }
        faults.late_writes -= 1;
        faults.late.push_back(transaction.clone());
        true
    }

    fn takes_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        let lost = faults.lost_answers > 0;
        faults.lost_answers = faults.lost_answers.saturating_sub(1);
        lost
    }
}

impl Vms {
    fn current(&self) -> VmSnapshot {
        self.as_of(now_ms())
    }

    fn visible(&self) -> VmSnapshot {
        match &self.frozen {
            Some(frozen) => frozen.clone(),
            None => self.as_of(now_ms().saturating_sub(self.lag_ms)),
        }
    }

    fn as_of(&self, as_of_ms: u64) -> VmSnapshot {
        let in_force = self.history.iter().rev().find(|list| list.as_of_ms <= as_of_ms);
        VmSnapshot { as_of_ms, vms: in_force.map(|list| list.vms.clone()).unwrap_or_default() }
    }
}

impl<T> Served<T> {
    fn of_read(self) -> Result<T, PlatformError> {
        match self {
            Self::Answer(answer) => Ok(answer),
            Self::Refused | Self::Lost => Err(PlatformError::Unavailable),
        }
    }

    fn of_write(self) -> Result<T, PlatformError> {
        match self {
            Self::Answer(answer) => Ok(answer),
            Self::Refused => Err(PlatformError::Unavailable),
            Self::Lost => Err(PlatformError::Unknown),
        }
    }
}

impl TableService for MemoryPlatform {
    fn execute(&self, request: &TableRequest) -> TableResult {
        match (self.serve_table(request), request) {
            (Served::Answer(result), _) => result,
            (Served::Lost, TableRequest::Commit(_)) => TableResult::Unknown,
            (Served::Refused | Served::Lost, _) => TableResult::Unavailable,
        }
    }
}

impl ObjectStore for MemoryPlatform {
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        self.serve_put(name, bytes).of_write()
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.serve_get(name).of_read()
    }

    fn delete(&self, name: &str) -> Result<(), PlatformError> {
        self.serve_delete(name).of_write()
    }
}

impl VmList for MemoryPlatform {
    fn list(&self) -> Result<VmSnapshot, PlatformError> {
        self.serve_vms().of_read()
    }
}
