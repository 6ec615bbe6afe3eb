//! Measures a daemon's CPU time, memory and threads, and the latency that the hop adds to a request.

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use sedgepath_test_support::caller::{Call, Caller, Outcome};
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::system::DaemonCluster;
use sedgepath_test_support::upstream::{UpstreamConfig, UpstreamStandIn};

/// The time over which the CPU time of an idle daemon is measured.
const IDLE_DURATION: Duration = Duration::from_secs(10);

/// The number of requests that are timed on each path.
const REQUESTS: usize = 3_000;

/// The clock ticks per second in which Linux counts CPU time.
const TICKS_PER_S: f64 = 100.0;

/// The URL path of a request through an entry VM.
const CALL_PATH: &str = "/v1/call/browse/echo";

/// Prints the daemon's resource usage and the latency of each path.
pub fn measure() -> Result<(), Box<dyn Error>> {
    let upstream = UpstreamStandIn::new(UpstreamConfig::new(64))?;
    let spec = UpstreamSpec::new("b1", "south-a", 64).with_address(upstream.addr());
    let records = records::one_service("browse", 5_000, &[spec], &["south-a"]);
    let system = DaemonCluster::new(&std::env::current_exe()?)?
        .with_daemons(&records, &[("n1", "north-a"), ("s1", "south-a")])?;
    let entries = system.caller_addresses();
    if !system.wait_until_all_serve(|entry, _| is_answered(entry)) {
        return Err("the daemons serve nothing".into());
    }

    let id = system.daemons[0].as_ref().ok_or("no daemon")?.id();
    let before_s = cpu_time_s(id)?;
    thread::sleep(IDLE_DURATION);
    let idle_share = (cpu_time_s(id)? - before_s) / IDLE_DURATION.as_secs_f64();
    println!(
        "\ndaemon idle: {:.2}% of a core, {} kB resident, {} threads",
        idle_share * 100.0,
        status_value(id, "VmRSS")?,
        status_value(id, "Threads")?
    );

    println!("\nway                                   p50 us   p99 us");
    print_latencies("straight to the upstream", &time_requests_to(upstream.addr(), "/echo")?);
    print_latencies("through the owner's own daemon", &time_requests_to(entries[1], CALL_PATH)?);
    let before_s = cpu_time_s(id)?;
    print_latencies(
        "through the daemon of another domain",
        &time_requests_to(entries[0], CALL_PATH)?,
    );
    let each_us = (cpu_time_s(id)? - before_s) / REQUESTS as f64 * 1e6;
    println!("processor time of the ingress: {each_us:.0} us a request");

    let before_s = cpu_time_s(id)?;
    let started = Instant::now();
    let answered = look_ups(entries[0])?;
    let took_s = started.elapsed().as_secs_f64();
    let used_s = cpu_time_s(id)? - before_s;
    println!(
        "look-ups over HTTP: {:.0} a second by one caller, {:.0} us of processor time each",
        answered as f64 / took_s,
        used_s / answered as f64 * 1e6
    );
    Ok(())
}

fn is_answered(entry: SocketAddr) -> bool {
    let call = Call::new("guest", "browse", CALL_PATH);
    matches!(Caller::new([entry]).call(&call).outcome, Outcome::Answered { .. })
}

/// Times requests over one persistent connection to this address, without a look-up.
fn time_requests_to(address: SocketAddr, path: &str) -> Result<Histogram<u64>, Box<dyn Error>> {
    let mut stream = std::net::TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    time_requests(|| http_get(&mut stream, path))
}

fn time_requests(
    mut request: impl FnMut() -> Result<(), Box<dyn Error>>,
) -> Result<Histogram<u64>, Box<dyn Error>> {
    let mut latencies = Histogram::new(3)?;
    for number in 0..REQUESTS + REQUESTS / 10 {
        let started = Instant::now();
        request()?;
        // The first requests only warm up the connections.
        if number >= REQUESTS / 10 {
            latencies.record(started.elapsed().as_micros() as u64)?;
        }
    }
    Ok(latencies)
}

fn look_ups(entry: SocketAddr) -> Result<usize, Box<dyn Error>> {
    const LOOK_UPS: usize = 20_000;
    let mut stream = std::net::TcpStream::connect(entry)?;
    stream.set_nodelay(true)?;
    for _ in 0..LOOK_UPS {
        http_get(&mut stream, "/v1/lookup?service=browse")?;
    }
    Ok(LOOK_UPS)
}

/// Sends a request and reads its response up to the declared length.
fn http_get(stream: &mut std::net::TcpStream, path: &str) -> Result<(), Box<dyn Error>> {
    use std::io::{Read, Write};
    stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").as_bytes())?;
    let mut response = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Err("the connection was closed".into());
        }
        response.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&response);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>())?.ok()
        });
        if body.len() >= length.unwrap_or(0) {
            return Ok(());
        }
    }
}

fn print_latencies(name: &str, latencies: &Histogram<u64>) {
    let quantile = |quantile| latencies.value_at_quantile(quantile);
    println!("{name:<37} {:>7} {:>8}", quantile(0.5), quantile(0.99));
}

/// Returns the CPU time that a process has used, in seconds: fields 14 and 15 of `/proc/PID/stat`.
fn cpu_time_s(id: u32) -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let rest = stat.rsplit_once(')').ok_or("no process name")?.1;
    let ticks: u64 = rest
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Ok(ticks as f64 / TICKS_PER_S)
}

fn status_value(id: u32, name: &str) -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find(|line| line.starts_with(name)).ok_or("no such figure")?;
    Ok(line.split_whitespace().nth(1).ok_or("no value")?.parse()?)
}
