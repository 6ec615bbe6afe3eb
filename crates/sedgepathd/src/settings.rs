//! The daemon's settings, read from one YAML file that is validated before anything starts.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path as FilePath;

use sedgepath_core::identity::NodeSettings;
use sedgepath_core::schema::{self, ValuePath};
use sedgepath_yaml::{ErrorReport, LocatedError, Span, YamlNode};
use serde::{Deserialize, Serialize};

use crate::limits::Limits;

mod fields;

pub use fields::FIELDS;

/// The settings of one daemon, as written in its YAML file.
#[derive(Clone, Deserialize)]
pub struct Settings {
    /// The VM's name, unique in the system.
    pub name: Box<str>,
    /// The name of the VM's failure domain.
    pub domain: Box<str>,
    /// The address of the server for callers (HTTP).
    pub callers: SocketAddr,
    /// The address for peers' frames (TCP) and datagrams (UDP).
    pub peers: SocketAddr,
    /// The address of the server for remote calls from operators and peers.
    pub operators: SocketAddr,
    /// The address of the metrics server.
    pub metrics: SocketAddr,
    /// The base URL of the platform, such as `http://192.0.2.1:8080`.
    pub platform: Box<str>,
    /// The secret shared by all processes of the system; at least 16 characters.
    pub secret: Box<str>,
    /// The keys, besides the secret, by which operators may sign their calls.
    #[serde(default)]
    pub operator_keys: Box<[Box<str>]>,
    /// The minimum level that is logged: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log_level: Box<str>,
    /// The limits on callers' connections and requests.
    #[serde(default)]
    pub limits: Limits,
    /// The intervals and timeouts of the protocols between nodes.
    #[serde(default)]
    pub timing: Timing,
}

impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The secret and the keys must not appear in logs or panic messages.
        f.debug_struct("Settings")
            .field("name", &self.name)
            .field("domain", &self.domain)
            .field("callers", &self.callers)
            .field("peers", &self.peers)
            .field("operators", &self.operators)
            .field("metrics", &self.metrics)
            .field("platform", &self.platform)
            .field("log_level", &self.log_level)
            .field("limits", &self.limits)
            .field("timing", &self.timing)
            .finish_non_exhaustive()
    }
}

fn default_log_level() -> Box<str> {
    "info".into()
}

/// The intervals and timeouts of the protocols between nodes, in milliseconds; all VMs must have the
/// same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Timing {
    /// See [`NodeSettings::heartbeat_every_ms`].
    pub heartbeat_every_ms: u64,
    /// See [`NodeSettings::suspect_after_ms`].
    pub suspect_after_ms: u64,
    /// See [`NodeSettings::forget_after_ms`].
    pub forget_after_ms: u64,
    /// See [`NodeSettings::relay_every_ms`].
    pub relay_every_ms: u64,
    /// See [`NodeSettings::head_every_ms`].
    pub head_every_ms: u64,
    /// See [`NodeSettings::head_stale_ms`].
    pub head_stale_ms: u64,
    /// See [`NodeSettings::fetch_jitter_ms`].
    pub fetch_jitter_ms: u64,
    /// See [`NodeSettings::boot_wait_ms`].
    pub boot_wait_ms: u64,
    /// See [`NodeSettings::look_up_valid_ms`].
    pub look_up_valid_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        let node = NodeSettings::default();
        Self {
            heartbeat_every_ms: node.heartbeat_every_ms,
            suspect_after_ms: node.suspect_after_ms,
            forget_after_ms: node.forget_after_ms,
            relay_every_ms: node.relay_every_ms,
            head_every_ms: node.head_every_ms,
            head_stale_ms: node.head_stale_ms,
            fetch_jitter_ms: node.fetch_jitter_ms,
            boot_wait_ms: node.boot_wait_ms,
            look_up_valid_ms: node.look_up_valid_ms,
        }
    }
}

impl Timing {
    /// Returns the settings of a node with these times; the seed determines its random choices.
    pub fn node_settings(&self, seed: u64) -> NodeSettings {
        NodeSettings {
            heartbeat_every_ms: self.heartbeat_every_ms,
            suspect_after_ms: self.suspect_after_ms,
            forget_after_ms: self.forget_after_ms,
            relay_every_ms: self.relay_every_ms,
            head_every_ms: self.head_every_ms,
            head_stale_ms: self.head_stale_ms,
            fetch_jitter_ms: self.fetch_jitter_ms,
            boot_wait_ms: self.boot_wait_ms,
            look_up_valid_ms: self.look_up_valid_ms,
            seed,
            ..NodeSettings::default()
        }
    }
}

/// The error of a settings file that can't be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read the settings file {file}")]
    Unreadable {
        /// The path of the file.
        file: Box<str>,
        /// The operating system's error.
        #[source]
        source: std::io::Error,
    },
    /// The file is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(#[from] ErrorReport),
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is not valid; the error shows each mistake in its context.
    pub fn read(path: &FilePath) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { file: file.as_str().into(), source })?;
        Ok(Self::parse(&file, &text)?)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid; the error shows each mistake in its context.
    pub fn parse(file: &str, text: &str) -> Result<Self, ErrorReport> {
        let documents = sedgepath_yaml::parse(text)
            .map_err(|error| ErrorReport::from_parse_error(file, text, &error))?;
        let file_error =
            |message: &str| LocatedError { span: Span::default(), message: message.into() };
        let [document] = &*documents else {
            let message = "a settings file must contain exactly one YAML document";
            return Err(ErrorReport::new(file, text, vec![file_error(message)]));
        };
        let json = document.to_json();
        let mut mistakes: Vec<_> = schema::check(&json, FIELDS, 1)
            .into_iter()
            .map(|fault| LocatedError::from_fault(document, &fault))
            .collect();
        if mistakes.is_empty() {
            match serde_json::from_value::<Self>(json) {
                Ok(settings) => {
                    mistakes = settings.find_conflicts(document);
                    if mistakes.is_empty() {
                        return Ok(settings);
                    }
                }
                Err(error) => mistakes.push(file_error(&error.to_string())),
            }
        }
        Err(ErrorReport::new(file, text, mistakes))
    }

    /// Finds fields that are valid by themselves but conflict with each other.
    fn find_conflicts(&self, document: &YamlNode) -> Vec<LocatedError> {
        let mut mistakes = Vec::new();
        let mut report = |path: ValuePath, message: String| {
            mistakes.push(located_error(document, &path, message));
        };
        let addresses = [
            ("callers", self.callers),
            ("peers", self.peers),
            ("operators", self.operators),
            ("metrics", self.metrics),
        ];
        for (index, (name, address)) in addresses.iter().enumerate() {
            for (other, _) in addresses[..index].iter().filter(|(_, other)| other == address) {
                report(
                    ValuePath::field(name),
                    format!("`{name}` has the same address as `{other}`"),
                );
            }
            if address.port() == 0 {
                report(
                    ValuePath::field(name),
                    format!("`{name}` needs a fixed port; port 0 is not allowed"),
                );
            }
        }
        let timing = |name: &str| ValuePath::field("timing").with_field(name);
        let Timing { heartbeat_every_ms, suspect_after_ms, head_every_ms, head_stale_ms, .. } =
            self.timing;
        // Losing two heartbeats in a row must not make a member suspected.
        if suspect_after_ms < 3 * heartbeat_every_ms {
            let message = format!(
                "should be at least three times `heartbeat_every_ms` ({heartbeat_every_ms})"
            );
            report(timing("suspect_after_ms"), message);
        }
        if head_stale_ms < 2 * head_every_ms {
            let message = format!("should be at least twice `head_every_ms` ({head_every_ms})");
            report(timing("head_stale_ms"), message);
        }
        mistakes
    }
}

fn located_error(document: &YamlNode, path: &ValuePath, message: String) -> LocatedError {
    LocatedError { span: document.span_of(path), message: message.into() }
}
