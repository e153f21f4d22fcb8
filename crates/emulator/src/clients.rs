//! Clients on sockets: they keep connections open, send one request at a time on each, and evaluate the responses.

use crate::emulation::{Emulation, sent_request};
use crate::http::{self, Body, ClientConnection};
use hyper::{Request as HttpRequest, Response};
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
    /// Idle connections to each scheduler. Each run has its own thread.
    static IDLE_CONNECTIONS: RefCell<Vec<Vec<ClientConnection>>> = const { RefCell::new(Vec::new()) };
}

/// Sends the requests of the scenario at their times, independently of the outcome of earlier ones.
pub(crate) async fn send_requests(emulation: Rc<Emulation>) {
    IDLE_CONNECTIONS
        .with_borrow_mut(|idle| *idle = (0..emulation.schedulers.len()).map(|_| Vec::new()).collect());
    let scenario = emulation.scenario();
    loop {
        let next = emulation.arrivals.borrow_mut().next(&scenario);
        let Some(request) = next else { return };
        emulation.sleep_until(request.sent_at).await;
        if emulation.stop.is_requested() {
            return;
        }
        emulation.open_requests.set(emulation.open_requests.get() + 1);
        let emulation = Rc::clone(&emulation);
        spawn_local(async move {
            run_request(&emulation, request).await;
            emulation.open_requests.set(emulation.open_requests.get() - 1);
        });
    }
}

/// Sends a request with all its tries and records the outcome.
async fn run_request(emulation: &Rc<Emulation>, request: Request) {
    let client_deadline = request.sent_at + request.client_timeout;
    let mut tries = 0;
    let request_outcome = loop {
        tries += 1;
        let id = request.number << 4 | u64::from(tries);
        let outcome = match send_try(emulation, &request, id, client_deadline).await {
            Some(outcome) => outcome,
            None => break RequestOutcome::ClientLeft,
        };
        let retry_delay = {
            let world = emulation.world.borrow();
            clients::retry_delay(
                &world.scenario,
                &mut emulation.retry_random.borrow_mut(),
                request.class,
                tries,
                outcome,
            )
        };
        match retry_delay
            .filter(|wait| emulation.now() + wait < client_deadline && !emulation.stop.is_requested())
        {
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
    let (now, world) = (emulation.now(), emulation.world.borrow());
    emulation.collector.borrow_mut().record(&world.scenario, &request, now, tries, request_outcome);
}

/// Sends one try of a request. Returns `None` if the client left before the deadline of its class.
async fn send_try(
    emulation: &Rc<Emulation>,
    request: &Request,
    id: u64,
    client_deadline: Nanos,
) -> Option<Outcome> {
    let now = emulation.now();
    let offered: Vec<usize> = (0..emulation.schedulers.len())
        .filter(|s| now < emulation.schedulers[*s].offered_until.get())
        .collect();
    let Some(&s) = offered.get(emulation.front_random.borrow_mut().index_below(offered.len())) else {
        return Some(Outcome::Unreachable);
    };
    let (leaves_early, wait_until) = {
        let world = emulation.world.borrow();
        let leaves_early = request.client_timeout < ms(world.scenario.classes[request.class].deadline_ms);
        let grace = if leaves_early { 0 } else { ms(world.scenario.terms.answer_grace_ms) };
        emulation.sent_requests.borrow_mut().insert(id, sent_request(&world.scenario, request));
        (
            leaves_early,
            client_deadline
                + grace
                + if leaves_early { 0 } else { emulation.options.slack.as_nanos() as Nanos },
        )
    };
    let timeout = Duration::from_nanos(wait_until.saturating_sub(emulation.now()));
    // Attempts of this try may still reach workers, so `sent_requests` keeps it until the run ends.
    match tokio::time::timeout(timeout, exchange(emulation, request, id, s)).await {
        Ok(outcome) => Some(outcome),
        Err(_) if leaves_early => {
            emulation.world.borrow_mut().invariant_checker.client_left(emulation.now(), id);
            None
        }
        // The invariant checker reports accepted requests that have no response in time.
        Err(_) => Some(Outcome::Failed),
    }
}

async fn exchange(emulation: &Rc<Emulation>, request: &Request, id: u64, s: usize) -> Outcome {
    let address = emulation.schedulers[s].listen;
    let class_deadline =
        request.sent_at + ms(emulation.world.borrow().scenario.classes[request.class].deadline_ms);
    let mut accepted = false;
    // The scheduler may close an idle connection while a request is on the way: retry once on a new connection.
    for use_new in [false, true] {
        let idle = if use_new { None } else { take_idle_connection(s) };
        let reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => match ClientConnection::open(address).await {
                Ok(connection) => connection,
                Err(_) => {
                    if accepted {
                        // The scheduler closed the first connection without reading the request.
                        emulation
                            .world
                            .borrow_mut()
                            .invariant_checker
                            .request_not_accepted(emulation.now(), id);
                    }
                    return Outcome::Unreachable;
                }
            },
        };
        let time_left = class_deadline.saturating_sub(emulation.now());
        let http_request = build_request(emulation, request, id, address, time_left);
        let sent_at = emulation.now();
        if !accepted {
            emulation.world.borrow_mut().invariant_checker.request_accepted(
                sent_at,
                id,
                s,
                request.class,
                class_deadline,
            );
            accepted = true;
        }
        match connection.send(http_request).await {
            Ok(response) => return read_response(emulation, request, id, s, connection, response).await,
            Err(_) if reused => continue,
            Err(_) => break,
        }
    }
    // There was no response. The invariant checker decides when the scheduler ends whether that is a violation.
    emulation.world.borrow_mut().invariant_checker.connection_broken(emulation.now(), id, s);
    Outcome::Unreachable
}

fn take_idle_connection(s: usize) -> Option<ClientConnection> {
    IDLE_CONNECTIONS.with_borrow_mut(|idle| {
        loop {
            let connection = idle.get_mut(s)?.pop()?;
            if connection.is_ready() {
                return Some(connection);
            }
        }
    })
}

fn build_request(
    emulation: &Emulation,
    request: &Request,
    id: u64,
    address: std::net::SocketAddr,
    time_left: Nanos,
) -> HttpRequest<Body> {
    let world = emulation.world.borrow();
    let class = &world.scenario.classes[request.class];
    let sent = sent_request(&world.scenario, request);
    let mut headers = vec![
        ("X-Correlation-Id", format!("{id:016x}")),
        ("X-Service-Class", class.name.clone()),
        ("X-Time-Left", format!("{:.3}", time_left as f64 / 1e9)),
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
    http::request("POST", &sent.path, address, &headers, &sent.body)
}

async fn read_response(
    emulation: &Rc<Emulation>,
    request: &Request,
    id: u64,
    s: usize,
    connection: ClientConnection,
    response: Response<hyper::body::Incoming>,
) -> Outcome {
    let status = response.status().as_u16();
    let retry_after_s =
        response.headers().get("Retry-After").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
    if request.read_delay > 0 {
        tokio::time::sleep(Duration::from_nanos(request.read_delay)).await;
    }
    let body = http::read_body(response.into_body()).await;
    let now = emulation.now();
    let Some(body) = body else {
        // The connection broke before the response was complete.
        return Outcome::Failed;
    };
    let (final_response, outcome) = match status {
        200 => (FinalResponse::Served(String::from_utf8_lossy(&body).into_owned()), Outcome::Served),
        429 | 503 => {
            (FinalResponse::Refused, Outcome::Refused((retry_after_s.unwrap_or(0.0) * 1e9) as Nanos))
        }
        _ => (FinalResponse::Failed, Outcome::Failed),
    };
    // The scheduler had written the response before the client's read delay.
    emulation.world.borrow_mut().invariant_checker.response_sent(
        now.saturating_sub(request.read_delay),
        id,
        final_response,
    );
    IDLE_CONNECTIONS.with_borrow_mut(|idle| idle[s].push(connection));
    outcome
}
