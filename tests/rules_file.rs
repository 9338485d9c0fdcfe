//! Reading of rules files: what is accepted, and every error where it stands.

use std::time::Duration;

use brassrack::rules::{Fencing, PriorityClass, Repeat, Rules};

const GOOD: &str = "\
# Counter drafts and print orders.

adapter besedilo-03/ana base=besedilo-03 size=60MiB class=batch first-token=1m replicas=1 # Ana: menus
engines besedilnik memory=80GiB orders=checked accelerators=8   # Maja: wording servers
model besedilo-03 engines=besedilnik size=13GiB class=interactive first-token=2s replicas=2 # Tina: drafts
call narocila POST /orders repeat=never timeout=5s # Maja: a print order is cut once
call narocila GET '/stock/*' repeat=safe timeout=500ms # Maja: stock lookups
service narocila # Maja: orders and stock
tenant poroke rate=20 concurrency=8 class=interactive # Tina: wedding desk
weigh idle=0.7 loads=4 adapters=32 crashes=2 # Maja: models sit unused
";

/// Errors of the good file with one more line, as `column: found; expected`.
fn errors(line: &str) -> Vec<String> {
    let text = format!("{GOOD}{line}\n");
    let last = GOOD.lines().count() + 1;
    match Rules::parse(&text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors
            .into_iter()
            .inspect(|e| assert_eq!(e.line, last, "{e}"))
            .map(|e| format!("{}: {}; {}", e.column, e.found, e.expected))
            .collect(),
    }
}

#[test]
fn good_file_in_any_order() {
    let rules = Rules::parse(GOOD).unwrap();
    assert_eq!(rules.engines["besedilnik"].memory, 80 << 30);
    assert_eq!(rules.engines["besedilnik"].orders, Fencing::Checked);
    let adapter = &rules.models["besedilo-03/ana"];
    assert_eq!(adapter.base.as_deref(), Some("besedilo-03"));
    assert_eq!(adapter.engines, "besedilnik");
    assert_eq!(adapter.first_token, Duration::from_mins(1));
    assert_eq!(
        rules.models["besedilo-03"].class,
        PriorityClass::Interactive
    );
    assert_eq!(rules.services["narocila"].calls[0].repeat, Repeat::Never);
    assert_eq!(rules.services["narocila"].calls[1].path, "/stock/*");
    assert_eq!(rules.tenants["poroke"].rate, 20);
    assert_eq!(rules.weights.adapters, 32);
}

/// A line and the errors that it has.
type Case<'a> = (&'a str, &'a [&'a str]);

fn expect_errors(cases: &[Case<'_>]) {
    for (line, expected) in cases {
        assert_eq!(errors(line), *expected, "{line}");
    }
}

#[test]
fn bad_names_and_comments() {
    const NAME: &str = "a name of 1 to 128 letters, digits, '-', '_', '.' or '/'";
    const COMMENT: &str = "a comment that names who asked, such as # Maja: counter drafts";
    expect_errors(&[
        ("service sub-desk # Ann: seats", &[]),
        (
            "servise sub-desk # Ann: seats",
            &["1: 'servise'; one of engines, model, adapter, service, call, tenant, weigh"],
        ),
        ("service sub-desk", &[&format!("17: nothing; {COMMENT}")]),
        ("service sub-desk #", &[&format!("18: nothing; {COMMENT}")]),
        (
            "service sub-desk # seats",
            &[&format!("18: 'seats'; {COMMENT}")],
        ),
        (
            "service sub-desk # : seats",
            &[&format!("18: ': seats'; {COMMENT}")],
        ),
        (
            "service # Ann: seats",
            &["9: nothing; the name of the service"],
        ),
        (
            "service sub_desk! # Ann: seats",
            &[&format!("9: 'sub_desk!'; {NAME}")],
        ),
        (
            "service a b=1 # Ann: seats",
            &["11: 'b'; no key=value word here"],
        ),
        (
            "service a b # Ann: seats",
            &["11: 'b'; key=value words or a comment"],
        ),
        (
            "service 'a # Ann: seats",
            &["9: '\\'a # Ann: seats'; a closing quote"],
        ),
        (
            "service narocila # Ann: seats",
            &["9: 'narocila'; one service rule of this name; line 8 has it"],
        ),
        (
            "service besedilnik # Ann: seats",
            &["9: 'besedilnik'; one service rule of this name; line 4 has it"],
        ),
        (
            "service brassrack # Ann: seats",
            &["9: 'brassrack'; another name; this one is brassrack's own in the instance list"],
        ),
    ]);
}

#[test]
fn bad_values() {
    expect_errors(&[
        (
            "engines x memory=0GiB orders=maybe accelerators=0 # Ann: x",
            &[
                "18: '0GiB'; a size above zero with its unit, such as 60MiB or 13GiB",
                "30: 'maybe'; one of checked, ignored",
                "49: '0'; a whole number from 1 to 64",
            ],
        ),
        (
            "engines x memory=80 orders=ignored accelerators=8 # Ann: x",
            &["18: '80'; a size above zero with its unit, such as 60MiB or 13GiB"],
        ),
        (
            "engines x memory=8GiB memory=9GiB orders=ignored accelerators=8 # Ann: x",
            &["23: 'memory'; each key once"],
        ),
    ]);
}

#[test]
fn bad_references() {
    expect_errors(&[
        (
            "model m engines=none size=1GiB class=batch first-token=2s replicas=1 # Ann: x",
            &["17: 'none'; the name of an engines rule"],
        ),
        (
            "model m engines=narocila size=1GiB class=batch first-token=2s replicas=1 # Ann: x",
            &["17: 'narocila'; the name of an engines rule"],
        ),
        (
            "model m engines=besedilnik size=81GiB class=batch first-token=2s replicas=1 # Ann: x",
            &["33: '81GiB'; at most the engines' memory of 80.0 GiB"],
        ),
        (
            "model m engines=besedilnik size=1GiB class=slow first-token=0s replicas=0 # Ann: x",
            &[
                "44: 'slow'; one of interactive, standard, batch",
                "61: '0s'; a time above zero and at most 1day, such as 500ms or 2s",
                "73: '0'; a whole number from 1 to 10000",
            ],
        ),
        (
            "model m engines=besedilnik size=1GiB class=batch first-token=2 replicas=1 # Ann: x",
            &["62: '2'; a time above zero and at most 1day, such as 500ms or 2s"],
        ),
        (
            "model m engine=besedilnik size=1GiB class=batch first-token=2s replicas=1 # Ann: x",
            &[
                "9: 'engine'; one of the keys engines, size, class, first-token, replicas",
                "75: nothing; engines= with the service name of engines",
            ],
        ),
        (
            "model besedilo-03/ana engines=besedilnik size=1GiB class=batch first-token=2s replicas=1 # Ann: x",
            &["7: 'besedilo-03/ana'; one model rule of this name; line 3 has it"],
        ),
        (
            "adapter a base=none size=1MiB class=batch first-token=2s replicas=1 # Ann: x",
            &["16: 'none'; the name of a model rule"],
        ),
        (
            "adapter a base=besedilo-03/ana size=1MiB class=batch first-token=2s replicas=1 # Ann: x",
            &["16: 'besedilo-03/ana'; the name of a model rule"],
        ),
        (
            "adapter a base=besedilo-03 size=68GiB class=batch first-token=2s replicas=1 # Ann: x",
            &["33: '68GiB'; at most the engines' memory of 80.0 GiB together with its base"],
        ),
        (
            "call none GET /x repeat=safe timeout=1s # Ann: x",
            &["6: 'none'; the name of a service rule"],
        ),
        (
            "call besedilnik GET /x repeat=safe timeout=1s # Ann: x",
            &["6: 'besedilnik'; the name of a service rule"],
        ),
        (
            "call narocila get x repeat=once timeout=2d # Ann: x",
            &[
                "15: 'get'; one of DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT",
                "19: 'x'; a path that starts with '/', with '*' at most at its end",
                "28: 'once'; one of safe, never, keyed",
                "41: '2d'; a time above zero and at most 1day, such as 500ms or 2s",
            ],
        ),
        (
            "call narocila GET /a*b repeat=safe timeout=1s # Ann: x",
            &["19: '/a*b'; a path that starts with '/', with '*' at most at its end"],
        ),
        (
            "call narocila GET /stock/gold repeat=never timeout=1s # Ann: x",
            &["19: '/stock/gold'; a call that GET /stock/* leaves over"],
        ),
        (
            "tenant poroke rate=1 concurrency=1 class=batch # Ann: x",
            &["8: 'poroke'; one tenant rule of this name; line 9 has it"],
        ),
        (
            "tenant t rate=-1 concurrency=1.5 class=batch # Ann: x",
            &[
                "15: '-1'; a whole number from 1 to 1000000",
                "30: '1.5'; a whole number from 1 to 1000000",
            ],
        ),
        (
            "weigh idle=0.1 loads=4 adapters=32 crashes=2 # Ann: x",
            &["1: 'weigh'; one weigh rule of this name; line 10 has it"],
        ),
        (
            "weigh idle=NaN loads=0 adapters=32 crashes=2 # Ann: x",
            &[
                "1: 'weigh'; one weigh rule of this name; line 10 has it",
                "12: 'NaN'; a number from 0 to 1",
                "22: '0'; a whole number from 1 to 10000",
            ],
        ),
    ]);
}

#[test]
fn columns_count_characters() {
    assert_eq!(
        errors("tenant \"čas\" rate=x concurrency=1 class=batch # Ann: x").len(),
        2
    );
    assert!(
        errors("tenant 'čas' rate=x concurrency=1 class=batch # Ann: x")[1].starts_with("19: 'x'")
    );
}

#[test]
fn errors_of_all_lines_in_order() {
    let errors =
        Rules::parse("tenant a # x\nmodel m\n\ncall s GET / repeat=safe timeout=1s # A: x");
    let lines: Vec<usize> = errors.unwrap_err().iter().map(|e| e.line).collect();
    assert_eq!(lines, [1, 1, 1, 1, 2, 2, 2, 2, 2, 2, 4]);
}

#[test]
fn hostile_files_have_few_errors() {
    let calls = "call narocila GET /x repeat=safe timeout=1s # Ann: x\n";
    let cases = [
        ("x\n".repeat(100_000), 1001),
        ("a=1 ".repeat(100_000), 1),
        (calls.repeat(1200), 1200),
        (
            (0..1200)
                .map(|n| calls.replace("/x", &format!("/{n}x")))
                .collect(),
            1200,
        ),
    ];
    for (text, most) in cases {
        let errors = Rules::parse(&text).unwrap_err();
        assert!(
            errors.len() <= most,
            "{} errors, {}",
            errors.len(),
            errors[0]
        );
    }
    let text: String = (0..1200)
        .map(|n| calls.replace("/x", &format!("/{n}x")))
        .collect();
    let errors = Rules::parse(&format!("{GOOD}{text}")).unwrap_err();
    assert_eq!(errors.len(), 202, "{}", errors[0]);
}

#[test]
fn any_text_has_a_result() {
    arbtest::arbtest(|u| {
        let words = [
            "model",
            "call",
            "a",
            "size=1GiB",
            "base=a",
            "'",
            "#",
            " ",
            "\n",
            "č",
            "=",
        ];
        let mut text = String::new();
        for _ in 0..u.int_in_range(0..=40)? {
            text.push_str(u.choose(&words)?);
        }
        if let Err(errors) = Rules::parse(&text) {
            let lines: Vec<&str> = text.lines().collect();
            for e in errors {
                assert!(
                    e.column <= lines[e.line - 1].chars().count() + 1,
                    "{text:?}: {e}"
                );
            }
        }
        Ok(())
    })
    .seed(0x5eed_0000_0400);
}

#[test]
fn deployments_have_their_size() {
    let cases = [
        (
            include_str!("../deployments/papirnica.rules"),
            55,
            "POST /orders",
            0.3,
        ),
        (
            include_str!("../deployments/delta-meridian.rules"),
            60,
            "POST /activations",
            0.05,
        ),
    ];
    for (text, adapters, paid, idle) in cases {
        let rules = Rules::parse(text).unwrap();
        let (with_base, models): (Vec<_>, Vec<_>) =
            rules.models.values().partition(|m| m.base.is_some());
        assert_eq!((models.len(), with_base.len()), (50, adapters));
        assert_eq!((rules.engines.len(), rules.services.len()), (1, 1));
        let mut calls = rules.services.values().flat_map(|s| &s.calls);
        let paid = calls.find(|c| format!("{} {}", c.method, c.path) == paid);
        assert_eq!(paid.map(|c| c.repeat), Some(Repeat::Never));
        assert_eq!(
            (
                rules.weights.idle,
                rules.weights.loads,
                rules.weights.adapters
            ),
            (idle, 4, 32)
        );
    }
}
