//! Measures what a fleet of growing size asks of the store and of its own links while it starts, after a
//! loss of many VMs, and after an outage of the store, on a simulated clock.
//!
//! Nine failure domains in three regions, with ten upstreams for each VM.
//!
//! `cargo run --release -p sedgepath-core --example fleet_start`

use std::time::Instant;

use sedgepath_test_support::vm_network::{StoreLoad, TableSize, VmIndex, VmNetwork};

const DOMAINS: usize = 9;

const VMS_PER_DOMAIN: [usize; 4] = [11, 33, 110, 222];

/// The VMs in a domain up to which restarts are simulated too; beyond, they take minutes.
const MAX_RESTARTED_PER_DOMAIN: usize = 110;

const UPSTREAMS_PER_VM: usize = 10;

/// The time of a read of one page from the store, in milliseconds.
const PAGE_MS: u64 = 60;

/// The time in which a VM with a slow link sends the rows of 1,000 upstreams, in milliseconds.
const TRANSFER_MS_PER_1000_ROWS: u64 = 50;

/// The longest time that is simulated for a start, in milliseconds.
const MAX_START_MS: u64 = 60_000;

/// The length of an outage of the store, in milliseconds.
const OUTAGE_MS: u64 = 10_000;

/// Of how many VMs one is killed.
const KILLED_ONE_OF: usize = 11;

/// What a phase asked for.
#[derive(Debug, Clone, Copy)]
struct Cost {
    calls: u64,
    rows: u64,
    busiest_bytes: u64,
    took_ms: u64,
}

struct Meter {
    load: StoreLoad,
    bytes_by_vm: Vec<u64>,
    at_ms: u64,
}

impl Meter {
    fn new(net: &VmNetwork) -> Self {
        Self {
            load: net.store_load(),
            bytes_by_vm: net.sent_bytes_by_vm.clone(),
            at_ms: net.now_ms(),
        }
    }

    fn cost(&self, net: &VmNetwork) -> Cost {
        let load = net.store_load();
        let by_vm = net.sent_bytes_by_vm.iter().zip(&self.bytes_by_vm);
        Cost {
            calls: load.reads + load.writes - self.load.reads - self.load.writes,
            rows: load.rows - self.load.rows,
            busiest_bytes: by_vm.map(|(after, before)| after - before).max().unwrap_or(0),
            took_ms: net.now_ms() - self.at_ms,
        }
    }
}

/// Runs until all VMs have the tables and hear all others, and returns the cost.
fn run_until_started(net: &mut VmNetwork, meter: &Meter) -> Cost {
    let all_known = |net: &VmNetwork| {
        let running = net.running_vms();
        let observers = running.iter().step_by(running.len() / DOMAINS);
        observers.into_iter().all(|vm| net.serving(*vm) == running)
    };
    net.run_until(MAX_START_MS, VmNetwork::all_have_tables);
    net.run_until(MAX_START_MS, all_known);
    meter.cost(net)
}

fn start(net: &mut VmNetwork, vms: &[VmIndex]) -> Cost {
    let meter = Meter::new(net);
    net.start_from_store(vms);
    run_until_started(net, &meter)
}

fn print_row(vms: usize, phase: &str, cost: Cost) {
    let Cost { calls, rows, busiest_bytes, took_ms } = cost;
    println!("| {vms} | {phase} | {calls} | {rows} | {} | {took_ms} |", busiest_bytes / 1_000);
}

fn main() {
    println!("| VMs | phase | calls | rows read | busiest VM, KB sent | took ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for per_domain in VMS_PER_DOMAIN {
        let started_at = Instant::now();
        let vms = DOMAINS * per_domain;
        let rows = vms * UPSTREAMS_PER_VM;
        let transfer_ms = (rows as u64 * TRANSFER_MS_PER_1000_ROWS / 1_000).max(10);
        let mut net = VmNetwork::new(DOMAINS, per_domain, 1);
        net.set_table_size(TableSize { rows, page_ms: PAGE_MS, transfer_ms });
        let all: Vec<VmIndex> = (0..vms).collect();
        print_row(vms, "all start", start(&mut net, &all));
        if per_domain > MAX_RESTARTED_PER_DOMAIN {
            break;
        }

        let killed: Vec<VmIndex> = all.iter().copied().step_by(KILLED_ONE_OF).collect();
        net.kill(&killed);
        net.run_for(2_000);
        print_row(vms, "one in 11 restarts", start(&mut net, &killed));

        net.kill(&all);
        net.turn_away(&all);
        net.start_from_store(&all);
        net.run_for(OUTAGE_MS);
        net.turn_away(&[]);
        let meter = Meter::new(&net);
        let cost = run_until_started(&mut net, &meter);
        print_row(vms, "all restart in an outage, after it", cost);
        eprintln!("{vms} VMs simulated in {} s", started_at.elapsed().as_secs());
    }
}
