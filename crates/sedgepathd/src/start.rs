//! Why the daemon could not start, whichever way it runs.

use std::io;
use std::net::SocketAddr;

use sedgepath_adapter::settings::SettingsError;

use crate::metrics::MetricsError;

/// Why the daemon could not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// The platform's settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be listened on.
    #[error("can't listen for {what} on {address}")]
    Listen {
        /// What was to be listened for.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// The store's address can't be found out.
    #[error("can't find the address of the store {url}")]
    StoreAddress {
        /// The URL of the settings.
        url: Box<str>,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// The metrics can't be set up.
    #[error("can't set up the metrics")]
    Metrics(#[from] prometheus::Error),
    /// The metrics can't be served.
    #[error(transparent)]
    #[diagnostic(transparent)]
    ServeMetrics(#[from] MetricsError),
    /// The log can't be started.
    #[error("can't start the log")]
    Log(#[from] log::SetLoggerError),
    /// The runtime or the signal handler can't be started.
    #[error("can't start the runtime")]
    Runtime(#[source] io::Error),
}

impl StartError {
    /// Returns what makes an error of an address that can't be listened on.
    pub fn listen(what: &'static str, address: SocketAddr) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Listen { what, address, source }
    }
}
