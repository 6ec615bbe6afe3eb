//! Log lines on standard output: bounded in volume, never waited for, ordered over all VMs.
//!
//! Each line begins with `at=`, a stamp of the hybrid logical clock that VMs hand on in their
//! heartbeats, so that collected lines of all VMs merge in one order although their clocks differ.
//!
//! A line costs processor time that requests need, most of all under load. Two budgets bound it: calm
//! outcomes, of which a sample tells enough, and everything else. What is left out is counted, and
//! the count is logged. A thread of its own writes; should the reader of standard output stand still,
//! lines are left out in its place of requests waiting.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use sedgepath_core::clock::{HybridLogicalClock, HybridTimestamp};

use super::clock;

/// The target of lines that tell of calm outcomes.
pub const CALM: &str = "calm";

/// The lines of calm outcomes a second. With some 20 requests a second on a VM all are logged; above,
/// a sample.
const CALM_PER_S: u64 = 20;

/// The other lines a second. Each costs some microseconds, so that these take under a hundredth of a
/// fifth of a core.
const URGENT_PER_S: u64 = 200;

/// The lines that may wait to be written.
const QUEUE_LINES: usize = 1_024;

/// How often it is looked whether lines were left out.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// The longest that a process about to end waits for its last lines to be written, in milliseconds; a
/// reader that stands still must not hold up the end. Less than the margin that a stop leaves.
const LAST_LINES_MS: u64 = 100;

/// How often it looks, in milliseconds.
const LAST_LINES_CHECK_MS: u64 = 2;

/// A budget of lines for each second.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: u64,
    used: u64,
}

impl LineBudget {
    /// Whether one more line may be written now.
    pub fn allow(&mut self, per_s: u64, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if self.second != second {
            self.second = second;
            self.used = 0;
        }
        self.used += 1;
        self.used <= per_s
    }
}

#[derive(Debug, Default)]
struct Budgets {
    calm: LineBudget,
    urgent: LineBudget,
}

#[derive(Debug, Default)]
struct LeftOut {
    calm: AtomicU64,
    urgent: AtomicU64,
}

/// The lines of a process on their way to its standard output.
#[derive(Debug, Clone, Default)]
pub struct Lines {
    waiting: Arc<AtomicU64>,
}

impl Lines {
    /// Waits until all lines are written, but not for long. The process's end would lose them, the one
    /// that tells of its stop among them.
    pub async fn finish(&self) {
        let until_ms = clock::now_ms() + LAST_LINES_MS;
        while self.waiting.load(Ordering::Acquire) > 0 && clock::now_ms() < until_ms {
            tokio::time::sleep(Duration::from_millis(LAST_LINES_CHECK_MS)).await;
        }
    }
}

/// The order of lines over all VMs.
#[derive(Debug, Clone, Default)]
pub struct LineClock {
    clock: Arc<Mutex<HybridLogicalClock>>,
}

impl LineClock {
    /// Returns the stamp of a line or of a heartbeat about to be sent.
    pub fn tick(&self) -> HybridTimestamp {
        self.lock().tick(clock::unix_ms())
    }

    /// Takes in the stamp of a heartbeat.
    pub fn merge(&self, heard: HybridTimestamp) {
        self.lock().merge(clock::unix_ms(), heard);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HybridLogicalClock> {
        // No code panics while it holds the lock.
        self.clock.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts logging for a VM.
///
/// # Errors
///
/// Fails if a logger is in place already.
pub fn start(vm: &str) -> Result<(LineClock, Lines), log::SetLoggerError> {
    let line_clock = LineClock::default();
    let lines = Lines::default();
    let (sender, receiver) = bounded(QUEUE_LINES);
    let left_out = Arc::new(LeftOut::default());
    let counted = Arc::clone(&left_out);
    let budgets = Mutex::new(Budgets::default());
    let stamps = line_clock.clone();
    let vm: Box<str> = vm.into();
    let writer_vm = vm.clone();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("sedgepathd", log::LevelFilter::Info)
        .level_for(CALM, log::LevelFilter::Info)
        .filter(move |metadata| within_budget(&budgets, &counted, metadata.target() == CALM))
        .format(move |out, message, record| {
            let HybridTimestamp { time_ms, count } = stamps.tick();
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("at={time_ms}.{count} vm={vm} level={level} {message}"));
        })
        .chain(fern::Output::call(queue(sender, lines.clone(), Arc::clone(&left_out))))
        .apply()?;
    let stamps = line_clock.clone();
    let writing = lines.clone();
    std::thread::spawn(move || write(&receiver, &writing, &left_out, &stamps, &writer_vm));
    Ok((line_clock, lines))
}

fn within_budget(budgets: &Mutex<Budgets>, left_out: &LeftOut, calm: bool) -> bool {
    let now_ms = clock::now_ms();
    let mut budgets = budgets.lock().unwrap_or_else(PoisonError::into_inner);
    let (allowed, counter) = if calm {
        (budgets.calm.allow(CALM_PER_S, now_ms), &left_out.calm)
    } else {
        (budgets.urgent.allow(URGENT_PER_S, now_ms), &left_out.urgent)
    };
    if !allowed {
        counter.fetch_add(1, Ordering::Relaxed);
    }
    allowed
}

fn queue(
    sender: Sender<String>,
    lines: Lines,
    left_out: Arc<LeftOut>,
) -> impl Fn(&log::Record<'_>) + Send + Sync {
    move |record| {
        lines.waiting.fetch_add(1, Ordering::Release);
        if sender.try_send(record.args().to_string()).is_err() {
            lines.waiting.fetch_sub(1, Ordering::Release);
            left_out.urgent.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write(
    receiver: &Receiver<String>,
    lines: &Lines,
    left_out: &LeftOut,
    stamps: &LineClock,
    vm: &str,
) {
    let mut report_at_ms = 0;
    loop {
        let mut taken = 0;
        let mut text = match receiver.recv_timeout(REPORT_EVERY) {
            Ok(line) => {
                taken += 1;
                line + "\n"
            }
            Err(error) if error.is_timeout() => String::new(),
            Err(_disconnected) => return,
        };
        for line in receiver.try_iter() {
            taken += 1;
            text.push_str(&line);
            text.push('\n');
        }
        if clock::now_ms() >= report_at_ms {
            report_at_ms = clock::now_ms() + REPORT_EVERY.as_millis() as u64;
            let calm = left_out.calm.swap(0, Ordering::Relaxed);
            let urgent = left_out.urgent.swap(0, Ordering::Relaxed);
            text.push_str(&told_left_out(calm, urgent, stamps, vm));
        }
        let mut out = std::io::stdout().lock();
        // Nobody reads the lines any more; requests go on.
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
        lines.waiting.fetch_sub(taken, Ordering::Release);
    }
}

fn told_left_out(calm: u64, urgent: u64, stamps: &LineClock, vm: &str) -> String {
    if calm + urgent == 0 {
        return String::new();
    }
    let HybridTimestamp { time_ms, count } = stamps.tick();
    format!(
        "at={time_ms}.{count} vm={vm} level=info event=lines_left_out calm={calm} urgent={urgent}\n"
    )
}
