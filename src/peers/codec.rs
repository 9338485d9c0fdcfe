//! Length-prefixed framing of messages on a stream.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::message::Frame;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Size of the length field before each frame.
pub(super) const LENGTH_PREFIX_BYTES: usize = 4;

/// A stream of frames.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Wraps a stream in the framing.
///
/// Reading or writing a frame larger than [`MAX_FRAME_BYTES`] is an error.
#[must_use]
pub fn frames(stream: TcpStream) -> Frames {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_PREFIX_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream)
}

pub(super) fn encode(frame: &Frame) -> Bytes {
    Bytes::from(frame.encode_to_vec())
}

pub(super) fn decode(bytes: BytesMut) -> Option<Frame> {
    Frame::decode(bytes.freeze()).ok()
}
