//! Keys of a settings file and their accepted ranges.

use std::net::SocketAddr;
use std::time::Duration;

use super::tree::{SettingError, Tree};
use super::{Admin, Limits, Listen, Platform, Settings, Timing, Token};

const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
const TOKEN_LENGTH_BYTES: std::ops::RangeInclusive<usize> = 16..=512;

pub(super) fn parse_settings(text: &str) -> Result<Settings, Vec<SettingError>> {
    let mut tree = Tree::new(text);
    let settings = Settings {
        name: tree.name("name"),
        region: tree.name("region"),
        domain: tree.name("domain"),
        listen: listen(&mut tree),
        platform: platform(&mut tree),
        admin: Admin {
            token: tree
                .secret("admin.token", TOKEN_LENGTH_BYTES)
                .map(Token::new),
        },
        limits: limits(&mut tree),
        timing: timing(&mut tree),
        log: tree
            .choice("log.level", &LOG_LEVELS, "info")
            .parse()
            .unwrap_or(log::LevelFilter::Info),
    };
    check_listen_addresses(&mut tree, &settings);
    let errors = tree.finish();
    if errors.is_empty() {
        Ok(settings)
    } else {
        Err(errors)
    }
}

fn listen(tree: &mut Tree) -> Listen {
    let default = Listen::default();
    Listen {
        callers: tree.address("listen.callers").unwrap_or(default.callers),
        admin: tree.address("listen.admin").unwrap_or(default.admin),
        peers: tree.address("listen.peers").unwrap_or(default.peers),
    }
}

fn platform(tree: &mut Tree) -> Platform {
    let default = Platform::default();
    Platform {
        table: connectable_address(tree, "platform.table", default.table),
        list: connectable_address(tree, "platform.list", default.list),
        objects: connectable_address(tree, "platform.objects", default.objects),
    }
}

/// Reads an address to connect to, which needs a specific IP address and a non-zero port.
fn connectable_address(tree: &mut Tree, path: &str, default: SocketAddr) -> SocketAddr {
    let Some(address) = tree.address(path) else {
        return default;
    };
    if address.port() == 0 || address.ip().is_unspecified() {
        let expected = "an IP number other than 0.0.0.0 or :: and a port from 1 to 65535";
        tree.reject(path, format!("'{address}'"), expected);
    }
    address
}

fn limits(tree: &mut Tree) -> Limits {
    const KIB: usize = 1 << 10;
    const MIB: usize = 1 << 20;
    let default = Limits::default();
    let secs = |low, high| [low, high].map(Duration::from_secs);
    Limits {
        body: tree.size("limits.body", KIB..=256 * MIB, default.body),
        head: tree.size("limits.head", 8 * KIB..=MIB, default.head),
        connections: tree.count("limits.connections", 1..=100_000, default.connections),
        waiting: tree.count("limits.waiting", 1..=100_000, default.waiting),
        header_time: tree.time("limits.header-time", secs(1, 60), default.header_time),
        body_time: tree.time("limits.body-time", secs(1, 600), default.body_time),
        notice_time: tree.time("limits.notice-time", secs(0, 60), default.notice_time),
        drain_time: tree.time("limits.drain-time", secs(1, 3600), default.drain_time),
        deadline: tree.time("limits.deadline", secs(1, 86_400), default.deadline),
    }
}

fn timing(tree: &mut Tree) -> Timing {
    let default = Timing::default();
    let ms = |low, high| [low, high].map(Duration::from_millis);
    Timing {
        heartbeat: tree.time("timing.heartbeat", ms(50, 10_000), default.heartbeat),
        list: tree.time("timing.list", ms(50, 3_000), default.list),
        report: tree.time("timing.report", ms(50, 10_000), default.report),
        rules: tree.time("timing.rules", ms(50, 4_000), default.rules),
        connect: tree.time("timing.connect", ms(10, 30_000), default.connect),
        platform: tree.time("timing.platform", ms(50, 60_000), default.platform),
    }
}

fn check_listen_addresses(tree: &mut Tree, settings: &Settings) {
    let listen = &settings.listen;
    let all = [
        ("listen.callers", listen.callers),
        ("listen.admin", listen.admin),
        ("listen.peers", listen.peers),
    ];
    for (i, (path, address)) in all.iter().enumerate() {
        let taken = all[..i].iter().find(|(_, a)| a == address && a.port() != 0);
        if let Some((other, _)) = taken {
            let found = format!("'{address}', as {other}");
            tree.reject(path, found, "an address of its own");
        }
    }
    if settings.admin.token.is_none() && !listen.admin.ip().is_loopback() {
        let found = format!("'{}' without admin.token", listen.admin);
        let expected = "a loopback address, such as 127.0.0.1:8081, or a token in admin.token";
        tree.reject("listen.admin", found, expected);
    }
}
