//! Scenario files: regions, upstreams, callers and faults.

use std::path::{Path, PathBuf};

use serde::Deserialize;

/// An error from reading a scenario file.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("failed to read scenario `{path}`")]
    Read {
        /// The scenario file.
        path: PathBuf,
        /// The operating system's error.
        #[source]
        source: std::io::Error,
    },
    /// The file is not a valid scenario.
    #[error("failed to parse scenario `{path}`")]
    Parse {
        /// The scenario file.
        path: PathBuf,
        /// The parser's error, with the position in the file.
        #[source]
        source: Box<serde_saphyr::Error>,
    },
}

/// A simulated system and its load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name in reports.
    pub name: Box<str>,
    /// How long callers send requests, in milliseconds.
    pub duration_ms: u64,
    /// The regions with their failure domains.
    pub regions: Vec<Region>,
    /// The number of entry VMs in each failure domain.
    pub vms_per_domain: usize,
    /// The one-way network delay between two regions, in milliseconds.
    #[serde(rename = "far_ms")]
    pub inter_region_delay_ms: u64,
    /// The parameters that all upstreams share.
    pub upstreams: UpstreamModel,
    /// The load that the callers generate.
    pub callers: CallerModel,
    /// The faults and bursts during the run.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// A region and its failure domains.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region's name.
    pub name: Box<str>,
    /// The names of the region's failure domains.
    pub domains: Vec<Box<str>>,
}

/// The parameters of the upstreams, which are all alike.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamModel {
    /// The number of upstreams in each failure domain.
    pub per_domain: usize,
    /// The requests that an upstream runs at the same time.
    pub slots: usize,
    /// The longest queue for a slot; requests beyond it are rejected.
    #[serde(rename = "queue")]
    pub queue_capacity: usize,
    /// The number of objects that an upstream keeps warm, evicting the least recently used.
    pub warm_objects: usize,
    /// The mean service time for a warm object, in milliseconds.
    pub warm_ms: u64,
    /// The mean service time for any other object, in milliseconds.
    pub cold_ms: u64,
    /// How long an upstream stays cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// The requests a second that a cold upstream should get; it crashes above twice this rate.
    #[serde(rename = "cold_per_s")]
    pub cold_requests_per_s: f64,
    /// The most connections that an upstream accepts from all VMs together.
    pub max_connections: u32,
    /// How long an upstream keeps an idle connection open, in milliseconds.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: u64,
}

/// The load that the callers generate.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerModel {
    /// The average request rate over all regions, in requests a second.
    #[serde(rename = "per_s")]
    pub requests_per_s: f64,
    /// The amplitude of the sine wave of the rate, as a ratio of the average.
    #[serde(default, rename = "wave")]
    pub rate_amplitude: f64,
    /// The period of the sine wave, in milliseconds.
    #[serde(default = "default_rate_period_ms", rename = "wave_ms")]
    pub rate_period_ms: u64,
    /// The number of distinct objects.
    pub objects: usize,
    /// The exponent of the Zipf distribution of requests over objects.
    #[serde(rename = "skew")]
    pub zipf_exponent: f64,
    /// The response time up to which a response has full utility, in milliseconds.
    pub target_ms: u64,
    /// The response time from which a response has no utility, in milliseconds.
    pub timeout_ms: u64,
    /// How often a caller resubmits a rejected request.
    #[serde(rename = "returns")]
    pub max_resubmissions: u32,
    /// Whether callers wait for the retry delay that a rejection gives them.
    #[serde(default = "default_honors_retry_after", rename = "waits")]
    pub honors_retry_after: bool,
    /// The most upstreams to which an entry VM sends one request.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
}

fn default_rate_period_ms() -> u64 {
    20_000
}

fn default_honors_retry_after() -> bool {
    true
}

fn default_max_attempts() -> u32 {
    2
}

/// A fault or burst that lasts for a part of the run.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The simulated time at which the fault begins, in milliseconds.
    pub from_ms: u64,
    /// The simulated time at which the fault ends, in milliseconds.
    pub until_ms: u64,
    /// The number of affected upstreams over all failure domains; unused for a burst.
    #[serde(default)]
    pub upstreams: usize,
    /// What the fault changes.
    pub kind: FaultKind,
}

/// The effect of a [`Fault`].
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Service times are multiplied by this factor.
    Slow(f64),
    /// This ratio of the requests fails, from 0 to 1.
    Failing(f64),
    /// Requests are accepted and never answered.
    #[serde(rename = "silent")]
    Unresponsive,
    /// Connections fail; the upstreams start cold when the fault ends.
    #[serde(rename = "gone")]
    Down,
    /// The request rate is multiplied by this factor.
    Burst(f64),
}

impl Scenario {
    /// Reads a scenario from a YAML file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is not a valid scenario.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Read { path: path.into(), source })?;
        serde_saphyr::from_str(&text)
            .map_err(|source| ScenarioError::Parse { path: path.into(), source: Box::new(source) })
    }

    /// Returns the name of each failure domain with the name of its region.
    pub fn domains(&self) -> impl Iterator<Item = (&str, &str)> {
        self.regions
            .iter()
            .flat_map(|region| region.domains.iter().map(move |domain| (&**domain, &*region.name)))
    }
}
