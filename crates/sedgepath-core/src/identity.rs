//! Who a node is, and the times by which it works.

use crate::egress::settings::AdmissionSettings;
use crate::key::{BootId, VmKey};
use crate::message::MemberDescriptor;

/// Who a node is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The VM.
    pub vm: VmKey,
    /// This run of the process.
    pub boot: BootId,
    /// Name, failure domain and addresses.
    pub card: MemberDescriptor,
}

impl Identity {
    /// Creates the identity of one run of a process.
    pub fn new(card: MemberDescriptor, boot: BootId) -> Self {
        Self { vm: VmKey::of(&card.name), boot, card }
    }
}

/// The times and bounds by which a node works; all nodes of a system have the same.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The time between two heartbeats, in milliseconds.
    pub heartbeat_every_ms: u64,
    /// After which silence a member is suspected, in milliseconds. The owner's right ends this
    /// long after the heartbeat that was acknowledged (T in docs/DESIGN.md).
    pub suspect_after_ms: u64,
    /// After which silence a member that the VM list no longer names is forgotten, in milliseconds.
    pub forget_after_ms: u64,
    /// The time between two summaries from one failure domain to another, in milliseconds.
    pub relay_every_ms: u64,
    /// The time between two readings of the platform's head revision, in milliseconds.
    pub head_every_ms: u64,
    /// The age of the newest reading of the head after which members that are no readers step in,
    /// in milliseconds.
    pub head_stale_ms: u64,
    /// The longest random wait before records are fetched from a peer, in milliseconds.
    pub fetch_jitter_ms: u64,
    /// How long a node that can't reach the platform listens for members after its start before it
    /// serves by what a peer gave it, in milliseconds.
    pub boot_wait_ms: u64,
    /// How long a look-up's answer may be used, in milliseconds.
    pub look_up_valid_ms: u64,
    /// What an experiment switches off in the admission of requests.
    pub admission: AdmissionSettings,
    /// The seed of the node's random choices.
    pub seed: u64,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            heartbeat_every_ms: 250,
            suspect_after_ms: 1_500,
            forget_after_ms: 60_000,
            relay_every_ms: 500,
            head_every_ms: 1_000,
            head_stale_ms: 3_000,
            fetch_jitter_ms: 100,
            boot_wait_ms: 1_000,
            look_up_valid_ms: 5_000,
            admission: AdmissionSettings::default(),
            seed: 0,
        }
    }
}
