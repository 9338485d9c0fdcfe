//! Length-prefixed framing of messages on a stream.

use std::io;
use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::codec::{Decoder, Encoder, Framed, LengthDelimitedCodec};

use super::message::Frame;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Size of the length field before each frame.
pub(super) const LENGTH_PREFIX_BYTES: usize = 4;
/// Size above which a frame counts as large.
const LARGE_FRAME_BYTES: usize = 64 << 10;

/// A stream of frames.
pub type Frames = Framed<TcpStream, FrameCodec>;

/// Splits a stream into frames, and bounds how many large ones arrive at a time.
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
    /// Permits for large frames; none where the other end is trusted to complete them.
    large: Option<Arc<Semaphore>>,
    permit: Option<OwnedSemaphorePermit>,
    /// Whether the length of the next frame was read.
    in_frame: bool,
}

/// Wraps a stream in the framing.
///
/// Reading or writing a frame larger than [`MAX_FRAME_BYTES`] is an error.
#[must_use]
pub fn frames(stream: TcpStream) -> Frames {
    Framed::new(stream, FrameCodec::new(None))
}

/// The same for a stream that anybody may have opened.
///
/// A large frame holds one of the permits until it is complete; without one, reading it is an error.
#[must_use]
pub fn accepted_frames(stream: TcpStream, large: &Arc<Semaphore>) -> Frames {
    Framed::new(stream, FrameCodec::new(Some(Arc::clone(large))))
}

impl FrameCodec {
    fn new(large: Option<Arc<Semaphore>>) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_PREFIX_BYTES)
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            inner,
            large,
            permit: None,
            in_frame: false,
        }
    }

    /// Takes a permit for a large frame before any memory is reserved for it.
    fn begin_frame(&mut self, mut prefix: &[u8]) -> io::Result<()> {
        self.in_frame = true;
        let length = usize::try_from(prefix.get_u32()).unwrap_or(usize::MAX);
        let Some(large) = self.large.as_ref().filter(|_| length > LARGE_FRAME_BYTES) else {
            return Ok(());
        };
        let permit = Arc::clone(large).try_acquire_owned();
        self.permit = Some(permit.map_err(io::Error::other)?);
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if !self.in_frame
            && let Some(prefix) = src.get(..LENGTH_PREFIX_BYTES)
        {
            self.begin_frame(prefix)?;
        }
        let frame = self.inner.decode(src)?;
        if frame.is_some() {
            self.in_frame = false;
            self.permit = None;
        }
        Ok(frame)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, item: Bytes, dst: &mut BytesMut) -> io::Result<()> {
        self.inner.encode(item, dst)
    }
}

pub(super) fn encode(frame: &Frame) -> Bytes {
    Bytes::from(frame.encode_to_vec())
}

pub(super) fn decode(bytes: BytesMut) -> Option<Frame> {
    Frame::decode(bytes.freeze()).ok()
}
