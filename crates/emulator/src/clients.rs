//! Clients on sockets: they keep connections, send one request at a time on each, and judge the answers.

use crate::stage::{Stage, sent};
use crate::wire::{self, Body, Line};
use hyper::{Request as Http, Response};
use loomlb_policy::Nanos;
use loomlb_simulation::clients::{self, Outcome, Request};
use loomlb_simulation::figures::RequestOutcome;
use loomlb_simulation::invariants::FinalResponse;
use loomlb_simulation::world::ms;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

thread_local! {
    /// Idle connections to each scheduler. A run has a thread of its own.
    static IDLE: RefCell<Vec<Vec<Line>>> = const { RefCell::new(Vec::new()) };
}

/// Sends the day's requests when they are due, whatever became of earlier ones.
pub(crate) async fn feed(stage: Rc<Stage>) {
    IDLE.with_borrow_mut(|idle| *idle = (0..stage.schedulers.len()).map(|_| Vec::new()).collect());
    let day = stage.day();
    loop {
        let next = stage.arrivals.borrow_mut().next(&day);
        let Some(request) = next else { return };
        stage.until(request.at).await;
        if stage.stop.is_requested() {
            return;
        }
        stage.open.set(stage.open.get() + 1);
        let stage = Rc::clone(&stage);
        spawn_local(async move {
            one(&stage, request).await;
            stage.open.set(stage.open.get() - 1);
        });
    }
}

/// One request with all its tries.
async fn one(stage: &Rc<Stage>, request: Request) {
    let leaves = request.at + request.client_timeout;
    let mut tries = 0;
    let end = loop {
        tries += 1;
        let id = request.number << 4 | u64::from(tries);
        let outcome = match attempt(stage, &request, id, leaves).await {
            Some(outcome) => outcome,
            None => break RequestOutcome::ClientLeft,
        };
        let again = {
            let world = stage.world.borrow();
            clients::retry_delay(
                &world.scenario,
                &mut stage.habits.borrow_mut(),
                request.class,
                tries,
                outcome,
            )
        };
        match again.filter(|wait| stage.now() + wait < leaves && !stage.stop.is_requested()) {
            Some(wait) => tokio::time::sleep(Duration::from_nanos(wait)).await,
            None => {
                break match outcome {
                    Outcome::Served => RequestOutcome::Served,
                    Outcome::Refused(_) => RequestOutcome::Refused,
                    Outcome::Failed => RequestOutcome::Failed,
                    Outcome::Unreachable => RequestOutcome::Unreachable,
                };
            }
        }
    };
    let (now, world) = (stage.now(), stage.world.borrow());
    stage.collector.borrow_mut().record(&world.scenario, &request, now, tries, end);
}

/// One try; none if its client left early.
async fn attempt(stage: &Rc<Stage>, request: &Request, id: u64, leaves: Nanos) -> Option<Outcome> {
    let now = stage.now();
    let seen: Vec<usize> =
        (0..stage.schedulers.len()).filter(|s| now < stage.schedulers[*s].seen_until.get()).collect();
    let Some(&s) = seen.get(stage.front.borrow_mut().index_below(seen.len())) else {
        return Some(Outcome::Unreachable);
    };
    let (early, last) = {
        let world = stage.world.borrow();
        let early = request.client_timeout < ms(world.scenario.classes[request.class].deadline_ms);
        let grace = if early { 0 } else { ms(world.scenario.terms.answer_grace_ms) };
        stage.tries.borrow_mut().insert(id, sent(&world.scenario, request));
        (early, leaves + grace + if early { 0 } else { stage.options.slack.as_nanos() as Nanos })
    };
    let wait = Duration::from_nanos(last.saturating_sub(stage.now()));
    // Its attempts may still reach workers for a while, so the id stays known until the run ends.
    match tokio::time::timeout(wait, exchange(stage, request, id, s)).await {
        Ok(outcome) => Some(outcome),
        Err(_) if early => {
            stage.world.borrow_mut().invariant_checker.client_left(stage.now(), id);
            None
        }
        // Its time is over: what was taken and is not answered by now is found by the referee.
        Err(_) => Some(Outcome::Failed),
    }
}

async fn exchange(stage: &Rc<Stage>, request: &Request, id: u64, s: usize) -> Outcome {
    let at = stage.schedulers[s].listen;
    let class_end = request.at + ms(stage.world.borrow().scenario.classes[request.class].deadline_ms);
    let mut taken = false;
    // A kept connection may have been closed in this very moment: then the request goes out once more on a new one.
    for fresh in [false, true] {
        let kept = if fresh { None } else { take(s) };
        let reused = kept.is_some();
        let mut line = match kept {
            Some(line) => line,
            None => match Line::open(at).await {
                Ok(line) => line,
                Err(_) => {
                    if taken {
                        // The first connection was closed while the request crossed: it was never read.
                        stage.world.borrow_mut().invariant_checker.request_not_accepted(stage.now(), id);
                    }
                    return Outcome::Unreachable;
                }
            },
        };
        let left = class_end.saturating_sub(stage.now());
        let message = message(stage, request, id, at, left);
        let before = stage.now();
        if !taken {
            stage.world.borrow_mut().invariant_checker.request_accepted(
                before,
                id,
                s,
                request.class,
                class_end,
            );
            taken = true;
        }
        match line.ask(message).await {
            Ok(response) => return read(stage, request, id, s, line, response).await,
            Err(_) if reused => continue,
            Err(_) => break,
        }
    }
    // Nobody is there to answer, or it hung up; whether it may do so is for the referee, once it has ended.
    stage.world.borrow_mut().invariant_checker.connection_broken(stage.now(), id, s);
    Outcome::Unreachable
}

fn take(s: usize) -> Option<Line> {
    IDLE.with_borrow_mut(|idle| {
        loop {
            let line = idle.get_mut(s)?.pop()?;
            if line.fresh() {
                return Some(line);
            }
        }
    })
}

fn message(stage: &Stage, request: &Request, id: u64, at: std::net::SocketAddr, left: Nanos) -> Http<Body> {
    let world = stage.world.borrow();
    let class = &world.scenario.classes[request.class];
    let sent = sent(&world.scenario, request);
    let mut headers = vec![
        ("X-Correlation-Id", format!("{id:016x}")),
        ("X-Service-Class", class.name.clone()),
        ("X-Time-Left", format!("{:.3}", left as f64 / 1e9)),
        ("X-Facts", format!("slots={}", request.slots)),
    ];
    if let Some(hint) = request.hint {
        headers.push(("X-Weight-Hint", (hint / 1000).to_string()));
    }
    if let Some(tenant) = request.tenant {
        headers.push(("X-Account", world.scenario.tenants[tenant].name.clone()));
    }
    if let Some(key) = sent.key {
        headers.push(("Idempotency-Key", key));
    }
    wire::request("POST", &sent.path, at, &headers, &sent.body)
}

async fn read(
    stage: &Rc<Stage>,
    request: &Request,
    id: u64,
    s: usize,
    line: Line,
    response: Response<hyper::body::Incoming>,
) -> Outcome {
    let status = response.status().as_u16();
    let after = response.headers().get("Retry-After").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
    if request.read_delay > 0 {
        tokio::time::sleep(Duration::from_nanos(request.read_delay)).await;
    }
    let body = wire::whole(response.into_body()).await;
    let now = stage.now();
    let Some(body) = body else {
        // It broke off half-way: not a whole answer.
        return Outcome::Failed;
    };
    let (answered, outcome) = match status {
        200 => (FinalResponse::Served(String::from_utf8_lossy(&body).into_owned()), Outcome::Served),
        429 | 503 => (FinalResponse::Refused, Outcome::Refused((after.unwrap_or(0.0) * 1e9) as Nanos)),
        _ => (FinalResponse::Failed, Outcome::Failed),
    };
    // A slow reader's last byte came when the scheduler wrote it; only the reading took long.
    stage.world.borrow_mut().invariant_checker.response_sent(
        now.saturating_sub(request.read_delay),
        id,
        answered,
    );
    IDLE.with_borrow_mut(|idle| idle[s].push(line));
    outcome
}
