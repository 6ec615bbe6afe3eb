//! What is played: regions, upstreams, callers and trouble.

use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Why a scenario can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("can't read the scenario {path}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// The file is not in order.
    #[error("the scenario {path} is not in order")]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        #[source]
        source: Box<serde_saphyr::Error>,
    },
}

/// What is played.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name in reports.
    pub name: Box<str>,
    /// How long callers ask, in milliseconds.
    pub duration_ms: u64,
    /// The failure domains of each region.
    pub regions: Vec<Region>,
    /// The entry VMs in each failure domain.
    pub vms_per_domain: usize,
    /// The way to another region, one way, in milliseconds.
    pub far_ms: u64,
    /// The upstreams.
    pub upstreams: UpstreamModel,
    /// The callers.
    pub callers: CallerModel,
    /// What goes wrong.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// A region.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its name.
    pub name: Box<str>,
    /// Its failure domains.
    pub domains: Vec<Box<str>>,
}

/// The upstreams, which are all alike.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamModel {
    /// Those in each failure domain.
    pub per_domain: usize,
    /// The requests that one runs at a time.
    pub slots: usize,
    /// The requests that wait for a slot at the most; more are refused.
    pub queue: usize,
    /// The objects that one remembers.
    pub warm_objects: usize,
    /// The work for an object that it remembers, in milliseconds.
    pub warm_ms: u64,
    /// The work for another one, in milliseconds.
    pub cold_ms: u64,
    /// How long one stays cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// The requests a second that a cold one bears; it crashes above them.
    pub cold_per_s: f64,
    /// The connections that one takes from all VMs.
    pub max_connections: u32,
    /// How long it keeps an idle connection, in milliseconds.
    pub idle_ms: u64,
}

/// The callers.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerModel {
    /// The requests a second, over all regions, on average.
    pub per_s: f64,
    /// How far the rate swings, as a part of it.
    #[serde(default)]
    pub wave: f64,
    /// How long a swing takes, in milliseconds.
    #[serde(default = "default_wave_ms")]
    pub wave_ms: u64,
    /// The objects that requests are for.
    pub objects: usize,
    /// How unevenly: the exponent of Zipf's law.
    pub skew: f64,
    /// The time by which an answer is worth most, in milliseconds.
    pub target_ms: u64,
    /// The time after which it is worth nothing, in milliseconds.
    pub timeout_ms: u64,
    /// How often a caller comes back after a refusal.
    pub returns: u32,
    /// Whether callers wait as long as they are told.
    #[serde(default = "default_waits")]
    pub waits: bool,
    /// How often the ingress may send a request that runs.
    #[serde(default = "default_attempts")]
    pub max_attempts: u32,
}

fn default_wave_ms() -> u64 {
    20_000
}

fn default_waits() -> bool {
    true
}

fn default_attempts() -> u32 {
    2
}

/// Something that goes wrong for a while.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// When it begins, in milliseconds.
    pub from_ms: u64,
    /// When it ends, in milliseconds.
    pub until_ms: u64,
    /// How many upstreams it takes, over all failure domains; without meaning for callers' trouble.
    #[serde(default)]
    pub upstreams: usize,
    /// What goes wrong.
    pub kind: TroubleKind,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    /// Work takes this many times as long.
    Slow(f64),
    /// This part of the requests fails.
    Failing(f64),
    /// Requests are taken and never answered.
    Silent,
    /// They can't be connected to; they start cold when it ends.
    Gone,
    /// Callers ask this many times as often.
    Burst(f64),
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is not in order.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Read { path: path.into(), source })?;
        serde_saphyr::from_str(&text)
            .map_err(|source| ScenarioError::Parse { path: path.into(), source: Box::new(source) })
    }

    /// Returns each failure domain with its region.
    pub fn domains(&self) -> impl Iterator<Item = (&str, &str)> {
        self.regions
            .iter()
            .flat_map(|region| region.domains.iter().map(move |domain| (&**domain, &*region.name)))
    }
}
