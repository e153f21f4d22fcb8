//! Conformance suite for schedulers as clients of the voters. The suite simulates the voters on the loopback interface
//! and checks a scheduler that connects to them, either the real program or a simulated scheduler.
//!
//! The renewal interval is one second, so that immediate requests can be distinguished from renewals on a busy machine.

use crate::Violation;
use loomlb_consensus::EffectiveRules;
use loomlb_consensus::document::DocumentBody;
use loomlb_consensus::link_protocol::{self, Channel, GREETING_BYTES, LinkMessage, Nonce, PROTOCOL_VERSION};
use loomlb_consensus::state::{Command, Document, ProposalOutcome, ReplicatedState};
use loomlb_consensus::worker_lists::ListSummary;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The key of the tier.
pub const KEY: &str = "a key for the contract";
/// The name that the scheduler must use.
pub const NAME: &str = "the-client";
/// The renewal interval that the scheduler must be configured with, in seconds.
pub const RENEW_S: f64 = 1.0;
/// The bound that the scheduler must be configured with, in seconds.
pub const BOUND_S: f64 = 6.0;
/// Number of voters.
pub const VOTERS: usize = 3;

/// Time to wait for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest time until an immediate request, well below the renewal interval.
const IMMEDIATE_LIMIT: Duration = Duration::from_millis(600);
/// Period in which lease requests are counted.
const PACE_PERIOD: Duration = Duration::from_millis(4_500);
/// Accepted number of lease requests to a voter in the period: four or five are expected.
const EXPECTED_REQUESTS: std::ops::RangeInclusive<usize> = 2..=9;

/// The texts of the clauses.
pub const CLAUSES: [&str; 11] = [
    GREETING,
    HELLO,
    REQUEST_NUMBERS,
    INITIAL_STATE,
    REPORTED_STATE,
    IMMEDIATE_REQUEST,
    ALL_VOTERS,
    PACE,
    RECONNECT,
    AUTHENTICATION,
    PROPOSALS,
];
const GREETING: &str = "a link begins with a greeting and messages sealed with the tier's key";
const HELLO: &str = "the first message states version, name and process, and no voter";
const REQUEST_NUMBERS: &str = "the numbers of lease requests increase";
const INITIAL_STATE: &str = "a scheduler without a state reports state 0 and applies no rules";
const REPORTED_STATE: &str =
    "after an update, the next lease request reports the state and the rules in effect";
const IMMEDIATE_REQUEST: &str = "a scheduler whose rules changed sends lease requests at once";
const ALL_VOTERS: &str = "all voters receive lease requests";
const PACE: &str = "lease requests are sent at the renewal interval";
const RECONNECT: &str = "a broken link is opened again with a new nonce";
const AUTHENTICATION: &str = "a message with an invalid authentication code is ignored and ends the link";
const PROPOSALS: &str = "a scheduler that has a document proposes none";

/// An event on a link to a voter.
#[derive(Clone, Debug)]
struct LinkEvent {
    at: Instant,
    link: u64,
    voter: usize,
    kind: EventKind,
}

#[derive(Clone, Debug)]
enum EventKind {
    Nonce(Nonce),
    Message(LinkMessage),
    /// An invalid message or greeting. The text is empty if the error is on the voter's side.
    ProtocolError(String),
    /// The scheduler closed the link.
    Closed,
}

/// State of the simulated voters.
#[derive(Debug, Default)]
struct VoterState {
    state: ReplicatedState,
    /// The voter whose next response gets an invalid authentication code.
    invalid_response_from: Option<usize>,
    /// The link on which the invalid response was sent, and the time.
    invalid_response_on: Option<(u64, Instant)>,
    /// The voter that closes its links.
    closing_voter: Option<usize>,
}

#[derive(Debug, Default)]
struct Shared {
    events: Mutex<Vec<LinkEvent>>,
    voter_state: Mutex<VoterState>,
    links: AtomicU64,
    stopped: AtomicBool,
}

impl Shared {
    fn events(&self) -> MutexGuard<'_, Vec<LinkEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
    fn voter_state(&self) -> MutexGuard<'_, VoterState> {
        self.voter_state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Simulated voters, which only respond to requests.
#[derive(Debug)]
struct Voters {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
}

impl Voters {
    fn open() -> io::Result<Voters> {
        let shared: Arc<Shared> = Arc::default();
        let mut addresses = Vec::new();
        for voter in 0..VOTERS {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            listener.set_nonblocking(true)?;
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || {
                while !shared.stopped.load(Ordering::Relaxed) {
                    let Ok((stream, _)) = listener.accept() else {
                        std::thread::sleep(Duration::from_millis(5));
                        continue;
                    };
                    let (shared, link) = (Arc::clone(&shared), shared.links.fetch_add(1, Ordering::Relaxed));
                    std::thread::spawn(move || {
                        let ended = serve_link(&shared, voter, link, stream);
                        record(
                            &shared,
                            voter,
                            link,
                            ended.err().map_or(EventKind::Closed, EventKind::ProtocolError),
                        );
                    });
                }
            });
        }
        Ok(Voters { shared, addresses })
    }

    fn events(&self) -> Vec<LinkEvent> {
        self.shared.events().clone()
    }

    /// Waits until the condition holds. Returns false after a timeout.
    fn wait_until(&self, condition: impl Fn(&[LinkEvent]) -> bool) -> bool {
        let end = Instant::now() + EVENT_TIMEOUT;
        while Instant::now() < end {
            if condition(&self.events()) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Voters {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

fn record(shared: &Shared, voter: usize, link: u64, kind: EventKind) {
    shared.events().push(LinkEvent { at: Instant::now(), link, voter, kind });
}

/// Serves one link. An error describes a protocol violation of the scheduler.
fn serve_link(shared: &Shared, voter: usize, link: u64, mut stream: TcpStream) -> Result<(), String> {
    // I/O errors on this side aren't violations of the scheduler.
    let own_error = |_: io::Error| String::new();
    stream.set_nonblocking(false).map_err(own_error)?;
    stream.set_nodelay(true).map_err(own_error)?;
    stream.set_read_timeout(Some(Duration::from_millis(20))).map_err(own_error)?;
    let mut received = Vec::new();
    let started_at = Instant::now();
    while received.len() < GREETING_BYTES {
        let mut byte = [0; 1];
        match stream.read(&mut byte) {
            Ok(1) => received.push(byte[0]),
            Ok(_) => return Err("link closed during the greeting".into()),
            Err(e) if is_timeout(&e) && started_at.elapsed() < EVENT_TIMEOUT => {}
            Err(e) => return Err(format!("no greeting: {e}")),
        }
    }
    let mut greeting = [0; GREETING_BYTES];
    greeting.copy_from_slice(&received);
    let client_nonce =
        link_protocol::parse_greeting(&greeting).map_err(|e| format!("invalid greeting: {e}"))?;
    record(shared, voter, link, EventKind::Nonce(client_nonce));
    let mut voter_nonce = Nonce::default();
    voter_nonce[..8].copy_from_slice(&link.to_le_bytes());
    voter_nonce[8] = voter as u8;
    stream.write_all(&link_protocol::greeting(&voter_nonce)).map_err(own_error)?;
    let (mut incoming, mut outgoing) = link_protocol::derive_channels(KEY, &client_nonce, &voter_nonce);
    let mut bytes = Vec::new();
    while !shared.stopped.load(Ordering::Relaxed) {
        if shared.voter_state().closing_voter == Some(voter) {
            return Ok(());
        }
        match incoming.open(&mut bytes) {
            Ok(Some(message)) => {
                record(shared, voter, link, EventKind::Message(message.clone()));
                respond(shared, voter, link, message, &mut outgoing, &mut stream).map_err(own_error)?;
                continue;
            }
            Ok(None) => {}
            Err(e) => return Err(format!("invalid message: {e}")),
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(length) => bytes.extend_from_slice(&chunk[..length]),
            Err(e) if is_timeout(&e) => {}
            Err(_) => return Ok(()),
        }
    }
    Ok(())
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn respond(
    shared: &Shared,
    voter: usize,
    link: u64,
    message: LinkMessage,
    outgoing: &mut Channel,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut voter_state = shared.voter_state();
    match message {
        LinkMessage::LeaseRequest { number, rules, index, .. } => {
            let newer_state = (voter_state.state.index > index).then(|| Box::new(voter_state.state.clone()));
            let send_invalid = voter_state.invalid_response_from == Some(voter);
            let newer_state =
                if send_invalid { Some(Box::new(false_state(&voter_state.state))) } else { newer_state };
            let reply = LinkMessage::LeaseResponse {
                number,
                granted: rules.is_some(),
                newer_state,
                lists: ListSummary::default(),
            };
            let mut bytes = outgoing.seal(&reply);
            if send_invalid {
                bytes[6] ^= 1;
                voter_state.invalid_response_from = None;
                voter_state.invalid_response_on = Some((link, Instant::now()));
            }
            stream.write_all(&bytes)
        }
        LinkMessage::Propose(Command::Propose { token, .. }) => {
            // Each proposal is rejected once, as based on an old version.
            if voter_state.state.outcome(token).is_none() {
                let outcome = ProposalOutcome::StaleBase(voter_state.state.newest_version());
                voter_state.state.outcomes.push_back((token, outcome));
            }
            Ok(())
        }
        _ => Ok(()),
    }
}

/// The state in the invalid response, which the scheduler must ignore.
fn false_state(state: &ReplicatedState) -> ReplicatedState {
    let mut false_state = state.clone();
    false_state.index += 1000;
    if let Some(active) = &mut false_state.active {
        active.version += 1000;
    }
    false_state
}

type LeaseRequestEvent = (Instant, u64, usize, u64, Option<EffectiveRules>, u64);

/// Returns the lease requests: time, link, voter, number, rules in effect, and index of the state.
fn lease_requests(events: &[LinkEvent]) -> Vec<LeaseRequestEvent> {
    let requests = events.iter().filter_map(|event| match &event.kind {
        EventKind::Message(LinkMessage::LeaseRequest { number, rules, index, .. }) => {
            Some((event.at, event.link, event.voter, *number, *rules, *index))
        }
        _ => None,
    });
    requests.collect()
}

/// Starts a scheduler with the voters' addresses, [`NAME`], [`KEY`], [`RENEW_S`] and [`BOUND_S`]. It runs until the
/// returned value is dropped.
pub type Start<'a> = &'a dyn Fn(&[SocketAddr]) -> Box<dyn std::any::Any>;

/// Checks a scheduler that applies these settings, and returns the clauses that it violates.
pub fn violations(start: Start<'_>, settings: &serde_json::Value) -> Vec<Violation> {
    let mut violations: Vec<Violation> = Vec::new();
    let mut report = |clause: &'static str, details: String| {
        if !violations.iter().any(|violation| violation.clause == clause) {
            violations.push(Violation { clause, details });
        }
    };
    let voters = match Voters::open() {
        Ok(voters) => voters,
        Err(e) => {
            return vec![Violation {
                clause: GREETING,
                details: format!("the simulated voters cannot listen: {e}"),
            }];
        }
    };
    let client = start(&voters.addresses);
    let all_voters_received_requests = |events: &[LinkEvent], after: Instant| {
        (0..VOTERS)
            .all(|voter| lease_requests(events).iter().any(|request| request.2 == voter && request.0 > after))
    };
    let started_at = Instant::now();
    if !voters.wait_until(|events| all_voters_received_requests(events, started_at)) {
        report(
            ALL_VOTERS,
            format!("{} lease requests in {EVENT_TIMEOUT:?}", lease_requests(&voters.events()).len()),
        );
    }
    check_initial_requests(&voters.events(), &mut report);

    // A first document, a second one that is pending, and the second one active.
    let document_body = |give_up: u64| {
        let mut settings = settings.clone();
        settings["classes"][0]["give_up"] = give_up.into();
        DocumentBody::new(&settings, BTreeSet::new())
    };
    let document = |version, give_up| {
        Some(Document { version, proposer: "another".into(), body: document_body(give_up) })
    };
    let (first, second) = (document(1, 3_000_000_000), document(2, 2_000_000_000));
    let steps = [
        (10, first.clone(), None, EffectiveRules::On(1)),
        (11, first, second.clone(), EffectiveRules::Between(1)),
        (12, second, None, EffectiveRules::On(2)),
    ];
    let mut published_at = Instant::now();
    for (index, active, pending, expected_rules) in steps {
        published_at = Instant::now();
        {
            let mut voter_state = voters.shared.voter_state();
            (voter_state.state.index, voter_state.state.active, voter_state.state.pending) =
                (index, active, pending);
        }
        let has_state = |request: &LeaseRequestEvent| request.0 > published_at && request.5 >= index;
        if !voters.wait_until(|events| {
            (0..VOTERS).all(|voter| {
                lease_requests(events).iter().any(|request| request.2 == voter && has_state(request))
            })
        }) {
            report(REPORTED_STATE, format!("not all voters received a lease request with state {index}"));
        }
        let events = voters.events();
        if let Some(request) = lease_requests(&events)
            .iter()
            .find(|request| has_state(request) && request.4 != Some(expected_rules))
        {
            report(
                REPORTED_STATE,
                format!("rules in effect with state {index}: {:?}, expected {expected_rules:?}", request.4),
            );
        }
        check_immediate_request(&events, published_at, index, &mut report);
    }
    let window_start = Instant::now();
    std::thread::sleep(PACE_PERIOD);
    let events = voters.events();
    for voter in 0..VOTERS {
        let count = lease_requests(&events)
            .iter()
            .filter(|request| {
                request.2 == voter && request.0 > window_start && request.0 <= window_start + PACE_PERIOD
            })
            .count();
        if !EXPECTED_REQUESTS.contains(&count) {
            report(PACE, format!("voter {voter} received {count} lease requests in {PACE_PERIOD:?}"));
        }
    }

    // Closes the links of one voter, and sends an invalid response from another one.
    let closed_at = Instant::now();
    voters.shared.voter_state().closing_voter = Some(0);
    std::thread::sleep(Duration::from_millis(100));
    voters.shared.voter_state().closing_voter = None;
    if !voters.wait_until(|events| {
        lease_requests(events)
            .iter()
            .any(|request| request.2 == 0 && request.0 > closed_at + Duration::from_millis(100))
    }) {
        report(RECONNECT, "no lease request on a new link".into());
    }
    voters.shared.voter_state().invalid_response_from = Some(1);
    let invalid_response = |voters: &Voters| voters.shared.voter_state().invalid_response_on;
    voters.wait_until(|_| invalid_response(&voters).is_some());
    match invalid_response(&voters) {
        None => report(AUTHENTICATION, "voter 1 received no further lease request".into()),
        Some((link, at)) => {
            let closed = |event: &LinkEvent| {
                event.link == link && matches!(event.kind, EventKind::Closed | EventKind::ProtocolError(_))
            };
            if !voters.wait_until(|events| events.iter().any(|event| closed(event) && event.at > at)) {
                report(AUTHENTICATION, "the link stays open".into());
            }
            if !voters.wait_until(|events| {
                lease_requests(events)
                    .iter()
                    .any(|request| request.2 == 1 && request.1 != link && request.0 > at)
            }) {
                report(AUTHENTICATION, "no new link was opened".into());
            }
            if let Some(request) = lease_requests(&voters.events()).iter().find(|request| request.5 >= 1000) {
                report(AUTHENTICATION, format!("rules {:?} of the invalid message are in effect", request.4));
            }
        }
    }
    drop(client);
    let events = voters.events();
    check_all_events(&events, &mut report);
    // Proposals sent just before the document arrived are allowed.
    let late_proposal = events.iter().find(|event| {
        event.at > published_at + Duration::from_secs(2)
            && matches!(event.kind, EventKind::Message(LinkMessage::Propose(_)))
    });
    if let Some(late_proposal) = late_proposal {
        report(
            PROPOSALS,
            format!("voter {} received a proposal while there is a document", late_proposal.voter),
        );
    }
    violations
}

/// Checks the lease requests before there is a document.
fn check_initial_requests(events: &[LinkEvent], report: &mut dyn FnMut(&'static str, String)) {
    for request in lease_requests(events).iter().filter(|request| request.4.is_some() || request.5 != 0) {
        report(
            INITIAL_STATE,
            format!("lease request {} reports state {} and rules {:?}", request.3, request.5, request.4),
        );
    }
}

/// Checks that a scheduler whose rules changed sends the next lease request long before the next renewal.
fn check_immediate_request(
    events: &[LinkEvent],
    published_at: Instant,
    index: u64,
    report: &mut dyn FnMut(&'static str, String),
) {
    let requests = lease_requests(events);
    // The response to the first lease request after the change contains the update.
    let Some(update_requested_at) = requests
        .iter()
        .find(|request| request.0 > published_at && request.5 < index)
        .map(|request| request.0)
    else {
        return;
    };
    let next = requests
        .iter()
        .find(|request| request.0 > update_requested_at && request.5 >= index)
        .map(|request| request.0 - update_requested_at);
    match next {
        Some(time) if time <= IMMEDIATE_LIMIT => {}
        Some(time) => report(IMMEDIATE_REQUEST, format!("state {index}: request after {time:?}")),
        None => report(IMMEDIATE_REQUEST, format!("state {index}: no request")),
    }
}

/// Checks all events for clauses that always apply.
fn check_all_events(events: &[LinkEvent], report: &mut dyn FnMut(&'static str, String)) {
    let mut nonces: BTreeMap<Nonce, u64> = BTreeMap::new();
    let mut links_with_messages: BTreeSet<u64> = BTreeSet::new();
    let mut numbers: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    let mut processes_by_link: BTreeMap<u64, u64> = BTreeMap::new();
    for event in events {
        match &event.kind {
            EventKind::Nonce(nonce) => {
                if let Some(link) = nonces.insert(*nonce, event.link) {
                    report(RECONNECT, format!("links {link} and {} use the same nonce", event.link));
                }
            }
            EventKind::ProtocolError(why) if !why.is_empty() => report(GREETING, why.clone()),
            EventKind::ProtocolError(_) | EventKind::Closed => {}
            EventKind::Message(message) => {
                if links_with_messages.insert(event.link) {
                    match message {
                        LinkMessage::Hello {
                            format: PROTOCOL_VERSION,
                            name,
                            process: number,
                            voter: None,
                        } if name == NAME => {
                            processes_by_link.insert(event.link, *number);
                        }
                        other => report(HELLO, format!("{other:?}")),
                    }
                }
                if let LinkMessage::LeaseRequest { number, .. } = message {
                    let sender = (event.voter, processes_by_link.get(&event.link).copied().unwrap_or(0));
                    let last = numbers.insert(sender, *number);
                    if last.is_some_and(|last| last >= *number) {
                        report(
                            REQUEST_NUMBERS,
                            format!("voter {} received number {last:?} and then {number}", event.voter),
                        );
                    }
                }
            }
        }
    }
    let mut process_numbers: Vec<u64> = processes_by_link.values().copied().collect();
    process_numbers.dedup();
    if process_numbers.len() > 1 {
        report(HELLO, format!("{} process numbers, expected one", process_numbers.len()));
    }
}
