//! Frames on a stream: a length, then one encoded message.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::message::Frame;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Bytes of the length before each frame.
pub(super) const LENGTH_PREFIX_BYTES: usize = 4;

/// A stream of frames.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Puts the framing on a stream; a larger frame than [`MAX_FRAME_BYTES`] is an error of either side.
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
