//! The daemon's settings.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::limits::Limits;

/// The settings of one daemon, as written in its YAML file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, unique in the system.
    pub name: Box<str>,
    /// The name of the VM's failure domain.
    pub domain: Box<str>,
    /// Where callers' requests are taken.
    pub callers: SocketAddr,
    /// Where frames and datagrams of peers are taken.
    pub peers: SocketAddr,
    /// Where remote calls of operators are taken.
    pub operators: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The base URL of the platform, such as `http://192.0.2.1:8080`.
    pub platform: Box<str>,
    /// The secret that all processes of the system share; at least 16 characters.
    pub secret: Box<str>,
    /// The least level that is logged: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: Box<str>,
    /// Bounds on what callers may take.
    #[serde(default)]
    pub limits: Limits,
}

fn default_log_level() -> Box<str> {
    "info".into()
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or a field is wrong; the report shows the place.
    pub fn read(path: &Path) -> miette::Result<Self> {
        use miette::{Context, IntoDiagnostic};
        let text = std::fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err_with(|| format!("can't read the settings file {}", path.display()))?;
        serde_saphyr::from_str(&text)
            .into_diagnostic()
            .wrap_err_with(|| format!("the settings in {} are not in order", path.display()))
    }
}
