//! Reads the state of VMs that send to upstreams themselves.

use std::time::Duration;

use sedgepath_core::direct::status::VmStatus;

use crate::error::CliError;

/// The longest that a VM may take to answer: its state is at hand.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the state of the VM whose metrics are at an address.
///
/// # Errors
///
/// Fails if the VM gives no answer, or one that can't be read.
pub fn read(address: &str) -> Result<VmStatus, CliError> {
    let unread = |source| CliError::NoStatus { address: address.into(), source };
    let answer = attohttpc::get(format!("http://{address}/status")).timeout(TIMEOUT).send();
    let text = answer.and_then(|answer| answer.error_for_status()?.bytes()).map_err(unread)?;
    Ok(serde_json::from_slice(&text)?)
}
