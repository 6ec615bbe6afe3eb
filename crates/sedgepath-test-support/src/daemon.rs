//! Control of a daemon process by a test.

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

/// The command-line option for the settings file.
const SETTINGS_OPTION: &str = "--settings";
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL_MS: u64 = 10;

/// Errors of the control of a daemon process.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The process could not be started, waited for or signalled.
    #[error("cannot control the daemon process")]
    Process(#[from] io::Error),
    /// The process exited before it accepted connections.
    #[error("the daemon exited with {status} before it was ready; output: {output}")]
    ExitedEarly {
        /// The exit status of the process.
        status: ExitStatus,
        /// The output of the process.
        output: Box<str>,
    },
    /// The process did not accept connections in time.
    #[error("the daemon does not accept connections at {addr}; output: {output}")]
    NotReady {
        /// The address that was tried.
        addr: SocketAddr,
        /// The output of the process.
        output: Box<str>,
    },
    /// The process has exited, so its id may belong to another process.
    #[error("the daemon has exited")]
    HasExited,
}

/// A signal that a test can send to a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Requests a graceful shutdown.
    Term,
    /// Kills the process.
    Kill,
    /// Suspends the process.
    Stop,
    /// Resumes a suspended process.
    Continue,
}

impl Signal {
    fn kill_option(self) -> &'static str {
        match self {
            Self::Term => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A daemon process, which is killed on drop.
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
    /// Returns a [`DaemonError`] if the process cannot be started, exits, or is not ready in time.
    pub fn new(binary: &Path, settings: &str, ready: SocketAddr) -> Result<Self, DaemonError> {
        let mut daemon = Self::spawn(binary, settings)?;
        daemon.wait_until_ready(ready)?;
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
        let child = port::spawn(&mut command)?;
        Ok(Self { child, dir })
    }

    fn wait_until_ready(&mut self, addr: SocketAddr) -> Result<(), DaemonError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while TcpStream::connect(addr).is_err() {
            if let Some(status) = self.child.try_wait()? {
                let output = self.output()?;
                return Err(DaemonError::ExitedEarly { status, output });
            }
            if Instant::now() > deadline {
                let output = self.output()?;
                return Err(DaemonError::NotReady { addr, output });
            }
            sleep_ms(POLL_INTERVAL_MS);
        }
        Ok(())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has written to stdout and stderr.
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
    /// Returns [`DaemonError::HasExited`] if the process has exited, or another error if it
    /// can't be signalled.
    pub fn signal(&mut self, signal: Signal) -> Result<(), DaemonError> {
        // The process id isn't reused before the child has been waited for.
        if self.child.try_wait()?.is_some() {
            return Err(DaemonError::HasExited);
        }
        let id = self.child.id().to_string();
        let status = port::spawn(Command::new("kill").arg(signal.kill_option()).arg(id))?.wait()?;
        if status.success() { Ok(()) } else { Err(DaemonError::HasExited) }
    }

    /// Waits until the process exits and returns its status, or `None` if it still runs at `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be waited for.
    pub fn wait_until(&mut self, deadline: Instant) -> Result<Option<ExitStatus>, DaemonError> {
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() > deadline {
                return Ok(status);
            }
            sleep_ms(POLL_INTERVAL_MS);
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
