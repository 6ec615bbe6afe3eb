//! Idempotent requests that a caller has sent behind others on a connection, started before their turn.
//!
//! hyper handles the connection: framing, limits and the order of responses. [`reader`] stands between
//! the socket and hyper and passes on the bytes unchanged, one request at a time. It reads ahead while a
//! request is in progress, and starts the requests found there. When hyper reaches such a request,
//! [`pipeline`] compares it with the started one and uses that one's response.
//!
//! - [`head_end`]: where a request head ends.
//! - [`plain_head`]: heads of requests that may be started early.
//! - [`request_stream`]: the bytes of a connection, split at requests.
//! - [`early_request`]: a request that was started before its turn.
//! - [`bounds`]: what early requests may use of the VM.

pub mod bounds;
pub mod early_request;
pub mod head_end;
pub mod pipeline;
pub mod plain_head;
pub mod reader;
pub mod request_stream;
