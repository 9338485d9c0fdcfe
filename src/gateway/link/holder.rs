//! What an instance knows of the lease holder by its link.

use std::net::SocketAddr;
use std::time::Duration;

use super::super::lease::LeaseRow;

/// Longest time between two reads of the server list by a holder that the store answers.
const MAX_LIST_GAP: Duration = Duration::from_millis(1500);

/// State of the link to the lease holder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HolderLink {
    /// Whether the link is up.
    pub up: bool,
    /// Address of the holder that sent the last update.
    pub address: Option<SocketAddr>,
    /// Version of the lease row in the last update.
    pub row_version: u64,
    /// When the last update was received.
    pub heard_at: Duration,
    /// When the newest report was sent of which the holder has said that it received it.
    pub counted_at: Option<Duration>,
    /// When the holder last read the server list, as of the last update.
    pub list_read_at: Duration,
    /// Since when the holder has read the server list without a gap, as far as this link has shown.
    pub list_read_since: Duration,
    /// When the holder last read the configuration, as of the last update.
    pub config_read_at: Duration,
}

impl HolderLink {
    /// Start of the holder's unbroken reading of the server list, after it was last read at `read_at`.
    ///
    /// Another holder and a new link begin anew, as nothing is known of the time before.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use brassrack::gateway::link::HolderLink;
    ///
    /// let address = ([127, 0, 0, 1], 9).into();
    /// let link = HolderLink {
    ///     up: true,
    ///     address: Some(address),
    ///     list_read_at: Duration::from_secs(20),
    ///     list_read_since: Duration::from_secs(10),
    ///     ..HolderLink::default()
    /// };
    /// let (soon, late) = (Duration::from_secs(21), Duration::from_secs(25));
    /// assert_eq!(link.unbroken_since(address, soon), Duration::from_secs(10));
    /// assert_eq!(link.unbroken_since(address, late), late);
    /// ```
    #[must_use]
    pub fn unbroken_since(&self, address: SocketAddr, read_at: Duration) -> Duration {
        let is_same = self.up && self.address == Some(address);
        if is_same && read_at <= self.list_read_at + MAX_LIST_GAP {
            self.list_read_since
        } else {
            read_at
        }
    }

    /// Since when the holder has read the server list without a gap until now; none if it does not.
    #[must_use]
    pub fn reading_since(&self, now: Duration) -> Option<Duration> {
        let is_reading = self.up && now <= self.list_read_at + MAX_LIST_GAP;
        is_reading.then_some(self.list_read_since)
    }

    /// Lease row of the holder as known from the link.
    ///
    /// Updates do not carry the holder's name, so its address takes the place of the name.
    #[must_use]
    pub fn lease_row(&self) -> Option<LeaseRow> {
        let address = self.address?;
        Some(LeaseRow {
            holder: address.to_string(),
            address,
            released: false,
            era: 0,
            successors: None,
            heard: None,
            expiring: None,
        })
    }
}

/// Lease holder as known to this instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HolderInfo {
    /// Whether this instance holds the lease.
    pub holding: bool,
    /// Address of the holder, if it is another instance.
    pub holder: Option<SocketAddr>,
}
