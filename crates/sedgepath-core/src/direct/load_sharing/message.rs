//! The message by which a VM tells others of the load at upstreams.

use serde::{Deserialize, Serialize};

use crate::direct::demand::DemandReport;
use crate::direct::upstreams::{IncarnationKey, LoadReport};

/// The bytes of a message beside its upstreams and its demand, at most: its kind, the process, the
/// number, the period, the option of the demand and the count of upstreams.
const MAX_HEAD_BYTES: usize = 1 + 10 + 5 + 3 + 1 + 2;

/// The bytes of a service's demand, at most.
const MAX_DEMAND_BYTES: usize = 10 + 1 + 5;

/// The leading bytes of an [`IncarnationKey`], which identify an upstream in messages.
///
/// Of 5,000 upstreams, two share their key with a probability of about 10⁻⁵.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShortIncarnationKey([u8; 5]);

impl ShortIncarnationKey {
    /// Derives the key from the full one.
    pub fn of(incarnation: IncarnationKey) -> Self {
        let mut bytes = [0; 5];
        bytes.copy_from_slice(&incarnation.0.to_le_bytes()[..5]);
        Self(bytes)
    }
}

/// What a VM tells others of upstreams that it has used lately, and of its callers' demand.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// When the sender's process started, in milliseconds since the Unix epoch.
    pub boot_at_ms: u64,
    /// The number of the message within the process.
    pub number: u32,
    /// The time until the sender tells of the same upstreams again, in milliseconds.
    pub period_ms: u16,
    /// The demand of the sender's callers, in some of the messages.
    pub demand: Option<DemandReport>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamLoad>,
}

impl LoadMessage {
    /// Returns an upper bound of the encoded size, in bytes.
    pub fn max_bytes(&self) -> usize {
        let services = self.demand.as_ref().map_or(0, |demand| demand.services.len());
        let upstreams: usize = self.upstreams.iter().map(UpstreamLoad::encoded_bytes).sum();
        MAX_HEAD_BYTES + services * MAX_DEMAND_BYTES + upstreams
    }
}

/// What a VM tells of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: ShortIncarnationKey,
    /// The number of the sender's requests in flight.
    pub in_flight: u16,
    /// The newest report that the sender has received from the upstream itself.
    pub report: Option<SentReport>,
}

impl UpstreamLoad {
    /// Returns the encoded size, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        let report_bytes = self.report.map_or(0, |report| {
            let SentReport { in_flight, running, waiting, pace_percent, age_ms } = report;
            [in_flight, running, waiting, pace_percent, age_ms].map(varint_bytes).iter().sum()
        });
        size_of::<ShortIncarnationKey>() + varint_bytes(self.in_flight) + 1 + report_bytes
    }
}

/// A load report of an upstream, as a VM passes it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentReport {
    /// The number of the sender's requests in flight when it received the report.
    pub in_flight: u16,
    /// The number of requests that occupied a slot.
    pub running: u16,
    /// The number of requests that waited for a slot.
    pub waiting: u16,
    /// How long work took, in percent of what is usual; 0 if the upstream didn't state it.
    pub pace_percent: u16,
    /// The time since the report was received, in milliseconds.
    pub age_ms: u16,
}

impl SentReport {
    /// Creates the form in which a report is sent. Numbers beyond its range count as the largest.
    pub fn new(report: LoadReport, in_flight: u32, age_ms: u64) -> Self {
        Self {
            in_flight: saturate(in_flight.into()),
            running: saturate(report.running.into()),
            waiting: saturate(report.waiting.into()),
            pace_percent: saturate(report.pace_percent.unwrap_or(0).into()),
            age_ms: saturate(age_ms),
        }
    }
}

/// Returns a number as the type in messages, or the largest one.
pub(super) fn saturate(number: u64) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

/// Returns the encoded size of a number, in bytes: seven bits in each.
fn varint_bytes(number: u16) -> usize {
    match number {
        0..0x80 => 1,
        0x80..0x4000 => 2,
        0x4000.. => 3,
    }
}
