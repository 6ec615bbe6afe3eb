//! The start of simulated VMs: discovery and contacts by rows of the store, and the first copy of the tables.

use sedgepath_core::direct::bootstrap::Bootstrap;
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::vms::gossip::{Heartbeat, OutgoingMessage, PeerMessage};
use sedgepath_core::direct::vms::{ContactRole, ContactStep, StoreHealth};
use sedgepath_core::hash::{Map, Set};

use super::{Event, VmIndex, VmNetwork, address, vm_index};

/// The most rows in a response of the store.
const PAGE_ROWS: usize = 500;

/// How often a VM checks whether something is due, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;

/// The time after which a VM calls a store again that has turned it away, in milliseconds.
const RETRY_MS: u64 = 600;

/// The number of VMs to which a VM sends the tables at a time.
const MAX_TRANSFERS: usize = 3;

/// The timeout of a request to a VM that doesn't respond, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 800;

/// What VMs have asked of the store.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct StoreLoad {
    /// The calls that read, also those that were turned away.
    pub reads: u64,
    /// The calls that write.
    pub writes: u64,
    /// The rows that were read.
    pub rows: u64,
}

/// The size of the tables that a starting VM needs.
#[derive(Debug, Clone, Copy)]
pub struct TableSize {
    /// The number of rows.
    pub rows: usize,
    /// The time of a read of one page from the store, in milliseconds.
    pub page_ms: u64,
    /// The time in which one VM sends the tables to another, in milliseconds.
    pub transfer_ms: u64,
}

impl TableSize {
    fn pages(self) -> u64 {
        self.rows.div_ceil(PAGE_ROWS).max(1) as u64
    }
}

impl Default for TableSize {
    fn default() -> Self {
        Self { rows: 100, page_ms: 20, transfer_ms: 20 }
    }
}

/// The rows and tables of the store that VMs read at their start.
#[derive(Debug, Default)]
pub(super) struct StartingStore {
    tables: TableSize,
    vms_by_domain: Map<usize, Set<VmIndex>>,
    contacts: Set<VmIndex>,
    turned_away: Set<VmIndex>,
    load: StoreLoad,
}

impl StartingStore {
    fn record_read(&mut self, rows: usize) {
        self.load.reads += rows.div_ceil(PAGE_ROWS).max(1) as u64;
        self.load.rows += rows as u64;
    }
}

/// A VM's start.
#[derive(Debug)]
pub(super) struct VmStart {
    bootstrap: Bootstrap,
    contact: ContactRole,
    is_discovered: bool,
    is_reading: bool,
    is_requesting: bool,
    /// The number of VMs to which this one is sending the tables.
    transfers: usize,
    had_tables_at_ms: Option<u64>,
}

impl VmStart {
    fn has_tables(&self) -> bool {
        self.had_tables_at_ms.is_some()
    }
}

/// A step of a VM's start.
#[derive(Debug, Clone, Copy)]
pub(super) enum StartEvent {
    /// The VM calls the store for the rows of its failure domain.
    Discovery,
    /// The VM checks whether something is due.
    Check,
    /// A read of the tables from the store ends.
    ReadEnds { succeeded: bool },
    /// A request to another VM ends.
    RequestEnds { from: VmIndex, brought_tables: bool },
}

impl VmNetwork {
    /// Sets the size of the tables that starting VMs need.
    pub fn set_table_size(&mut self, tables: TableSize) {
        self.starting_store.tables = tables;
    }

    /// Sets which VMs the store turns away.
    pub fn turn_away(&mut self, vms: &[VmIndex]) {
        self.starting_store.turned_away = vms.iter().copied().collect();
    }

    /// Starts VMs that find each other, and get the tables, as daemons do.
    pub fn start_from_store(&mut self, vms: &[VmIndex]) {
        let regions = (0..self.count()).map(|vm| self.descriptor(vm));
        let region_by_domain: Map<_, _> = regions.map(|vm| (vm.domain, vm.region)).collect();
        for vm in vms {
            self.start_boot(*vm, None);
            let now_ms = self.now_ms;
            let starting = &mut self.vms[*vm];
            let table = starting.table.take();
            starting.table =
                table.map(|table| table.with_failure_domains(&region_by_domain, now_ms));
            starting.start = Some(VmStart {
                bootstrap: Bootstrap::new(now_ms),
                contact: ContactRole::default(),
                is_discovered: false,
                is_reading: false,
                is_requesting: false,
                transfers: 0,
                had_tables_at_ms: None,
            });
            let delay_ms = self.rng.u64(1..300);
            self.schedule_start(*vm, delay_ms, StartEvent::Discovery);
            self.schedule_start(*vm, delay_ms, StartEvent::Check);
        }
    }

    /// Returns what VMs have asked of the store.
    pub fn store_load(&self) -> StoreLoad {
        self.starting_store.load
    }

    /// Returns the time at which a VM got the tables, in milliseconds.
    pub fn had_tables_at_ms(&self, vm: VmIndex) -> Option<u64> {
        self.vms[vm].start.as_ref()?.had_tables_at_ms
    }

    /// Returns whether all VMs that started have the tables.
    pub fn all_have_tables(&self) -> bool {
        self.vms.iter().filter_map(|vm| vm.start.as_ref()).all(VmStart::has_tables)
    }

    fn schedule_start(&mut self, vm: VmIndex, delay_ms: u64, event: StartEvent) {
        let boot = self.vms[vm].boot_at_ms;
        self.schedule(self.now_ms + delay_ms, Event::Start { vm, boot, event });
    }

    pub(super) fn handle_start_event(&mut self, vm: VmIndex, boot: u64, event: StartEvent) {
        if let StartEvent::RequestEnds { from, brought_tables: true } = event
            && let Some(giver) = &mut self.vms[from].start
        {
            giver.transfers = giver.transfers.saturating_sub(1);
        }
        if self.vms[vm].boot_at_ms != boot || self.vms[vm].start.is_none() {
            return;
        }
        let resumes_at_ms = self.vms[vm].suspended_until_ms;
        if self.now_ms < resumes_at_ms {
            return self.schedule(resumes_at_ms, Event::Start { vm, boot, event });
        }
        match event {
            StartEvent::Discovery => self.discover(vm),
            StartEvent::Check => {
                self.follow_contacts(vm);
                self.check_tables(vm);
                self.schedule_start(vm, CHECK_INTERVAL_MS, StartEvent::Check);
            }
            StartEvent::ReadEnds { succeeded } => self.end_read(vm, succeeded),
            StartEvent::RequestEnds { brought_tables, .. } => {
                self.end_request(vm, brought_tables);
            }
        }
    }

    fn discover(&mut self, vm: VmIndex) {
        let store = &mut self.starting_store;
        if store.turned_away.contains(&vm) {
            store.load.writes += 1;
            return self.schedule_start(vm, RETRY_MS, StartEvent::Discovery);
        }
        let rows = store.vms_by_domain.entry(vm / self.per_domain).or_default();
        rows.insert(vm);
        let rows: Vec<VmIndex> = rows.iter().copied().collect();
        store.load.writes += 1;
        store.record_read(rows.len());
        let (now_ms, descriptor) = (self.now_ms, self.descriptor(vm));
        for other in rows {
            let (domain, region) = (&descriptor.domain, &descriptor.region);
            self.table_mut(vm).add_vm(address(other), domain, region, now_ms);
        }
        if let Some(start) = &mut self.vms[vm].start {
            start.is_discovered = true;
            start.bootstrap.record_discovery(now_ms);
        }
        self.announce(vm);
    }

    fn follow_contacts(&mut self, vm: VmIndex) {
        let now_ms = self.now_ms;
        let turned_away = self.starting_store.turned_away.contains(&vm);
        let super::Vm { table: Some(table), start: Some(start), .. } = &mut self.vms[vm] else {
            return;
        };
        if !start.is_discovered {
            return;
        }
        match start.contact.next_step(table, 1, now_ms) {
            ContactStep::None => {}
            ContactStep::Publish => {
                self.starting_store.load.writes += 1;
                if turned_away {
                    return start.contact.record_call(now_ms);
                }
                self.starting_store.contacts.insert(vm);
                start.contact.record_published(1);
            }
            ContactStep::Read => {
                start.contact.record_call(now_ms);
                if turned_away {
                    self.starting_store.load.reads += 1;
                } else {
                    self.starting_store.record_read(self.starting_store.contacts.len());
                    self.introduce(vm);
                }
            }
        }
    }

    fn introduce(&mut self, vm: VmIndex) {
        let (mut rng, stamp) = (self.rng.fork(), self.next_timestamp());
        let contacts = self.starting_store.contacts.iter();
        let contacts: Vec<_> =
            contacts.map(|contact| (address(*contact), self.descriptor(*contact).domain)).collect();
        let table = self.table_mut(vm);
        let contacts = contacts.iter().map(|(address, domain)| (*address, &**domain));
        let to = table.choose_introductions(contacts, &mut rng);
        let message = PeerMessage::Heartbeat(Heartbeat::Full(table.heartbeat(stamp)));
        self.send_all(vm, vec![OutgoingMessage { message, to }]);
    }

    fn check_tables(&mut self, vm: VmIndex) {
        let (now_ms, mut rng) = (self.now_ms, self.rng.fork());
        let tables = self.starting_store.tables;
        let super::Vm { table: Some(table), start: Some(start), .. } = &mut self.vms[vm] else {
            return;
        };
        if start.has_tables() || !start.is_discovered {
            return;
        }
        let domain = table.domain_at_start(now_ms);
        if !start.is_reading && start.bootstrap.reads_store(&domain, now_ms) {
            start.is_reading = true;
            let succeeded = !self.starting_store.turned_away.contains(&vm);
            self.starting_store.record_read(if succeeded { tables.rows } else { 0 });
            let took_ms = if succeeded { tables.pages() * tables.page_ms } else { RETRY_MS };
            self.schedule_start(vm, took_ms, StartEvent::ReadEnds { succeeded });
            let health = StoreHealth::Reachable { for_ms: 0 };
            self.table_mut(vm).set_replica_state([StoreVersion::default(); 2], health);
            self.announce(vm);
        }
        let Some(start) = &mut self.vms[vm].start else { return };
        if start.is_requesting {
            return;
        }
        if let Some(peer) = start.bootstrap.next_peer(&domain, &mut rng, now_ms) {
            start.is_requesting = true;
            self.request_tables(vm, vm_index(peer));
        }
    }

    fn request_tables(&mut self, vm: VmIndex, from: VmIndex) {
        let now_ms = self.now_ms;
        let is_suspended = now_ms < self.vms[from].suspended_until_ms;
        let transfer_ms = self.starting_store.tables.transfer_ms;
        let (delay_ms, brought_tables) = match &mut self.vms[from].start {
            Some(giver) if !is_suspended => {
                let has_room = giver.has_tables() && giver.transfers < MAX_TRANSFERS;
                giver.transfers += usize::from(has_room);
                if has_room && let Some(start) = &mut self.vms[vm].start {
                    start.bootstrap.record_rows(now_ms);
                }
                (if has_room { transfer_ms } else { 2 * self.in_region_ms }, has_room)
            }
            _ => (REQUEST_TIMEOUT_MS, false),
        };
        self.schedule_start(vm, delay_ms, StartEvent::RequestEnds { from, brought_tables });
    }

    fn end_read(&mut self, vm: VmIndex, succeeded: bool) {
        if let Some(start) = &mut self.vms[vm].start {
            start.is_reading = false;
        }
        if succeeded {
            self.take_tables(vm, StoreHealth::Reachable { for_ms: 0 });
        } else {
            self.table_mut(vm)
                .set_replica_state([StoreVersion::default(); 2], StoreHealth::Failing);
        }
    }

    fn end_request(&mut self, vm: VmIndex, brought_tables: bool) {
        let (now_ms, mut rng) = (self.now_ms, self.rng.fork());
        if let Some(start) = &mut self.vms[vm].start {
            start.is_requesting = false;
            start.bootstrap.record_response(brought_tables, &mut rng, now_ms);
        }
        if brought_tables {
            self.take_tables(vm, StoreHealth::Unknown);
        }
    }

    fn take_tables(&mut self, vm: VmIndex, health: StoreHealth) {
        let now_ms = self.now_ms;
        let Some(start) = self.vms[vm].start.as_mut().filter(|start| !start.has_tables()) else {
            return;
        };
        start.had_tables_at_ms = Some(now_ms);
        self.table_mut(vm).set_replica_state([StoreVersion::new(1, 100); 2], health);
        self.announce(vm);
    }

    /// Sends a VM's full heartbeat to its failure domain.
    fn announce(&mut self, vm: VmIndex) {
        let (stamp, now_ms) = (self.next_timestamp(), self.now_ms);
        let heartbeat = self.table_mut(vm).full_heartbeat(stamp, now_ms);
        self.send_all(vm, vec![heartbeat]);
    }
}
