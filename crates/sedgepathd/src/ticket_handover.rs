//! The handover of tickets to peers at a planned stop.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use sedgepath_core::deduplication::row::TicketHandover;
use sedgepath_core::event::Event;
use sedgepath_core::key::{BootId, OperationKey, RequestKey, VmKey};
use sedgepath_wire::frame::{ExchangeId, FrameError, HttpRequestHead, PeerOperation};
use tokio::sync::mpsc;

use crate::driver::NodeHandle;
use crate::hop::{HopClient, HopRequest, HopTarget};
use crate::reply::Reply;

/// How long a peer may take to store tickets, in milliseconds.
const HANDOVER_TIMEOUT_MS: u64 = 3_000;

/// The status of a peer that has stored the tickets.
const STORED_STATUS: u16 = 204;

/// A handover of tickets to a peer.
#[derive(Debug)]
pub struct TicketHandoverJob {
    /// Identifies the handover in its result.
    pub operation: OperationKey,
    /// The peer.
    pub to: VmKey,
    /// The peer's address for frames.
    pub address: SocketAddr,
    /// The tickets.
    pub tickets: TicketHandover,
}

/// Runs handovers concurrently until the process ends.
pub async fn run_ticket_handovers(
    mut jobs: mpsc::UnboundedReceiver<TicketHandoverJob>,
    hops: Arc<HopClient>,
    handle: NodeHandle,
    boot: BootId,
) {
    while let Some(job) = jobs.recv().await {
        let (hops, handle) = (Arc::clone(&hops), handle.clone());
        tokio::spawn(async move {
            let operation = job.operation;
            let deadline_at_ms = handle.clock().now_ms() + HANDOVER_TIMEOUT_MS;
            let stored = send_tickets(&hops, job, boot, deadline_at_ms).await;
            handle.send_event(Event::TicketHandoverEnded { operation, taken: stored });
        });
    }
}

async fn send_tickets(
    hops: &Arc<HopClient>,
    job: TicketHandoverJob,
    boot: BootId,
    deadline_at_ms: u64,
) -> bool {
    let Ok(body) = postcard::to_stdvec(&job.tickets) else {
        return false;
    };
    let request = RequestKey(job.operation.0);
    let id = ExchangeId { ingress: job.tickets.vm, boot, request, attempt: 0 };
    let head = HttpRequestHead {
        method: "PUT".into(),
        target: "/".into(),
        fields: Vec::new(),
        body_bytes: body.len() as u64,
    };
    let request =
        HopRequest { id, operation: PeerOperation::StoreTickets, head, body: body.into() };
    let target = HopTarget { vm: job.to, address: job.address, deadline_at_ms };
    matches!(hops.send(target, request).await, Reply::HomeResponse { status: STORED_STATUS, .. })
}

/// Stores the tickets that a peer hands over.
///
/// # Errors
///
/// Fails if the body can't be decoded.
pub fn store_tickets(handle: &NodeHandle, body: &Bytes) -> Result<Reply, FrameError> {
    let tickets = postcard::from_bytes(body)?;
    handle.send_event(Event::TicketsReceived(tickets));
    Ok(Reply::HomeResponse { status: STORED_STATUS, fields: Vec::new(), body: Bytes::new() })
}
