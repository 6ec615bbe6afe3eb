//! Clients with a kept connection send a request for a large download and further safe requests behind it, as the
//! pages say some do, and don't read for some seconds, well within their deadline. Then they read on.

use std::collections::HashSet;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use sedgepath_store_stand_in::{StoreMode, StoreStandIn};

use crate::backend::Backend;
use crate::fleet::{Fleet, configuration_with_packs};
use crate::http::{read_body, read_head, request};
use crate::record::Record;

/// The zones with a machine: one in each region.
const MACHINE_ZONES: [&str; 3] = ["one-a", "two-a", "three-a"];
const CLIENTS_PER_MACHINE: usize = 3;
/// The requests behind the download.
const READS_BEHIND: usize = 3;
/// The time from the start of the machines to the trouble: more than `stabilityWindow`.
const CALM: Duration = Duration::from_secs(6);
/// For how long clients don't read.
const PAUSE: Duration = Duration::from_millis(4_000);
/// The clients' deadline for downloads.
const DEADLINE_MS: u64 = 8_000;
/// The bound of the rule: more than three requests.
const ALLOWED: usize = 3;

/// What a client got of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Got {
    WholeAnswer,
    PartOfAnswer,
    Nothing,
}

/// A request and its answer.
#[derive(Debug)]
struct Exchange {
    id: String,
    machine: usize,
    got: Got,
}

pub fn run(folder: &Path, trouble: bool) -> bool {
    let record = Record::create(&folder.join("record.txt"));
    let store = StoreStandIn::new().expect("a store");
    // The pages know no eras; the store takes 4 ms an answer.
    store.set_era(None);
    store.set_mode(StoreMode::DelayedByMs(4));
    store.put("op", "config", configuration_with_packs(1).to_string().as_bytes());
    let work = Duration::from_millis(300);
    let backends: Vec<Backend> = (0..9)
        .map(|n| Backend::start(&format!("i-{n}"), "shop", MACHINE_ZONES[n % 3], work, &record))
        .collect();
    for backend in &backends {
        backend.register(&store);
    }
    let temporary = crate::temporary_folder();
    let mut fleet = Fleet::new(store.address, temporary.clone());
    let machines: Vec<usize> = MACHINE_ZONES.iter().map(|zone| fleet.add(zone)).collect();
    for machine in &machines {
        fleet.start(*machine);
    }
    fleet.wait_until_ready(&machines);
    record.say("all machines are ready");
    std::thread::sleep(CALM);

    let threads: Vec<_> = machines
        .iter()
        .flat_map(|machine| (0..CLIENTS_PER_MACHINE).map(move |client| (*machine, client)))
        .map(|(machine, client)| {
            let (front, record) = (fleet.front(machine), record.clone());
            std::thread::spawn(move || {
                converse(machine, client, front, trouble, &record).unwrap_or_else(|error| {
                    eprintln!("a client could not begin: {error}");
                    std::process::exit(2);
                })
            })
        })
        .collect();
    let exchanges: Vec<Exchange> =
        threads.into_iter().flat_map(|thread| thread.join().expect("a client")).collect();

    let ran: HashSet<String> = backends
        .iter()
        .flat_map(Backend::runs)
        .filter(|run| run.completed)
        .map(|run| run.id)
        .collect();
    let count = |got: Got, machine: Option<usize>| {
        let of = exchanges.iter().filter(|exchange| {
            exchange.got == got
                && machine.is_none_or(|machine| machine == exchange.machine)
                && ran.contains(&exchange.id)
        });
        of.count()
    };
    let mut broken = false;
    for machine in machines {
        let lost = count(Got::Nothing, Some(machine));
        record.say(&format!("machine {machine}: passed on, run and never answered: {lost}"));
        broken |= lost > ALLOWED;
    }
    record.say(&format!(
        "of {} requests: whole answers {}, cut answers {}, passed on and run but without an answer {}",
        exchanges.len(),
        count(Got::WholeAnswer, None),
        count(Got::PartOfAnswer, None),
        count(Got::Nothing, None),
    ));
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    drop(fleet);
    let _ = std::fs::remove_dir_all(temporary);
    broken
}

/// Sends requests on one connection: one whose answer is read at once, then the others together.
fn converse(
    machine: usize,
    client: usize,
    front: SocketAddr,
    trouble: bool,
    record: &Record,
) -> io::Result<Vec<Exchange>> {
    let name = format!("m{machine}c{client}");
    let mut stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    stream.write_all(&request("GET", "/reads/0", &format!("{name}-first"), DEADLINE_MS, b""))?;
    let mut first = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut first)?;
    record.write(&format!("client={name} first answer {}", first.status()));

    let sent_at = Instant::now();
    let mut ids = vec![format!("{name}-pack")];
    let mut bytes = request("GET", "/packs/1", &ids[0], DEADLINE_MS, b"");
    for read in 0..READS_BEHIND {
        let id = format!("{name}-read{read}");
        bytes.extend(request("GET", &format!("/reads/{read}"), &id, DEADLINE_MS, b""));
        ids.push(id);
    }
    stream.write_all(&bytes)?;
    record.write(&format!("client={name} sends {}", ids.join(" ")));
    if trouble {
        std::thread::sleep(PAUSE);
    }
    record.write(&format!("client={name} reads"));
    let mut exchanges = Vec::new();
    let mut is_open = true;
    for id in ids {
        let got = if is_open { read_answer(&mut reader, &id) } else { Got::Nothing };
        is_open &= got == Got::WholeAnswer;
        record.write(&format!(
            "client={name} id={id} {got:?} {} ms after it was sent",
            sent_at.elapsed().as_millis()
        ));
        exchanges.push(Exchange { id, machine, got });
    }
    Ok(exchanges)
}

fn read_answer(reader: &mut BufReader<TcpStream>, id: &str) -> Got {
    let mut first = [0];
    if !matches!(reader.read(&mut first), Ok(1)) {
        return Got::Nothing;
    }
    // The first byte is the `H` of the status line.
    let Ok(Some(mut answer)) = read_head(reader) else { return Got::PartOfAnswer };
    let is_whole = read_body(reader, &mut answer).is_ok()
        && answer.header("x-sedgepath-attempt-id") == id
        && answer.status() == 200;
    if is_whole { Got::WholeAnswer } else { Got::PartOfAnswer }
}
