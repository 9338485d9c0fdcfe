//! Settings of the daemon, read from a YAML file at startup.

mod read;
mod token;
mod tree;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

pub use token::Token;
pub use tree::SettingError;

const DEFAULT_FILE: &str = include_str!("settings/default.yaml");

/// Validated settings of one instance.
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
    /// Name of the instance in the platform's instance list.
    pub name: String,
    /// Region that the instance runs in.
    pub region: String,
    /// Failure domain that the instance runs in.
    pub domain: String,
    /// Listen addresses.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Settings of the administration API.
    pub admin: Admin,
    /// Limits on callers' use of resources.
    pub limits: Limits,
    /// Intervals and time limits between brassrack, its peers and the platform.
    pub timing: Timing,
    /// Minimum severity of log lines.
    pub log: log::LevelFilter,
}

/// Listen addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Address for caller requests.
    pub callers: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address for other instances of brassrack.
    pub peers: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Table service.
    pub table: SocketAddr,
    /// Instance list.
    pub list: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
}

/// Settings of the administration API.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Admin {
    /// Bearer token; required unless the API listens on a loopback address.
    pub token: Option<Token>,
}

/// Limits on callers' use of resources.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum number of open caller connections.
    pub connections: usize,
    /// Maximum number of queued requests.
    pub waiting: usize,
    /// Time limit for receiving a request head.
    pub header_time: Duration,
    /// Time limit for receiving a request body.
    pub body_time: Duration,
    /// Time limit for running requests to finish during a graceful shutdown.
    pub drain_time: Duration,
    /// Time after shutdown begins in which requests are still accepted, for balancers to notice.
    pub notice_time: Duration,
    /// Deadline of requests that do not specify one.
    pub deadline: Duration,
}

/// Intervals and time limits between brassrack, its peers and the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats to peers.
    pub heartbeat: Duration,
    /// Interval between reads of the instance list.
    pub list: Duration,
    /// Interval between fetches of an endpoint's report.
    pub report: Duration,
    /// Interval between reads of the accepted rules version.
    pub rules: Duration,
    /// Time limit for opening a connection.
    pub connect: Duration,
    /// Time limit for one platform call.
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
    /// Parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// All errors of the file.
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

    /// Returns a commented settings file with every key at its default.
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
