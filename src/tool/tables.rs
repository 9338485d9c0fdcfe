//! Tables for people.

use std::io::IsTerminal;
use std::time::Duration;

use bytesize::ByteSize;
use comfy_table::{ContentArrangement, Table, presets};

use crate::admin::{ModelStatus, RequestRecord, ServerStatus, Status};
use crate::rules::Version;

/// Instances with state, load and version.
pub(super) fn status(status: &Status) -> String {
    let rows = status.instances.iter().map(|i| {
        vec![
            i.name.clone(),
            i.region.clone(),
            i.domain.clone(),
            i.state.to_string(),
            i.version.to_string(),
            i.running.to_string(),
            i.waiting.to_string(),
            age(Some(i.age_ms)),
        ]
    });
    let head = [
        "instance", "region", "domain", "state", "rules", "running", "waiting", "seen",
    ];
    render(&head, rows.collect())
}

/// Servers with memory and replicas.
pub(super) fn servers(servers: &[ServerStatus]) -> String {
    let rows = servers.iter().map(|s| {
        let replicas = s
            .replicas
            .iter()
            .map(|r| format!("{} ({})", r.model, r.state));
        vec![
            s.name.clone(),
            s.service.clone(),
            s.domain.clone(),
            s.standing.to_string(),
            memory(s),
            age(s.age_ms),
            replicas.collect::<Vec<_>>().join(", "),
        ]
    });
    let head = [
        "server", "service", "domain", "state", "memory", "report", "replicas",
    ];
    render(&head, rows.collect())
}

fn memory(server: &ServerStatus) -> String {
    if server.memory == 0 {
        return String::new();
    }
    format!(
        "{} of {}",
        ByteSize(server.reserved),
        ByteSize(server.memory)
    )
}

/// Models and adapters with their replicas.
pub(super) fn models(models: &[ModelStatus]) -> String {
    let rows = models.iter().map(|m| {
        vec![
            m.name.clone(),
            m.engines.clone(),
            m.class.to_string(),
            ByteSize(m.size).to_string(),
            format!("{}/{}", m.ready, m.limit),
            m.decided.to_string(),
            m.waiting.to_string(),
        ]
    });
    let head = [
        "model", "engines", "class", "size", "ready", "decided", "waiting",
    ];
    render(&head, rows.collect())
}

/// What happened to one request.
pub(super) fn request(record: &RequestRecord) -> String {
    let text = |value: Option<String>| value.unwrap_or_else(|| "-".into());
    let facts = [
        ("request", record.id.clone()),
        ("instance", record.instance.clone()),
        ("tenant", record.tenant.clone()),
        ("class", text(record.class.map(|c| c.to_string()))),
        ("target", record.target.clone()),
        ("endpoint", text(record.endpoint.clone())),
        ("arrived", record.arrived.clone()),
        ("status", text(record.status.map(|s| s.to_string()))),
        ("verdict", text(record.verdict.map(|v| v.to_string()))),
        ("cause", text(record.cause.map(|c| c.to_string()))),
    ];
    let rows = facts.map(|(name, value)| vec![name.into(), value]).to_vec();
    let steps = record.steps.iter().map(|s| {
        let at = humantime::format_duration(Duration::from_millis(s.at_ms));
        vec![at.to_string(), s.state.clone(), s.detail.clone()]
    });
    let steps = render(&["after", "state", "what happened"], steps.collect());
    format!("{}{steps}", render(&["", ""], rows))
}

/// Versions, newest first.
pub(super) fn history(versions: &[Version]) -> String {
    let rows = versions.iter().map(|v| {
        vec![
            v.version.to_string(),
            v.at.clone(),
            v.author.clone(),
            v.note.clone(),
        ]
    });
    render(&["version", "applied", "author", "note"], rows.collect())
}

fn age(ms: Option<u64>) -> String {
    match ms {
        Some(ms) => format!(
            "{} ago",
            humantime::format_duration(Duration::from_millis(ms))
        ),
        None => "never".into(),
    }
}

/// Borders and wrapped lines are for terminals; a pipe gets one line a row.
fn render(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    if std::io::stdout().is_terminal() {
        table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
        table.set_content_arrangement(ContentArrangement::Dynamic);
    } else {
        table.load_preset(presets::NOTHING);
        table.set_content_arrangement(ContentArrangement::Disabled);
    }
    if head.iter().any(|h| !h.is_empty()) {
        table.set_header(head.to_vec());
    }
    table.add_rows(rows);
    let text = table.trim_fmt();
    let lines = text.lines().map(|l| l.strip_prefix(' ').unwrap_or(l));
    let lines: Vec<&str> = lines.collect();
    format!("{}\n", lines.join("\n"))
}
