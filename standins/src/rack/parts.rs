//! The processes that a rack is made of.

use std::net::SocketAddr;

use brassrack::instances::{Listed, Standing};

use super::{RULES, RackError};
use crate::process::Process;

/// Region of everything in the rack.
pub(super) const REGION: &str = "osrednja";
/// Failure domains, taken in turn.
const DOMAINS: [&str; 3] = ["bezigrad", "vic", "moste"];
/// Service name of the engines that check fencing numbers.
pub const CHECKED_ENGINES: &str = "besedilnik";
/// Service name of the engines that ignore fencing numbers.
pub const IGNORING_ENGINES: &str = "rover-assist";
/// Service name of the plain service that takes print orders.
pub const ORDER_SERVICE: &str = "narocila";
/// Service name of the plain service that takes activations.
pub const SEAT_SERVICE: &str = "sub-desk";

/// What a rack is made of.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Daemons.
    pub daemons: usize,
    /// Service name of each engine; those of [`IGNORING_ENGINES`] ignore fencing numbers.
    pub engines: Vec<String>,
    /// Service name of each plain service; those of [`SEAT_SERVICE`] recognise keys.
    pub services: Vec<String>,
    /// Time for each token, as the engines' argument.
    pub gap: String,
    /// Requests that an engine runs at once, as the engines' argument.
    pub batch: String,
    /// Rules file.
    pub rules: String,
    /// Lines added to each daemon's settings.
    pub extra: String,
}

impl Default for Settings {
    fn default() -> Self {
        let text = |names: &[&str]| names.iter().map(|&n| n.to_owned()).collect();
        Self {
            daemons: 3,
            engines: text(&[CHECKED_ENGINES, CHECKED_ENGINES, IGNORING_ENGINES]),
            services: text(&[ORDER_SERVICE, ORDER_SERVICE, SEAT_SERVICE]),
            gap: "0s".into(),
            batch: "64".into(),
            rules: RULES.into(),
            extra: String::new(),
        }
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the instance.
    pub name: String,
    /// Process.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
}

/// An endpoint or a part of the platform.
#[derive(Debug)]
pub struct Station {
    /// Name, as listed.
    pub name: String,
    /// Service name, as listed.
    pub service: String,
    /// Process.
    pub process: Process,
    /// Address.
    pub address: SocketAddr,
}

impl Station {
    fn start(name: String, service: &str, kind: &str, args: &[&str]) -> Result<Self, RackError> {
        let process = Process::standin(kind, args)?;
        let address = process.address()?;
        Ok(Self {
            name,
            service: service.to_owned(),
            process,
            address,
        })
    }

    pub(super) fn platform(kind: &str) -> Result<Self, RackError> {
        Self::start(kind.to_owned(), kind, kind, &[])
    }
}

pub(super) fn start_engines(
    settings: &Settings,
    weights: &Station,
) -> Result<Vec<Station>, RackError> {
    let weights = weights.address.to_string();
    let start = |(index, service): (usize, &String)| {
        let orders = match service.as_str() {
            IGNORING_ENGINES => "ignored",
            _ => "checked",
        };
        let args = ["--weights", &weights, "--orders", orders];
        let args = [
            args.as_slice(),
            &["--token-gap", &settings.gap, "--batch", &settings.batch],
        ]
        .concat();
        Station::start(format!("{service}-{}", index + 1), service, "engine", &args)
    };
    settings.engines.iter().enumerate().map(start).collect()
}

pub(super) fn start_services(settings: &Settings) -> Result<Vec<Station>, RackError> {
    let start = |(index, service): (usize, &String)| {
        let args: &[&str] = match service.as_str() {
            SEAT_SERVICE => &["--keyed"],
            _ => &[],
        };
        Station::start(format!("{service}-{}", index + 1), service, "service", args)
    };
    settings.services.iter().enumerate().map(start).collect()
}

/// Failure domain of a name that ends in its number.
pub(super) fn domain(name: &str) -> &'static str {
    let digits = name.rsplit('-').next().and_then(|n| n.parse().ok());
    DOMAINS[digits.unwrap_or(0_usize) % DOMAINS.len()]
}

/// An entry of the instance list.
pub(super) fn entry(name: &str, service: &str, address: SocketAddr) -> Listed {
    Listed {
        name: name.to_owned(),
        service: service.to_owned(),
        address,
        domain: domain(name).to_owned(),
        region: REGION.to_owned(),
        standing: Standing::Live,
    }
}
