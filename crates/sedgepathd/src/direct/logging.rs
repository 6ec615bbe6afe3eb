//! Log lines on standard output, bounded in volume and ordered across VMs.
//!
//! Each line begins with `at=`, a timestamp of the hybrid logical clock that VMs exchange in their
//! heartbeats, so that lines of all VMs merge in one order although their clocks differ.
//!
//! Two budgets bound the lines of each second: one for routine outcomes, one for everything else but the lines
//! of a planned stop. A separate thread writes, so that requests never wait for standard output. Dropped lines are
//! counted and the counts are logged.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use sedgepath_core::clock::{HybridLogicalClock, HybridTimestamp};

use super::clock;

/// The log target of routine outcomes, which are sampled under load.
pub const ROUTINE_TARGET: &str = "calm";

/// The log target of a planned stop and of the requests that it ends or rejects. No budget limits these lines:
/// each request has one or two.
pub const STOP_TARGET: &str = "stop";

/// The most lines of routine outcomes a second.
const MAX_ROUTINE_LINES_PER_S: u64 = 20;

/// The most other lines a second; bounds the processor time that logging takes from requests. At some
/// microseconds a line, it is less than a hundredth of a fifth of a core.
const MAX_PRIORITY_LINES_PER_S: u64 = 200;

/// The most lines that may wait to be written.
const MAX_QUEUED_LINES: usize = 1_024;

/// How often the counts of dropped lines are logged.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The longest that a stopping process waits for its last lines, in milliseconds. Less than the
/// margin of a planned stop, which a blocked standard output must not delay.
const MAX_FLUSH_MS: u64 = 100;

/// How often a stopping process checks for unwritten lines, in milliseconds.
const FLUSH_CHECK_INTERVAL_MS: u64 = 2;

/// A limit on the lines of each second.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: u64,
    used: u64,
}

impl LineBudget {
    /// Counts a line and returns whether it is within the limit of this second.
    pub fn try_take(&mut self, per_s: u64, now_ms: u64) -> bool {
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
    routine: LineBudget,
    priority: LineBudget,
}

#[derive(Debug, Default)]
struct DroppedLines {
    routine: AtomicU64,
    priority: AtomicU64,
}

/// The lines that are queued and not yet written to standard output.
#[derive(Debug, Clone, Default)]
pub struct PendingLines {
    count: Arc<AtomicU64>,
}

impl PendingLines {
    /// Waits, for a bounded time, until all queued lines are written; the process's end would lose
    /// them.
    pub async fn flush(&self) {
        let deadline_ms = clock::now_ms() + MAX_FLUSH_MS;
        while self.count.load(Ordering::Acquire) > 0 && clock::now_ms() < deadline_ms {
            tokio::time::sleep(Duration::from_millis(FLUSH_CHECK_INTERVAL_MS)).await;
        }
    }
}

/// The hybrid logical clock that orders log lines across VMs.
#[derive(Debug, Clone, Default)]
pub struct LogClock {
    clock: Arc<Mutex<HybridLogicalClock>>,
}

impl LogClock {
    /// Returns the timestamp of a new log line or heartbeat.
    pub fn tick(&self) -> HybridTimestamp {
        self.lock().tick(clock::unix_ms())
    }

    /// Advances the clock past the timestamp of a received heartbeat.
    pub fn merge(&self, received: HybridTimestamp) {
        self.lock().merge(clock::unix_ms(), received);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HybridLogicalClock> {
        // No code panics while it holds the lock.
        self.clock.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Installs the logger of a VM and starts its writer thread.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub fn start(vm: &str) -> Result<(LogClock, PendingLines), log::SetLoggerError> {
    let log_clock = LogClock::default();
    let pending = PendingLines::default();
    let (sender, receiver) = bounded(MAX_QUEUED_LINES);
    let dropped = Arc::new(DroppedLines::default());
    let filter_dropped = Arc::clone(&dropped);
    let budgets = Mutex::new(Budgets::default());
    let format_clock = log_clock.clone();
    let vm: Box<str> = vm.into();
    let writer_vm = vm.clone();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("sedgepathd", log::LevelFilter::Info)
        .level_for(ROUTINE_TARGET, log::LevelFilter::Info)
        .level_for(STOP_TARGET, log::LevelFilter::Info)
        .filter(move |metadata| within_budget(&budgets, &filter_dropped, metadata.target()))
        .format(move |out, message, record| {
            let HybridTimestamp { time_ms, count } = format_clock.tick();
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("at={time_ms}.{count} vm={vm} level={level} {message}"));
        })
        .chain(fern::Output::call(queue_lines(sender, pending.clone(), Arc::clone(&dropped))))
        .apply()?;
    let writer_clock = log_clock.clone();
    let writer_pending = pending.clone();
    std::thread::spawn(move || {
        write_lines(&receiver, &writer_pending, &dropped, &writer_clock, &writer_vm);
    });
    Ok((log_clock, pending))
}

fn within_budget(budgets: &Mutex<Budgets>, dropped: &DroppedLines, target: &str) -> bool {
    let now_ms = clock::now_ms();
    let mut budgets = budgets.lock().unwrap_or_else(PoisonError::into_inner);
    let (allowed, counter) = match target {
        STOP_TARGET => return true,
        ROUTINE_TARGET => {
            (budgets.routine.try_take(MAX_ROUTINE_LINES_PER_S, now_ms), &dropped.routine)
        }
        _ => (budgets.priority.try_take(MAX_PRIORITY_LINES_PER_S, now_ms), &dropped.priority),
    };
    if !allowed {
        counter.fetch_add(1, Ordering::Relaxed);
    }
    allowed
}

fn queue_lines(
    sender: Sender<String>,
    pending: PendingLines,
    dropped: Arc<DroppedLines>,
) -> impl Fn(&log::Record<'_>) + Send + Sync {
    move |record| {
        pending.count.fetch_add(1, Ordering::Release);
        if sender.try_send(record.args().to_string()).is_err() {
            pending.count.fetch_sub(1, Ordering::Release);
            dropped.priority.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(
    receiver: &Receiver<String>,
    pending: &PendingLines,
    dropped: &DroppedLines,
    log_clock: &LogClock,
    vm: &str,
) {
    let mut report_at_ms = 0;
    loop {
        let mut taken = 0;
        let mut text = match receiver.recv_timeout(DROP_REPORT_INTERVAL) {
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
            report_at_ms = clock::now_ms() + DROP_REPORT_INTERVAL.as_millis() as u64;
            let routine = dropped.routine.swap(0, Ordering::Relaxed);
            let priority = dropped.priority.swap(0, Ordering::Relaxed);
            text.push_str(&dropped_lines_report(routine, priority, log_clock, vm));
        }
        let mut out = std::io::stdout().lock();
        // Standard output is closed: stop logging and keep serving.
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
        pending.count.fetch_sub(taken, Ordering::Release);
    }
}

fn dropped_lines_report(routine: u64, priority: u64, log_clock: &LogClock, vm: &str) -> String {
    if routine + priority == 0 {
        return String::new();
    }
    let HybridTimestamp { time_ms, count } = log_clock.tick();
    format!(
        "at={time_ms}.{count} vm={vm} level=info event=lines_left_out calm={routine} urgent={priority}\n"
    )
}
