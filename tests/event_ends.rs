//! Where events end in a stream, however its bytes are cut.

use std::time::{Duration, Instant};

use brassrack::relay::EventSplitter;
use bytes::Bytes;

/// Time for an event in pieces of one byte.
const SOON: Duration = Duration::from_secs(2);

/// Guards against an event without end that holds up a processor: each piece was searched again
/// from the start.
#[test]
fn pieces_are_searched_once() {
    let mut events = EventSplitter::default();
    let since = Instant::now();
    for _ in 0..400_000 {
        assert!(events.push(b"a").is_empty());
    }
    assert_eq!(events.push(b"\n"), Bytes::new());
    assert_eq!(events.push(b"\r\nb").len(), 400_003);
    assert!(since.elapsed() < SOON, "{:?}", since.elapsed());
}

/// Each event ends where a search of all bytes finds its end, however the bytes are cut.
#[test]
fn cuts_move_no_event() {
    let letters = [b'a', b'\r', b'\n'];
    for number in 0..3_u32.pow(9) {
        let digit = |at: u32| letters[(number / 3_u32.pow(at) % 3) as usize];
        let text: Vec<u8> = (0..9).map(digit).collect();
        let parts = text.chunks(1 + number as usize % 4);
        let mut events = EventSplitter::default();
        let mut buffer = Vec::new();
        for part in parts {
            buffer.extend_from_slice(part);
            let mut ends = (0..buffer.len()).filter_map(|at| match &buffer[at..] {
                [b'\n', b'\n', ..] => Some(at + 2),
                [b'\n', b'\r', b'\n', ..] => Some(at + 3),
                _ => None,
            });
            let rest = buffer.split_off(ends.next_back().unwrap_or(0));
            assert_eq!(events.push(part), buffer, "{text:?}");
            buffer = rest;
            assert_eq!(events.pending_bytes(), buffer.len());
        }
    }
}
