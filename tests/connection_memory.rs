//! Memory that callers' connections may take together.

use brassrack::gateway::connection_buffers::receive_bytes;

/// Most connections of callers on a machine with 4,100 descriptors.
const CONNECTIONS: usize = 2900;
const MEMORY_BYTES: usize = 260 << 20;
/// Largest head of a configuration.
const HEAD_BYTES: usize = 16 << 10;

/// Guards against a machine that runs out of memory under connections whose bytes nobody reads: what
/// the kernel holds of them, their heads, the bodies and the answers leave a quarter to everything else.
#[test]
fn connections_leave_memory() {
    let kernel: usize = (0..CONNECTIONS)
        .map(|open| 2 * receive_bytes(MEMORY_BYTES, open))
        .sum();
    let taken = kernel + CONNECTIONS * HEAD_BYTES + MEMORY_BYTES / 4;
    assert!(taken < MEMORY_BYTES * 3 / 4, "{taken}");
}

/// Few connections have room for a large body on a long way.
#[test]
fn few_connections_are_fast() {
    assert!((0..64).all(|open| receive_bytes(MEMORY_BYTES, open) >= 100 << 10));
}
