//! Line-by-line parser of a rules file.

use strum::VariantNames;

use super::check::RulesBuilder;
use super::fields::Fields;
use super::lex::{LexedLine, Word, split_line};
use super::{
    Call, Engines, Fencing, Model, PriorityClass, Repeat, RuleError, Rules, Tenant, Weights,
};

/// Errors after which parsing stops.
const MAX_ERRORS: usize = 1000;
const MAX_WORDS_PER_LINE: usize = 32;
const MAX_ACCELERATORS: u32 = 64;
const MAX_REPLICAS: u32 = 10_000;
const MAX_TENANT_REQUESTS: u32 = 1_000_000;
const MAX_CONCURRENT_LOADS: u32 = 10_000;
const MAX_CRASHES: u32 = 100;
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
const EXPECTED_COMMENT: &str = "a comment that names who asked, such as # Maja: counter drafts";

/// Keyword that starts a rule.
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
    /// Parses and validates a rules file.
    ///
    /// # Errors
    ///
    /// All errors of the file, in line order; parsing stops after 1,000.
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
        let mut builder = RulesBuilder::default();
        for (line, text) in (1..).zip(text.lines()) {
            if builder.errors.len() >= MAX_ERRORS {
                builder.errors.push(too_many_errors(line));
                return Err(builder.errors);
            }
            read_line(&mut builder, split_line(text, line), line);
        }
        builder.finish()
    }
}

/// Creates the error that reports that parsing stopped early.
fn too_many_errors(line: usize) -> RuleError {
    RuleError {
        line,
        column: 1,
        found: format!("{MAX_ERRORS} errors before"),
        expected: "fewer; the rest of the file was not read".into(),
    }
}

fn read_line(builder: &mut RulesBuilder, lexed: LexedLine, line: usize) {
    if let Some(word) = &lexed.unclosed_quote {
        builder.errors.push(word.error("a closing quote"));
        return;
    }
    if let Some(word) = lexed.words.get(MAX_WORDS_PER_LINE) {
        let expected = format!("at most {MAX_WORDS_PER_LINE} words in a line");
        builder.errors.push(word.error(&expected));
        return;
    }
    let Some(head) = lexed.words.first().cloned() else {
        return;
    };
    check_comment(builder, &lexed, line);
    let Ok(keyword) = head.text.parse() else {
        let expected = format!("one of {}", Keyword::VARIANTS.join(", "));
        builder.errors.push(head.error(&expected));
        return;
    };
    let mut fields = Fields::new(lexed, line);
    read_rule(builder, keyword, &head, &mut fields);
    fields.finish();
    builder.errors.append(&mut fields.errors);
}

fn check_comment(builder: &mut RulesBuilder, lexed: &LexedLine, line: usize) {
    let Some(comment) = &lexed.comment else {
        let end = Word {
            text: String::new(),
            line,
            column: lexed.end,
        };
        builder.errors.push(end.error(EXPECTED_COMMENT));
        return;
    };
    let named = comment
        .text
        .split_once(':')
        .is_some_and(|(who, why)| !who.trim().is_empty() && !why.trim().is_empty());
    if !named {
        builder.errors.push(comment.error(EXPECTED_COMMENT));
    }
}

fn read_rule(builder: &mut RulesBuilder, keyword: Keyword, head: &Word, fields: &mut Fields) {
    match keyword {
        Keyword::Engines => engines(builder, fields),
        Keyword::Model => model(builder, fields),
        Keyword::Adapter => adapter(builder, fields),
        Keyword::Service => service(builder, fields),
        Keyword::Call => call(builder, fields),
        Keyword::Tenant => tenant(builder, fields),
        Keyword::Weigh => weights(builder, head, fields),
    }
}

fn engines(builder: &mut RulesBuilder, fields: &mut Fields) {
    let name = fields.name("the service name of the engines");
    let memory = fields.size("memory");
    let orders = fields.choice("orders", Fencing::VARIANTS);
    let accelerators = fields.count("accelerators", 1..=MAX_ACCELERATORS);
    let Some(name) = name else { return };
    let rule = || {
        Some(Engines {
            memory: memory?.0,
            orders: orders?.parse().ok()?,
            accelerators: accelerators?,
        })
    };
    builder.engines(&name, rule());
}

fn model(builder: &mut RulesBuilder, fields: &mut Fields) {
    let name = fields.name("the name of the model");
    let engines = fields.reference("engines", "the service name of engines");
    model_rule(builder, fields, name, engines, false);
}

fn adapter(builder: &mut RulesBuilder, fields: &mut Fields) {
    let name = fields.name("the name of the adapter");
    let base = fields.reference("base", "the name of a model");
    model_rule(builder, fields, name, base, true);
}

/// Reads the words that model and adapter rules share.
fn model_rule(
    builder: &mut RulesBuilder,
    fields: &mut Fields,
    name: Option<Word>,
    parent: Option<Word>,
    adapter: bool,
) {
    let size = fields.size("size");
    let class = fields.choice("class", PriorityClass::VARIANTS);
    let first_token = fields.duration("first-token");
    let replicas = fields.count("replicas", 1..=MAX_REPLICAS);
    let Some(name) = name else { return };
    let rule = || {
        let (bytes, size_word) = size?;
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
            first_token: first_token?,
            replicas: replicas?,
        };
        Some((model, parent, size_word))
    };
    builder.model(&name, rule());
}

fn service(builder: &mut RulesBuilder, fields: &mut Fields) {
    if let Some(name) = fields.name("the name of the service") {
        builder.service(&name);
    }
}

fn call(builder: &mut RulesBuilder, fields: &mut Fields) {
    let service = fields.name("the name of a service");
    let method = method(fields);
    let path = path(fields);
    let repeat = fields.choice("repeat", Repeat::VARIANTS);
    let timeout = fields.duration("timeout");
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
    builder.call(service, rule());
}

fn method(fields: &mut Fields) -> Option<Word> {
    let expected = format!("one of {}", METHODS.join(", "));
    let word = fields.positional(&expected)?;
    if !METHODS.contains(&word.text.as_str()) {
        fields.reject(&word, &expected);
        return None;
    }
    Some(word)
}

fn path(fields: &mut Fields) -> Option<Word> {
    const EXPECTED: &str = "a path that starts with '/', with '*' at most at its end";
    let word = fields.positional(EXPECTED)?;
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

fn tenant(builder: &mut RulesBuilder, fields: &mut Fields) {
    let name = fields.name("the name of the tenant");
    let rate = fields.count("rate", 1..=MAX_TENANT_REQUESTS);
    let concurrency = fields.count("concurrency", 1..=MAX_TENANT_REQUESTS);
    let class = fields.choice("class", PriorityClass::VARIANTS);
    let Some(name) = name else { return };
    let rule = || {
        Some(Tenant {
            rate: rate?,
            concurrency: concurrency?,
            class: class?.parse().ok()?,
        })
    };
    builder.tenant(&name, rule());
}

fn weights(builder: &mut RulesBuilder, head: &Word, fields: &mut Fields) {
    let idle = fields.fraction("idle");
    let loads = fields.count("loads", 1..=MAX_CONCURRENT_LOADS);
    let adapters = fields.count("adapters", 1..=MAX_CONCURRENT_LOADS);
    let crashes = fields.count("crashes", 1..=MAX_CRASHES);
    let rule = || {
        Some(Weights {
            idle: idle?,
            loads: loads?,
            adapters: adapters?,
            crashes: crashes?,
        })
    };
    builder.weights(head, rule());
}
