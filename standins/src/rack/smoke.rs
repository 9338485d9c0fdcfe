//! A short check of a running rack, one call of each kind.

use super::{ORDER_SERVICE, Rack, RackError, SEAT_SERVICE};
use crate::answer::Prompt;
use crate::client::{Ask, Reply};
use crate::service::look_up;

/// Header that names the tenant of a request.
pub const TENANT: &str = "brassrack-tenant";
/// Characters of an answer that are printed.
const SHOWN: usize = 100;

/// Why the check failed.
#[derive(Debug, thiserror::Error)]
pub enum SmokeError {
    /// The rack could not be used.
    #[error(transparent)]
    Rack(#[from] RackError),
    /// An answer is not the expected one.
    #[error("{step}: got {found}; expected {expected}")]
    Wrong {
        /// Step of the check.
        step: String,
        /// What came back.
        found: String,
        /// What should have.
        expected: String,
    },
}

/// The path of a plain service's call, as callers send it.
#[must_use]
pub fn service_path(service: &str, path: &str) -> String {
    format!("/services/{service}{path}")
}

/// A request for an answer.
#[must_use]
pub fn chat(prompt: &Prompt, tenant: &str) -> Ask {
    Ask::post("/v1/chat/completions", prompt.request()).header(TENANT, tenant)
}

/// A call that may not be repeated.
#[must_use]
pub fn paid(service: &str, path: &str, key: &str, tenant: &str) -> Ask {
    Ask::post(service_path(service, path), r#"{"cards":40}"#)
        .header("idempotency-key", key)
        .header(TENANT, tenant)
}

/// A look-up.
#[must_use]
pub fn look(service: &str, path: &str, tenant: &str) -> Ask {
    Ask::get(service_path(service, path)).header(TENANT, tenant)
}

/// Sends one call of each kind, prints what came back and checks every byte.
///
/// # Errors
///
/// [`SmokeError`] for the first call that went wrong.
pub async fn smoke(rack: &Rack) -> Result<(), SmokeError> {
    let prompts = [
        ("counter draft", "counter-draft", "papirnica", false),
        ("streamed draft", "counter-draft", "papirnica", true),
        ("fix request", "fix-help", "delta", false),
    ];
    for (turn, (step, model, tenant, stream)) in prompts.into_iter().enumerate() {
        let prompt = Prompt {
            model: model.into(),
            text: format!("a {step}, please"),
            tokens: 12,
            stream,
        };
        let reply = send(rack, turn, step, &chat(&prompt, tenant)).await?;
        expect(step, &reply.text(), &prompt.bytes())?;
    }
    print_order(rack).await?;
    status_check(rack).await
}

async fn print_order(rack: &Rack) -> Result<(), SmokeError> {
    let ask = paid(ORDER_SERVICE, "/orders", "smoke-1", "papirnica");
    let first = send(rack, 0, "print order", &ask).await?;
    let second = send(rack, 1, "print order again", &ask).await?;
    expect("print order", first.status.as_str(), "201")?;
    expect("print order again", &second.text(), &first.text())?;
    let runs = rack.runs("/orders", "smoke-1").await?;
    println!("print order: the service's ledger has it {runs} time(s)");
    expect("print order in the ledger", &runs.to_string(), "1")
}

async fn status_check(rack: &Rack) -> Result<(), SmokeError> {
    let ask = look(SEAT_SERVICE, "/status/seat-7", "delta");
    let expected = look_up("/status/seat-7", "status").to_string();
    for turn in 0..3 {
        let reply = send(rack, turn, "status check", &ask).await?;
        expect("status check", &reply.text(), &expected)?;
    }
    Ok(())
}

async fn send(rack: &Rack, turn: usize, step: &str, ask: &Ask) -> Result<Reply, SmokeError> {
    let reply = rack.call(turn, ask).await.map_err(RackError::from)?;
    let text: String = reply.text().chars().take(SHOWN).collect();
    println!("{step}: {} {}", reply.status, text.replace('\n', " "));
    Ok(reply)
}

fn expect(step: &str, found: &str, expected: &str) -> Result<(), SmokeError> {
    if found == expected {
        return Ok(());
    }
    Err(SmokeError::Wrong {
        step: step.to_owned(),
        found: found.to_owned(),
        expected: expected.to_owned(),
    })
}
