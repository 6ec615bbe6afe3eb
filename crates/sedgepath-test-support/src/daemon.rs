//! A daemon's process under a test's control.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use tempfile::TempDir;
use thiserror::Error;

use crate::clock::sleep_ms;
use crate::port;

/// The option that names the settings file.
const SETTINGS_OPTION: &str = "--settings";
const READY_LIMIT: Duration = Duration::from_secs(20);
const POLL_MS: u64 = 10;

/// The failures of a daemon's process.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The process could not be started, watched or signalled.
    #[error("cannot control the daemon's process")]
    Process(#[from] io::Error),
    /// The process ended before its port answered.
    #[error("the daemon ended with {status} before it answered; its output: {output}")]
    Ended {
        /// How it ended.
        status: ExitStatus,
        /// What it wrote.
        output: Box<str>,
    },
    /// The port did not answer in time.
    #[error("the daemon did not answer at {addr}; its output: {output}")]
    NotReady {
        /// The address that was tried.
        addr: SocketAddr,
        /// What it wrote.
        output: Box<str>,
    },
    /// The process has ended, so that its id may belong to another one.
    #[error("the daemon has ended")]
    Gone,
}

/// A signal that a test sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a planned stop.
    Term,
    /// Ends the process at once.
    Kill,
    /// Pauses the process.
    Stop,
    /// Lets a paused process go on.
    Continue,
}

impl Signal {
    fn option(self) -> &'static str {
        match self {
            Self::Term => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A daemon's process; it is killed when this is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    dir: TempDir,
}

impl DaemonProcess {
    /// Starts `binary --settings FILE` and waits until a TCP connection to `ready` succeeds.
    ///
    /// # Errors
    ///
    /// Returns a [`DaemonError`] if the process cannot be started, ends, or does not answer.
    pub fn new(binary: &Path, settings: &str, ready: SocketAddr) -> Result<Self, DaemonError> {
        let mut daemon = Self::spawn(binary, settings)?;
        daemon.wait_ready(ready)?;
        Ok(daemon)
    }

    fn spawn(binary: &Path, settings: &str) -> Result<Self, DaemonError> {
        let dir = tempfile::tempdir()?;
        let file = dir.path().join("settings.yaml");
        fs::write(&file, settings)?;
        let output = File::create(dir.path().join("output"))?;
        let mut command = Command::new(binary);
        command.arg(SETTINGS_OPTION).arg(&file);
        command.stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output);
        let child = port::start(&mut command)?;
        Ok(Self { child, dir })
    }

    fn wait_ready(&mut self, addr: SocketAddr) -> Result<(), DaemonError> {
        let deadline = Instant::now() + READY_LIMIT;
        while TcpStream::connect(addr).is_err() {
            if let Some(status) = self.child.try_wait()? {
                let output = self.output()?;
                return Err(DaemonError::Ended { status, output });
            }
            if Instant::now() > deadline {
                let output = self.output()?;
                return Err(DaemonError::NotReady { addr, output });
            }
            sleep_ms(POLL_MS);
        }
        Ok(())
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has written to its standard output and error output.
    ///
    /// # Errors
    ///
    /// Returns an error if the output cannot be read.
    pub fn output(&self) -> io::Result<Box<str>> {
        let bytes = fs::read(self.dir.path().join("output"))?;
        Ok(String::from_utf8_lossy(&bytes).into())
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError::Gone`] if it has ended, or another error if it cannot be signalled.
    pub fn signal(&mut self, signal: Signal) -> Result<(), DaemonError> {
        // Until the child has been waited for, its id cannot belong to another process.
        if self.child.try_wait()?.is_some() {
            return Err(DaemonError::Gone);
        }
        let id = self.child.id().to_string();
        let status = port::start(Command::new("kill").arg(signal.option()).arg(id))?.wait()?;
        if status.success() { Ok(()) } else { Err(DaemonError::Gone) }
    }

    /// Waits until the process ends, and returns how, or `None` if it runs on at `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be watched.
    pub fn wait_until(&mut self, deadline: Instant) -> Result<Option<ExitStatus>, DaemonError> {
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() > deadline {
                return Ok(status);
            }
            sleep_ms(POLL_MS);
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // It may have ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
