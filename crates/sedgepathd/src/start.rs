//! The errors that keep the daemon from starting, in either mode.

use std::io;
use std::net::SocketAddr;

use sedgepath_adapter::settings::SettingsError;

use crate::metrics::MetricsError;

/// The error of a daemon that can't start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// The platform's settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A socket can't be opened on an address.
    #[error("can't listen for {what} on {address}")]
    Listen {
        /// What the socket is for, such as `callers`.
        what: &'static str,
        /// The address that can't be used.
        address: SocketAddr,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// The store's URL can't be resolved to an address.
    #[error("can't resolve the address of the store {url}")]
    StoreAddress {
        /// The URL from the settings.
        url: Box<str>,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// The metrics can't be registered.
    #[error("can't register the metrics")]
    Metrics(#[from] prometheus::Error),
    /// The metrics can't be served.
    #[error(transparent)]
    #[diagnostic(transparent)]
    ServeMetrics(#[from] MetricsError),
    /// The logger can't be installed.
    #[error("can't install the logger")]
    Log(#[from] log::SetLoggerError),
    /// The runtime or the signal handler can't be started.
    #[error("can't start the runtime or the signal handler")]
    Runtime(#[source] io::Error),
}

impl StartError {
    /// Returns a function, for `map_err`, that wraps the operating system's error in
    /// [`StartError::Listen`].
    pub fn listen_failed(
        what: &'static str,
        address: SocketAddr,
    ) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Listen { what, address, source }
    }
}
