//! A body that is still arriving.

use bytes::{Bytes, BytesMut};

/// Size of the segments by which a body grows.
const SEGMENT_BYTES: usize = 16 << 10;

/// Parts of a body, in segments of one size.
///
/// A buffer of the stated length may take memory before anything has arrived, and one that doubles
/// leaves gaps of many sizes.
///
/// # Examples
///
/// ```
/// use brassrack::segments::Segments;
///
/// let mut body = Segments::default();
/// let size = body.missing(3, None).unwrap_or_default();
/// body.add(size);
/// assert_eq!(body.fill(b"abc"), b"");
/// assert_eq!(body.join(), "abc");
/// ```
#[derive(Debug, Default)]
pub struct Segments {
    segments: Vec<BytesMut>,
    length: usize,
}

impl Segments {
    /// Number of bytes so far.
    #[must_use]
    pub const fn length(&self) -> usize {
        self.length
    }

    /// Size of the segment that has to be added before a part of `bytes` fits in, if one has to be;
    /// `stated` is the length of the whole body.
    #[must_use]
    pub fn missing(&self, bytes: usize, stated: Option<usize>) -> Option<usize> {
        let free = match self.segments.last() {
            Some(last) => last.capacity() - last.len(),
            None => 0,
        };
        let left = stated.map_or(SEGMENT_BYTES, |s| s.saturating_sub(self.length));
        (free == 0).then(|| left.clamp(bytes.min(SEGMENT_BYTES), SEGMENT_BYTES))
    }

    /// Adds an empty segment.
    pub fn add(&mut self, size: usize) {
        self.segments.push(BytesMut::with_capacity(size));
    }

    /// Fills the last segment with a part and returns what does not fit in.
    pub fn fill<'a>(&mut self, part: &'a [u8]) -> &'a [u8] {
        let Some(last) = self.segments.last_mut() else {
            return part;
        };
        let free = last.capacity() - last.len();
        let (now, later) = part.split_at(free.min(part.len()));
        last.extend_from_slice(now);
        self.length += now.len();
        later
    }

    /// The whole body. Nothing is awaited, so that one body at a time takes twice its memory.
    #[must_use]
    pub fn join(mut self) -> Bytes {
        if self.segments.len() < 2 {
            return self.segments.pop().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(self.length);
        for segment in self.segments {
            whole.extend_from_slice(&segment);
        }
        whole.freeze()
    }
}
