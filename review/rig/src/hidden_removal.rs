//! Half of the machines are killed at the same moment, among them those that follow the store. While they are
//! down, the entry of a backend is removed, which goes on serving for `drain` and some seconds more.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sedgepath_store_stand_in::{StoreMode, StoreStandIn};

use crate::backend::Backend;
use crate::fleet::{Directory, Fleet, ZONES, configuration};
use crate::http::{call, request};
use crate::record::Record;

const DRAIN_MS: u64 = 2_500;
const STABILITY_WINDOW_MS: u64 = 3_000;
/// How long the backend serves after its removal: `drain`, and "at times many seconds" more.
const SERVES_ON: Duration = Duration::from_millis(DRAIN_MS + 6_000);
const DEADLINE_MS: u64 = 4_000;

/// A client's request.
#[derive(Debug, Clone)]
struct Sent {
    id: String,
    machine: usize,
    status: String,
}

pub fn run(folder: &Path, trouble: bool) -> bool {
    let record = Record::create(&folder.join("record.txt"));
    let store = StoreStandIn::new().expect("a store");
    // The pages know no eras; the site's store takes 4 ms an answer.
    store.set_era(None);
    store.set_mode(StoreMode::DelayedByMs(4));
    store.put("op", "config", configuration(1).to_string().as_bytes());
    let work = Duration::from_millis(840);
    let mut backends: Vec<Backend> = ZONES
        .iter()
        .enumerate()
        .map(|(n, (zone, _))| Backend::start(&format!("i-{n}"), "shop", zone, work, &record))
        .collect();
    let leaving = Backend::start("i-leaving", "shop", "one-b", work, &record);
    backends.push(leaving.clone());
    for backend in &backends {
        backend.register(&store);
    }
    let temporary = crate::temporary_folder();
    let mut fleet = Fleet::new(store.address, temporary.clone());
    let all: Vec<usize> = ZONES.iter().map(|(zone, _)| fleet.add(zone)).collect();
    for index in &all {
        fleet.start(*index);
    }
    fleet.wait_until_ready(&all);
    record.say("all machines are ready");
    let directory = fleet.directory();

    let stop = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = (0..96)
        .map(|client| {
            let zone = ZONES[client % ZONES.len()].0;
            let (directory, stop, next_id, sent, record) = (
                directory.clone(),
                Arc::clone(&stop),
                Arc::clone(&next_id),
                Arc::clone(&sent),
                record.clone(),
            );
            std::thread::spawn(move || {
                client_loop(client, zone, &directory, &stop, &next_id, &sent, &record)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(8));

    // The first machine of each region follows the store for it.
    let killed: Vec<usize> =
        all.iter().copied().filter(|index| ZONES[*index].0.ends_with("-a")).collect();
    if trouble {
        for index in &killed {
            fleet.kill(*index);
        }
        record.say(&format!("killed {} of {} machines at once", killed.len(), all.len()));
    }
    std::thread::sleep(Duration::from_millis(200));
    store.remove("servers", &leaving.name);
    let removed_ms = record.now_ms();
    record.say("the store has accepted that the entry of i-leaving is removed");
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        for index in &killed {
            fleet.start(*index);
        }
        record.say("the killed machines start again");
    }
    std::thread::sleep(SERVES_ON - Duration::from_millis(300));
    leaving.exit();
    record.say("i-leaving exits");
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let sent = sent.lock().expect("unpoisoned").clone();
    let late: Vec<_> =
        leaving.runs().into_iter().filter(|run| run.arrived_ms > removed_ms + DRAIN_MS).collect();
    let machine_of = |id: &str| sent.iter().find(|sent| sent.id == id);
    let mut in_touch_late = 0;
    let mut lost = 0;
    for run in &late {
        let Some(request) = machine_of(&run.id) else { continue };
        let was_killed = trouble && killed.contains(&request.machine);
        if was_killed && run.arrived_ms < removed_ms + 300 + STABILITY_WINDOW_MS {
            continue;
        }
        in_touch_late += 1;
        lost += u64::from(!run.completed && run.line.starts_with("POST"));
        record.write(&format!(
            "late: id={} machine={} arrived {} ms after the removal, completed={}, its client got {}",
            run.id,
            request.machine,
            run.arrived_ms - removed_ms,
            run.completed,
            request.status,
        ));
    }
    record.say(&format!(
        "requests={} served={} late at i-leaving from machines in touch={in_touch_late}, of these unsafe and cut \
         by its exit={lost}",
        sent.len(),
        sent.iter().filter(|sent| sent.status == "200").count(),
    ));
    let broken = in_touch_late > 0;
    record.say(if broken { "DRAIN is broken" } else { "DRAIN holds" });
    drop(fleet);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(temporary);
    }
    broken
}

/// Sends a request about every 300 ms to a machine that the directory names.
#[allow(clippy::too_many_arguments)]
fn client_loop(
    client: usize,
    zone: &str,
    directory: &Directory,
    stop: &AtomicBool,
    next_id: &AtomicU64,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    let mut turn = client;
    while !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(150 + (turn as u64 * 37) % 100));
        turn += 1;
        let addresses = directory.resolve(zone);
        if addresses.is_empty() {
            continue;
        }
        let address = addresses[turn % addresses.len()];
        let Some(machine) = directory.index_of(address) else { continue };
        let id = format!("r{:06}", next_id.fetch_add(1, Ordering::SeqCst));
        let (method, path, body) = if turn / 2 % 2 == 0 {
            ("POST", "/charges/1", &b"pay"[..])
        } else {
            ("GET", "/reads/1", &b""[..])
        };
        record
            .write(&format!("client={client} sends id={id} {method} {path} to machine={machine}"));
        let bytes = request(method, path, &id, DEADLINE_MS, body);
        let outcome = call(address, &bytes, Duration::from_millis(DEADLINE_MS));
        record.write(&format!("client={client} id={id} gets {}", outcome.text()));
        sent.lock().expect("unpoisoned").push(Sent { id, machine, status: outcome.text() });
    }
}
