//! Which version of the rules an instance holds.

#![expect(clippy::unwrap_used, reason = "helpers of a test fail by panicking")]

mod scripted;

use brassrack::rules::{RulesCell, UpdateError, UpdateOutcome, Version, VersionText, digest};
use scripted::text;

fn offered(version: u64) -> VersionText {
    let text = text(&format!("s{version}"));
    VersionText {
        version: Version {
            version,
            digest: digest(&text),
            op: "op".into(),
            author: "maja".into(),
            note: String::new(),
            at: String::new(),
        },
        text,
    }
}

#[test]
fn version_in_force_never_goes_down() {
    arbtest::arbtest(|u| {
        let mut holder = RulesCell::default();
        for _ in 0..100 {
            let before = holder.version();
            let number = u.int_in_range(1..=20)?;
            let taken = holder.update(offered(number)) == Ok(UpdateOutcome::Applied);
            assert_eq!(taken, number > before);
            assert_eq!(holder.version(), before.max(number));
        }
        Ok(())
    })
    .seed(0x5eed_0000_0400);
}

#[test]
fn damaged_offer_leaves_the_version_in_force() {
    let mut holder = RulesCell::default();
    holder.update(offered(1)).unwrap();
    let damaged = VersionText {
        text: text("x"),
        ..offered(2)
    };
    assert_eq!(holder.update(damaged), Err(UpdateError::DigestMismatch(2)));
    assert_eq!(holder.version(), 1);
}
