//! Requests with one answer: calls to plain services.

use std::time::Duration;

use hyper::Response;
use tokio::time::timeout;

use super::headers::strip;
use super::send::{Checked, Sent};
use super::serve::{Job, Tries};
use super::servers::{Health, Picked};
use crate::http::{Body, full};
use crate::outbound::Answer;
use crate::verdict::{Cause, Refusal};

/// Largest answer that is held whole, in bytes.
const ANSWER_BYTES: usize = 8 << 20;
/// Objectives after which a repeatable call that is not answered is sent to another endpoint: a
/// call that takes twice the objective is rather lost than slow.
const PATIENCE: u32 = 2;

/// Answers a call.
pub async fn run(job: Job) -> Response<Body> {
    let mut tries = Tries::default();
    tokio::select! {
        answer = call(&job, &mut tries) => return answer,
        () = job.gateway.about_to_end() => {}
    }
    job.refuse(&job.stopped(&tries), &tries)
}

async fn call(job: &Job, tries: &mut Tries) -> Response<Body> {
    let mut spare: Option<(Answer, String)> = None;
    loop {
        let picked = match job.choose_endpoint(tries).await {
            Ok(picked) => picked,
            Err(refusal) => return finish(job, spare, &refusal, tries),
        };
        if !job.may_repeat(tries) {
            return finish(job, spare, &job.given_up(tries), tries);
        }
        let running = job.gateway.servers.enter(picked.key, None, None);
        let answer = attempt(job, &picked, tries).await;
        drop(running);
        let Some(answer) = answer else {
            if job.left().is_zero() {
                return finish(job, spare, &job.given_up(tries), tries);
            }
            continue;
        };
        let status = answer.head.status.as_u16();
        if !job.replaceable(status) {
            return pass(job, answer, tries, &picked.id);
        }
        // A failure of the endpoint's own counts as run; it is what the caller gets if no other
        // endpoint does better.
        tries.ran_at(&picked.id);
        spare = Some((answer, picked.id));
    }
}

async fn attempt(job: &Job, picked: &Picked, tries: &mut Tries) -> Option<Answer> {
    let left = job.left();
    let limit = if job.may_run_again(tries) {
        left.min(job.route.objective * PATIENCE)
    } else {
        left
    };
    let started = job.now();
    let checked = match job.send(picked, tries, None, limit).await {
        Sent::Answered(checked) => checked,
        Sent::Unrun | Sent::Failed => return None,
    };
    let Checked { reply, .. } = *checked;
    let rest = left.saturating_sub(job.now().saturating_sub(started));
    let read = reply.read(&job.gateway.outbound, ANSWER_BYTES);
    tries.sending = true;
    let read = timeout(rest, read).await;
    tries.sending = false;
    let answer = match read {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return spoilt(job, picked, tries, &error.to_string()),
        Err(late) => return spoilt(job, picked, tries, &late.to_string()),
    };
    let health = if answer.head.status.is_server_error() {
        Health::Bad
    } else {
        Health::Good
    };
    job.gateway.servers.learn(picked.key, health, job.now());
    Some(answer)
}

fn spoilt(job: &Job, picked: &Picked, tries: &mut Tries, error: &str) -> Option<Answer> {
    job.broke_off(picked, tries, true);
    log::info!(id = job.call.id.as_str(), endpoint = picked.id.as_str(), error = error;
        "answer broke off");
    None
}

/// The answer where no endpoint did better than a failure.
fn finish(
    job: &Job,
    spare: Option<(Answer, String)>,
    refusal: &Refusal,
    tries: &Tries,
) -> Response<Body> {
    match spare {
        Some((answer, endpoint)) => pass(job, answer, tries, &endpoint),
        None if job.left() == Duration::ZERO => {
            let late = Refusal::new(tries.verdict(), Cause::DeadlinePassed);
            job.refuse(&late, tries)
        }
        None => job.refuse(refusal, tries),
    }
}

fn pass(job: &Job, answer: Answer, tries: &Tries, endpoint: &str) -> Response<Body> {
    let Answer { mut head, body } = answer;
    strip(&mut head.headers);
    let took = job.now().saturating_sub(job.arrived);
    job.gateway.stats.first(&job.route.name, took);
    job.ended("answered", tries, head.status.as_u16(), endpoint);
    Response::from_parts(head, full(body))
}
