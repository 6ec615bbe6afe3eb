//! A node's identity and settings.

use crate::egress::settings::AdmissionSettings;
use crate::key::{BootId, VmKey};
use crate::message::MemberDescriptor;

/// The identity of one run of a node's process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The key of the VM that the node runs on.
    pub vm: VmKey,
    /// The boot ID of this run of the process.
    pub boot: BootId,
    /// The VM's name, failure domain and addresses.
    pub descriptor: MemberDescriptor,
}

impl Identity {
    /// Creates an identity whose VM key is derived from the descriptor's name.
    pub fn new(descriptor: MemberDescriptor, boot: BootId) -> Self {
        Self { vm: VmKey::of(&descriptor.name), boot, descriptor }
    }
}

/// The timing and limits of a node; all nodes of a system use the same values.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The interval between heartbeats, in milliseconds.
    pub heartbeat_every_ms: u64,
    /// The silence after which a member is suspected, in milliseconds. An upstream lease expires
    /// this long after the acknowledged heartbeat was sent (T in the rules of [`crate::lease`]).
    pub suspect_after_ms: u64,
    /// The silence after which a member missing from the VM list is removed, in milliseconds.
    pub forget_after_ms: u64,
    /// The interval between summaries from one failure domain to another, in milliseconds.
    pub relay_every_ms: u64,
    /// The interval between reads of the platform's head revision, in milliseconds.
    pub head_every_ms: u64,
    /// The age of the newest known read of the head revision after which members that are not
    /// readers read it too, in milliseconds.
    pub head_stale_ms: u64,
    /// The maximum random delay before fetching records from a peer, in milliseconds.
    pub fetch_jitter_ms: u64,
    /// How long after its start a node that cannot reach the platform waits for members before it
    /// serves with records from a peer, in milliseconds.
    pub boot_wait_ms: u64,
    /// How long callers may cache the answer to a look-up, in milliseconds.
    pub look_up_valid_ms: u64,
    /// Switches that disable parts of request admission.
    pub admission: AdmissionSettings,
    /// The seed of the node's random number generators.
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
