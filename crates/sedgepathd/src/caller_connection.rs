//! Ends callers' connections in a planned stop.

use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::rt::{Read, Write};
use hyper::server::conn::http1::Connection;
use hyper::service::HttpService;
use tokio::sync::Notify;

/// How long a stopping VM waits for the first request of a connection that it has accepted. The caller
/// sends it when its link has brought it the acceptance, and can't know of the stop.
const FIRST_REQUEST_WAIT: Duration = Duration::from_secs(1);

/// Serves a connection until its end. Once `stopping` ends, the connection ends with the response in
/// progress, or at once if it is idle. One without a request yet ends with the response to its first,
/// for which it is kept for a limited time. Each request notifies `request_arrived`.
///
/// # Errors
///
/// Fails if the connection breaks off or what the caller sends isn't valid HTTP.
pub async fn serve_until_stopped<I, S, B>(
    mut connection: Connection<I, S>,
    request_arrived: &Notify,
    stopping: impl Future<Output = ()>,
) -> hyper::Result<()>
where
    I: Read + Write + Unpin,
    S: HttpService<Incoming, ResBody = B> + Unpin,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let closing = async {
        stopping.await;
        // The connection is closed in either case.
        let _elapsed = tokio::time::timeout(FIRST_REQUEST_WAIT, request_arrived.notified()).await;
    };
    let ended = tokio::select! {
        result = &mut connection => Some(result),
        () = closing => None,
    };
    let result = if let Some(result) = ended {
        result
    } else {
        Pin::new(&mut connection).graceful_shutdown();
        (&mut connection).await
    };
    if result.is_err() {
        shut_down(connection.into_parts().io).await;
    }
    result
}

/// Shuts a connection down that ended with an error: hyper may have sent a response to what it didn't accept,
/// but shuts down only connections that end without an error.
pub async fn shut_down(mut io: impl Write + Unpin) {
    // The connection may have failed.
    let _best_effort = poll_fn(|cx| Pin::new(&mut io).poll_shutdown(cx)).await;
}
