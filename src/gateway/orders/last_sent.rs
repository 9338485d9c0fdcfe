//! What a linked instance was sent last.

/// The last value of a field that an instance was sent; a send that fails has to be repeated.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::orders::last_sent::LastSent;
///
/// let mut last = LastSent::default();
/// last.record(&[1], false);
/// assert!(last.is_due(&[1]));
/// last.record(&[1], true);
/// assert!(!last.is_due(&[1]));
/// assert!(last.is_due(&[2]));
/// ```
#[derive(Debug, Default)]
pub struct LastSent {
    value: Option<Vec<u64>>,
}

impl LastSent {
    /// Whether a value has to be sent.
    #[must_use]
    pub fn is_due(&self, value: &[u64]) -> bool {
        self.value.as_deref() != Some(value)
    }

    /// Records the result of a send.
    pub fn record(&mut self, value: &[u64], sent: bool) {
        self.value = sent.then(|| value.to_vec());
    }
}
