//! The channel that streams the body of an upstream's response to its caller.

use bytes::Bytes;
use sedgepathd::reply::{BodyAborted, body_channel};

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(future)
}

/// Guards against a body that looks whole because the task that sends it was dropped, as at the end of the process.
#[test]
fn a_body_whose_sender_is_dropped_looks_whole_to_no_receiver() {
    block_on(async {
        let (sender, mut receiver) = body_channel();
        sender.try_send(Bytes::from_static(b"a part")).expect("room");
        drop(sender);
        let first = receiver.recv().await.expect("a chunk");
        assert_eq!(first.expect("a chunk"), Bytes::from_static(b"a part"));
        assert_eq!(receiver.recv().await, Some(Err(BodyAborted)));
        assert_eq!(receiver.recv().await, None);
    });
}

/// Guards against a whole body that looks aborted.
#[test]
fn a_finished_body_ends_without_an_error() {
    block_on(async {
        let (sender, mut receiver) = body_channel();
        sender.try_send(Bytes::from_static(b"all")).expect("room");
        sender.finish();
        assert_eq!(receiver.recv().await, Some(Ok(Bytes::from_static(b"all"))));
        assert_eq!(receiver.recv().await, None);
    });
}
