//! Odd entries of the instance list.

use brassrack::instances::decode_list;

const SOUND: &str = r#"{"name": "a", "service": "s", "address": "127.0.0.1:9", "domain": "d",
    "region": "r", "standing": "live"}"#;

/// Guards against a list that is no longer followed as one entry cannot be read.
#[test]
fn odd_entries_are_left_out() {
    let deep = format!("{}{}", "[".repeat(30_000), "]".repeat(30_000));
    let odd = [
        deep.clone(),
        "1e400".to_owned(),
        "99999999999999999999".to_owned(),
        "{}".to_owned(),
        SOUND.replacen("127.0.0.1:9", "127.0.0.1:99999", 1),
        SOUND.replacen("live", "asleep", 1),
        SOUND.replacen("\"live\"", &deep, 1),
    ];
    for entry in odd {
        let text = format!("[{SOUND}, {entry}, {SOUND}]");
        let start: String = entry.chars().take(80).collect();
        assert_eq!(decode_list(text.as_bytes()).unwrap().len(), 2, "{start}");
    }
}
