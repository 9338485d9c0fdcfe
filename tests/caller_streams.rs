//! The caller's side of a stream: how its response ends.

use brassrack::http::Body;
use brassrack::relay::CallerStream;
use bytes::Bytes;
use http_body_util::BodyExt;

/// Text that arrives, and whether the response ends as complete.
async fn read(mut body: Body) -> (String, bool) {
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (text, false);
        };
        let data = frame.into_data().unwrap_or_default();
        text.push_str(&String::from_utf8_lossy(&data));
    }
    (text, true)
}

#[tokio::test]
async fn finished_stream_is_complete() {
    let (mut caller, body) = CallerStream::new();
    assert!(caller.send(Bytes::from("data: a\n\n")).await);
    caller.finish();
    assert_eq!(read(body).await, ("data: a\n\n".into(), true));
}

/// Guards against a stream that looks complete since its task ended early: the caller read too
/// slowly, or the task panicked.
#[tokio::test]
async fn dropped_stream_is_broken() {
    let (mut caller, body) = CallerStream::new();
    assert!(caller.send(Bytes::from("data: a\n\n")).await);
    drop(caller);
    assert_eq!(read(body).await, ("data: a\n\n".into(), false));
}
