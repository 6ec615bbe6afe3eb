//! Reads the state of VMs that send requests to upstreams themselves.

use std::time::Duration;

use sedgepath_core::direct::status::VmStatus;

use crate::error::CliError;

/// The timeout for reading the state of a VM, which the VM keeps in memory.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the state of a VM over HTTP; `address` is that of its metrics.
///
/// # Errors
///
/// Fails if the VM gives no valid response.
pub fn fetch(address: &str) -> Result<VmStatus, CliError> {
    let status_error = |source| CliError::StatusUnavailable { address: address.into(), source };
    let response =
        attohttpc::get(format!("http://{address}/status")).timeout(STATUS_TIMEOUT).send();
    let body =
        response.and_then(|response| response.error_for_status()?.bytes()).map_err(status_error)?;
    Ok(serde_json::from_slice(&body)?)
}
