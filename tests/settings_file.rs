//! Settings files: defaults, and every error with its key's path.

use std::time::Duration;

use brassrack::settings::{Settings, Token};

const GOOD: &str = "\
name: brassrack-1
region: osrednja
domain: vic
listen: {callers: '10.0.0.7:8080', admin: '127.0.0.1:8081', peers: '10.0.0.7:8082'}
platform: {table: '10.0.1.1:80', list: '10.0.1.2:80', objects: '[fd00::3]:80'}
";

/// Errors of a file, one line each.
fn errors(text: &str) -> Vec<String> {
    match Settings::parse(text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn required_keys_suffice() {
    let settings = Settings::parse(GOOD).unwrap();
    assert_eq!(settings.domain, "vic");
    assert_eq!(settings.limits, Settings::default().limits);
}

#[test]
fn values_are_taken() {
    let text = format!(
        "{GOOD}limits: {{body: 1MiB, drain-time: 90s}}\nadmin: {{token: aaaaaaaaaaaaaaaa}}"
    );
    let settings = Settings::parse(&text).unwrap();
    assert_eq!(settings.limits.body, 1 << 20);
    assert_eq!(settings.limits.drain_time, Duration::from_secs(90));
    assert_eq!(settings.admin.token, Some(Token::new("a".repeat(16))));
}

#[test]
fn bad_additions() {
    let cases: &[(&str, &[&str])] = &[
        (
            "nam: x",
            &[
                "nam: unknown key; expected one of admin, domain, limits, listen, log, name, platform, region, timing",
            ],
        ),
        (
            "log: {levels: info}",
            &["log.levels: unknown key; expected one of level"],
        ),
        (
            "log: {level: loud}",
            &["log.level: 'loud'; expected one of off, error, warn, info, debug, trace"],
        ),
        ("log: [info]", &["log: a list; expected keys with values"]),
        ("log: info", &["log: 'info'; expected keys with values"]),
        (
            "limits: {body: 1GiB, head: 5, connections: -1, waiting: many}",
            &[
                "limits.body: '1GiB'; expected a size from 1.0 KiB to 256.0 MiB, such as 64KiB",
                "limits.head: '5'; expected a size from 8.0 KiB to 1.0 MiB, such as 64KiB",
                "limits.connections: '-1'; expected a whole number from 1 to 100000",
                "limits.waiting: 'many'; expected a whole number from 1 to 100000",
            ],
        ),
        (
            "limits: {header-time: 5, deadline: [1]}",
            &[
                "limits.header-time: '5'; expected a time from 1s to 1m, such as 500ms or 2s",
                "limits.deadline: a list; expected a time from 1s to 1day, such as 500ms or 2s",
            ],
        ),
        (
            "timing: {heartbeat: 1ms, lease: 10s}",
            &[
                "timing.heartbeat: '1ms'; expected a time from 50ms to 10s, such as 500ms or 2s",
                "timing.lease: unknown key; expected one of connect, heartbeat, list, platform, report, rules",
            ],
        ),
        (
            "admin: {token: short}",
            &["admin.token: 5 characters; expected 16 to 512 characters"],
        ),
    ];
    for (addition, expected) in cases {
        assert_eq!(
            errors(&format!("{GOOD}{addition}\n")),
            *expected,
            "{addition}"
        );
    }
}

#[test]
fn bad_replacements() {
    let cases = [
        (
            "region: osrednja",
            "",
            "region: missing key; expected 1 to 64 letters, digits, '-', '_' or '.'",
        ),
        (
            "domain: vic",
            "domain: 'a b'",
            "domain: 'a b'; expected 1 to 64 letters, digits, '-', '_' or '.'",
        ),
        (
            "'10.0.1.1:80'",
            "table.example:80",
            "platform.table: 'table.example:80'; expected an IP number and a port, such as 10.0.0.7:8080",
        ),
        (
            "'10.0.1.2:80'",
            "'0.0.0.0:80'",
            "platform.list: '0.0.0.0:80'; expected an IP number other than 0.0.0.0 or :: and a port from 1 to 65535",
        ),
        (
            "127.0.0.1:8081",
            "10.0.0.7:8081",
            "listen.admin: '10.0.0.7:8081' without admin.token; expected a loopback address, such as 127.0.0.1:8081, or a token in admin.token",
        ),
        (
            "10.0.0.7:8082",
            "10.0.0.7:8080",
            "listen.peers: '10.0.0.7:8080', as listen.callers; expected an address of its own",
        ),
    ];
    for (from, to, expected) in cases {
        assert_eq!(errors(&GOOD.replace(from, to)), [expected]);
    }
}

#[test]
fn all_missing_keys_at_once() {
    assert_eq!(errors("").len(), 9);
}

#[test]
fn no_yaml_is_one_line() {
    let errors = errors("name: [");
    assert!(errors[0].starts_with("(file): ") && errors[0].ends_with("; expected valid YAML"));
    assert!(!errors[0].contains('\n'));
}

#[test]
fn token_never_shows() {
    let text = format!("{GOOD}admin: {{token: aaaaaaaaaaaaaaaa}}");
    assert!(!format!("{:?}", Settings::parse(&text)).contains("aaaa"));
}
