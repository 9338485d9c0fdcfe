//! Buffers of the kernel for callers' connections.
//!
//! What the kernel has received and nobody has read takes memory of the machine, as do answers that the
//! caller does not read.

use socket2::SockRef;
use tokio::net::TcpStream;

/// Send buffer of a connection, in bytes.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Share of the memory from which receive buffers are sized, as a divisor.
const RECEIVE_SHARE: usize = 32;
/// Smallest receive buffer, in bytes.
const MIN_RECEIVE_BYTES: usize = 4 << 10;
/// Largest receive buffer, in bytes.
const MAX_RECEIVE_BYTES: usize = 128 << 10;

/// Receive buffer of a further connection, in bytes, where `open` others have one already.
///
/// The kernel takes up to twice as much. The more connections are open, the smaller the buffer of the
/// next one, so that none is turned away.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::connection_buffers::receive_bytes;
///
/// let memory = 256 << 20;
/// assert_eq!(receive_bytes(memory, 10), 128 << 10);
/// assert!(receive_bytes(memory, 1000) < 16 << 10);
/// ```
#[must_use]
pub fn receive_bytes(memory_bytes: usize, open: usize) -> usize {
    let share = memory_bytes / RECEIVE_SHARE / open.max(1);
    share.clamp(MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES)
}

/// Sets the options of a caller's connection, where `open` others are open.
pub(super) fn tune(stream: &TcpStream, memory_bytes: usize, open: usize) {
    let socket = SockRef::from(stream);
    let tuned = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_send_buffer_size(SEND_BUFFER_BYTES))
        .and_then(|()| socket.set_recv_buffer_size(receive_bytes(memory_bytes, open)));
    if let Err(error) = tuned {
        log::debug!(error:% = error; "cannot set the options of a caller's connection");
    }
}
