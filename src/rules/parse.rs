//! Reading of a rules file, line by line.

use strum::VariantNames;

use super::check::Draft;
use super::fields::Fields;
use super::lex::{Lexed, Word, split};
use super::{Call, Class, Engines, Fencing, Model, Repeat, RuleError, Rules, Tenant, Weights};

/// Errors after which the rest of a file is not read.
const MOST_ERRORS: usize = 1000;
const MOST_WORDS: usize = 32;
const MOST_ACCELERATORS: u32 = 64;
const MOST_REPLICAS: u32 = 10_000;
const MOST_REQUESTS: u32 = 1_000_000;
const MOST_LOADS: u32 = 10_000;
const MOST_CRASHES: u32 = 100;
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
const COMMENT: &str = "a comment that names who asked, such as # Maja: counter drafts";

/// First word of a rule.
#[derive(Debug, Clone, Copy, strum::EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
enum Keyword {
    Engines,
    Model,
    Adapter,
    Service,
    Call,
    Tenant,
    Weigh,
}

impl Rules {
    /// Reads and checks a rules file as a whole.
    ///
    /// # Errors
    ///
    /// Every error of the file, in the order of its lines; reading stops after 1,000.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack::rules::Rules;
    ///
    /// let rules = Rules::parse("service narocila # Maja: print orders\n").unwrap();
    /// assert!(rules.services.contains_key("narocila"));
    ///
    /// let errors = Rules::parse("service narocila\nservise sub-desk # Ann: seats").unwrap_err();
    /// assert_eq!((errors[0].line, errors[0].column), (1, 17));
    /// assert_eq!(errors[1].found, "'servise'");
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<RuleError>> {
        let mut draft = Draft::default();
        for (line, text) in (1..).zip(text.lines()) {
            if draft.errors.len() >= MOST_ERRORS {
                draft.errors.push(unread(line));
                return Err(draft.errors);
            }
            read_line(&mut draft, split(text, line), line);
        }
        draft.finish()
    }
}

/// The error that ends a file with too many of them.
fn unread(line: usize) -> RuleError {
    RuleError {
        line,
        column: 1,
        found: format!("{MOST_ERRORS} errors before"),
        expected: "fewer; the rest of the file was not read".into(),
    }
}

fn read_line(draft: &mut Draft, lexed: Lexed, line: usize) {
    if let Some(word) = &lexed.open {
        draft.errors.push(word.error("a closing quote"));
        return;
    }
    if let Some(word) = lexed.words.get(MOST_WORDS) {
        let expected = format!("at most {MOST_WORDS} words in a line");
        draft.errors.push(word.error(&expected));
        return;
    }
    let Some(head) = lexed.words.first().cloned() else {
        return;
    };
    check_comment(draft, &lexed, line);
    let Ok(keyword) = head.text.parse() else {
        let expected = format!("one of {}", Keyword::VARIANTS.join(", "));
        draft.errors.push(head.error(&expected));
        return;
    };
    let mut fields = Fields::new(lexed, line);
    read_rule(draft, keyword, &head, &mut fields);
    fields.finish();
    draft.errors.append(&mut fields.errors);
}

fn check_comment(draft: &mut Draft, lexed: &Lexed, line: usize) {
    let Some(comment) = &lexed.comment else {
        let end = Word {
            text: String::new(),
            line,
            column: lexed.end,
        };
        draft.errors.push(end.error(COMMENT));
        return;
    };
    let named = comment
        .text
        .split_once(':')
        .is_some_and(|(who, why)| !who.trim().is_empty() && !why.trim().is_empty());
    if !named {
        draft.errors.push(comment.error(COMMENT));
    }
}

fn read_rule(draft: &mut Draft, keyword: Keyword, head: &Word, fields: &mut Fields) {
    match keyword {
        Keyword::Engines => engines(draft, fields),
        Keyword::Model => model(draft, fields),
        Keyword::Adapter => adapter(draft, fields),
        Keyword::Service => service(draft, fields),
        Keyword::Call => call(draft, fields),
        Keyword::Tenant => tenant(draft, fields),
        Keyword::Weigh => weights(draft, head, fields),
    }
}

fn engines(draft: &mut Draft, fields: &mut Fields) {
    let name = fields.name("the service name of the engines");
    let memory = fields.size("memory");
    let orders = fields.choice("orders", Fencing::VARIANTS);
    let accelerators = fields.count("accelerators", 1..=MOST_ACCELERATORS);
    let Some(name) = name else { return };
    let rule = || {
        Some(Engines {
            memory: memory?.0,
            orders: orders?.parse().ok()?,
            accelerators: accelerators?,
        })
    };
    draft.engines(&name, rule());
}

fn model(draft: &mut Draft, fields: &mut Fields) {
    let name = fields.name("the name of the model");
    let engines = fields.reference("engines", "the service name of engines");
    replica(draft, fields, name, engines, false);
}

fn adapter(draft: &mut Draft, fields: &mut Fields) {
    let name = fields.name("the name of the adapter");
    let base = fields.reference("base", "the name of a model");
    replica(draft, fields, name, base, true);
}

/// The words that models and adapters share.
fn replica(
    draft: &mut Draft,
    fields: &mut Fields,
    name: Option<Word>,
    parent: Option<Word>,
    adapter: bool,
) {
    let size = fields.size("size");
    let class = fields.choice("class", Class::VARIANTS);
    let token = fields.time("first-token");
    let replicas = fields.count("replicas", 1..=MOST_REPLICAS);
    let Some(name) = name else { return };
    let rule = || {
        let (bytes, place) = size?;
        let parent = parent?;
        let model = Model {
            engines: if adapter {
                String::new()
            } else {
                parent.text.clone()
            },
            base: adapter.then(|| parent.text.clone()),
            size: bytes,
            class: class?.parse().ok()?,
            token: token?,
            replicas: replicas?,
        };
        Some((model, parent, place))
    };
    draft.model(&name, rule());
}

fn service(draft: &mut Draft, fields: &mut Fields) {
    if let Some(name) = fields.name("the name of the service") {
        draft.service(&name);
    }
}

fn call(draft: &mut Draft, fields: &mut Fields) {
    let service = fields.name("the name of a service");
    let method = method(fields);
    let path = path(fields);
    let repeat = fields.choice("repeat", Repeat::VARIANTS);
    let timeout = fields.time("timeout");
    let Some(service) = service else { return };
    let rule = || {
        let path = path?;
        let rule = Call {
            method: method?.text,
            path: path.text.clone(),
            repeat: repeat?.parse().ok()?,
            timeout: timeout?,
        };
        Some((rule, path))
    };
    draft.call(service, rule());
}

fn method(fields: &mut Fields) -> Option<Word> {
    let expected = format!("one of {}", METHODS.join(", "));
    let word = fields.plain(&expected)?;
    if !METHODS.contains(&word.text.as_str()) {
        fields.reject(&word, &expected);
        return None;
    }
    Some(word)
}

fn path(fields: &mut Fields) -> Option<Word> {
    const EXPECTED: &str = "a path that starts with '/', with '*' at most at its end";
    let word = fields.plain(EXPECTED)?;
    if !is_path(&word.text) {
        fields.reject(&word, EXPECTED);
        return None;
    }
    Some(word)
}

fn is_path(text: &str) -> bool {
    let rest = text.strip_suffix('*').unwrap_or(text);
    let allowed = |c: char| c.is_ascii_graphic() && !"*?#".contains(c);
    rest.starts_with('/') && rest.chars().all(allowed)
}

fn tenant(draft: &mut Draft, fields: &mut Fields) {
    let name = fields.name("the name of the tenant");
    let rate = fields.count("rate", 1..=MOST_REQUESTS);
    let concurrency = fields.count("concurrency", 1..=MOST_REQUESTS);
    let class = fields.choice("class", Class::VARIANTS);
    let Some(name) = name else { return };
    let rule = || {
        Some(Tenant {
            rate: rate?,
            concurrency: concurrency?,
            class: class?.parse().ok()?,
        })
    };
    draft.tenant(&name, rule());
}

fn weights(draft: &mut Draft, head: &Word, fields: &mut Fields) {
    let idle = fields.share("idle");
    let loads = fields.count("loads", 1..=MOST_LOADS);
    let adapters = fields.count("adapters", 1..=MOST_LOADS);
    let crashes = fields.count("crashes", 1..=MOST_CRASHES);
    let rule = || {
        Some(Weights {
            idle: idle?,
            loads: loads?,
            adapters: adapters?,
            crashes: crashes?,
        })
    };
    draft.weights(head, rule());
}
