//! Settings of the daemon, read once at its start from a YAML file.

mod read;
mod token;
mod tree;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

pub use token::Token;
pub use tree::SettingError;

const DEFAULT_FILE: &str = include_str!("settings/default.yaml");

/// Checked settings of one instance.
///
/// # Examples
///
/// ```
/// use brassrack::settings::Settings;
///
/// let settings = Settings { name: "brassrack-2".into(), ..Settings::default() };
/// assert_eq!(settings.region, "local");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance, as the platform lists it.
    pub name: String,
    /// Region that the instance runs in.
    pub region: String,
    /// Failure domain that the instance runs in.
    pub domain: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of the platform.
    pub platform: Platform,
    /// Administration API.
    pub admin: Admin,
    /// Bounds on what callers may take up.
    pub limits: Limits,
    /// Intervals and time limits between brassrack, its peers and the platform.
    pub timing: Timing,
    /// Least severe log lines that are written.
    pub log: log::LevelFilter,
}

/// Addresses to listen on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Administration API.
    pub admin: SocketAddr,
    /// Other instances of brassrack.
    pub peers: SocketAddr,
}

/// Addresses of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Table service.
    pub table: SocketAddr,
    /// Instance list.
    pub list: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
}

/// Administration API.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Admin {
    /// Bearer token; without one the API listens on loopback only.
    pub token: Option<Token>,
}

/// Bounds on what callers may take up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body: usize,
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Open connections of callers at once.
    pub connections: usize,
    /// Requests that wait at once.
    pub waiting: usize,
    /// Longest time to send a head.
    pub header_time: Duration,
    /// Longest time to send a body.
    pub body_time: Duration,
    /// Longest time that a graceful stop waits for running requests.
    pub drain_time: Duration,
    /// Time after a stop begins in which new requests are still taken, for balancers to notice.
    pub notice_time: Duration,
    /// Deadline of a request that names none.
    pub deadline: Duration,
}

/// Intervals and time limits between brassrack, its peers and the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Interval of heartbeats to peers.
    pub heartbeat: Duration,
    /// Interval of reading the instance list.
    pub list: Duration,
    /// Interval of fetching an endpoint's report.
    pub report: Duration,
    /// Interval of reading the configuration's version.
    pub rules: Duration,
    /// Longest time to open a connection.
    pub connect: Duration,
    /// Longest time for one answer of the platform.
    pub platform: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "brassrack-1".into(),
            region: "local".into(),
            domain: "local-a".into(),
            listen: Listen::default(),
            platform: Platform::default(),
            admin: Admin::default(),
            limits: Limits::default(),
            timing: Timing::default(),
            log: log::LevelFilter::Info,
        }
    }
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            callers: loopback(8080),
            admin: loopback(8081),
            peers: loopback(8082),
        }
    }
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            table: loopback(8090),
            list: loopback(8091),
            objects: loopback(8092),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 4 << 20,
            head: 64 << 10,
            connections: 4096,
            waiting: 2048,
            header_time: Duration::from_secs(5),
            body_time: Duration::from_secs(30),
            drain_time: Duration::from_mins(1),
            notice_time: Duration::from_secs(3),
            deadline: Duration::from_mins(1),
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            list: Duration::from_secs(1),
            report: Duration::from_millis(500),
            rules: Duration::from_secs(1),
            connect: Duration::from_secs(1),
            platform: Duration::from_secs(2),
        }
    }
}

impl Settings {
    /// Reads and checks a settings file as a whole.
    ///
    /// # Errors
    ///
    /// Every error of the file, in the order of its keys.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::settings::Settings;
    ///
    /// let errors = Settings::parse("name: brassrack-1\nregions: osrednja\n").unwrap_err();
    /// assert!(errors.iter().any(|e| e.path == "regions"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<SettingError>> {
        read::parse_settings(text)
    }

    /// A commented settings file that states every key with its default.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::settings::Settings;
    ///
    /// let settings = Settings::parse(&Settings::default_file()).unwrap();
    /// assert_eq!(settings, Settings::default());
    /// ```
    #[must_use]
    pub fn default_file() -> String {
        DEFAULT_FILE.into()
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
