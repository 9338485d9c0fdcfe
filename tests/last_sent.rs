//! When a field of an update has to be sent to an instance again.

use brassrack::gateway::orders::last_sent::LastSent;

/// Guards against requests that crash endpoints and stay unknown to an instance, as the update
/// with them met a full queue.
#[test]
fn failed_send_is_repeated() {
    let mut last = LastSent::default();
    last.record(&[1, 2], true);
    assert!(last.is_due(&[1, 2, 3]));
    last.record(&[1, 2, 3], false);
    assert!(last.is_due(&[1, 2, 3]));
}

/// Guards against a change that leaves the number of entries as it was.
#[test]
fn same_length_is_no_sign() {
    let mut last = LastSent::default();
    last.record(&[1, 2], true);
    assert!(last.is_due(&[1, 3]));
    assert!(!last.is_due(&[1, 2]));
}
