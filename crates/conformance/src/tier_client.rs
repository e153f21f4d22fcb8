//! What every scheduler must do on its links to the voters, stated once. The suite plays the voters on loopback; whoever
//! is started against it, a process of the program or a hollow scheduler, must keep each clause.
//!
//! Renewals are a second apart here, so that what comes at once and what comes in its turn can be told apart on a busy
//! machine.

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
/// The name under which the scheduler must come.
pub const NAME: &str = "the-client";
/// Time between two renewals that the scheduler is to be configured with, in seconds.
pub const RENEW_S: f64 = 1.0;
/// The bound that goes with it, in seconds.
pub const BOUND_S: f64 = 6.0;
/// Voters.
pub const VOTERS: usize = 3;

/// What must happen does so within this; only a failure waits for it.
const LONG: Duration = Duration::from_secs(6);
/// What comes at once is there within this, which is well before the next renewal.
const ONCE: Duration = Duration::from_millis(600);
/// Over so long questions are counted,
const WINDOW: Duration = Duration::from_millis(4_500);
/// of which so many are due: four or five, with wide bounds.
const DUE: std::ops::RangeInclusive<usize> = 2..=9;

/// The clauses, by their words.
pub const CLAUSES: [&str; 11] =
    [GREETING, HELLO, NUMBERS, FIRST_ASK, STATE, AT_ONCE, ALL, PACE, ANEW, CODE, PROPOSALS];
const GREETING: &str = "a link begins with a greeting, and with words under the tier's key";
const HELLO: &str = "the first word says format, name and process, and no vote";
const NUMBERS: &str = "the numbers of questions rise";
const FIRST_ASK: &str = "who knows nothing says state 0 and acts on nothing";
const STATE: &str = "after news the next question says that state and what is acted on";
const AT_ONCE: &str = "who acts on something else asks at once";
const ALL: &str = "all voters are asked";
const PACE: &str = "questions come at the pace of the renewals";
const ANEW: &str = "a link that broke is opened anew, with a number never used before";
const CODE: &str = "a false code ends the link, and its word counts for nothing";
const PROPOSALS: &str = "nothing is proposed but by who has no document";

/// What a voter heard.
#[derive(Clone, Debug)]
struct Heard {
    at: Instant,
    link: u64,
    voter: usize,
    what: What,
}

#[derive(Clone, Debug)]
enum What {
    Nonce(Nonce),
    Word(LinkMessage),
    /// What cannot be read, or is no greeting.
    Faulty(String),
    /// The other end has closed.
    Closed,
}

/// What the voters tell.
#[derive(Debug, Default)]
struct Tell {
    state: ReplicatedState,
    /// The next answer of this voter has a false code; its link, once it was sent.
    falsely: Option<usize>,
    /// The link that was told a false word, and when.
    lied: Option<(u64, Instant)>,
    /// Links of this voter end.
    ends: Option<usize>,
}

#[derive(Debug, Default)]
struct Shared {
    heard: Mutex<Vec<Heard>>,
    tell: Mutex<Tell>,
    links: AtomicU64,
    over: AtomicBool,
}

impl Shared {
    fn heard(&self) -> MutexGuard<'_, Vec<Heard>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
    fn tell(&self) -> MutexGuard<'_, Tell> {
        self.tell.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Voters that only listen and answer.
#[derive(Debug)]
struct Voters {
    shared: Arc<Shared>,
    at: Vec<SocketAddr>,
}

impl Voters {
    fn open() -> io::Result<Voters> {
        let shared: Arc<Shared> = Arc::default();
        let mut at = Vec::new();
        for voter in 0..VOTERS {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            at.push(listener.local_addr()?);
            listener.set_nonblocking(true)?;
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || {
                while !shared.over.load(Ordering::Relaxed) {
                    let Ok((stream, _)) = listener.accept() else {
                        std::thread::sleep(Duration::from_millis(5));
                        continue;
                    };
                    let (shared, link) = (Arc::clone(&shared), shared.links.fetch_add(1, Ordering::Relaxed));
                    std::thread::spawn(move || {
                        let ended = serve(&shared, voter, link, stream);
                        hear(&shared, voter, link, ended.err().map_or(What::Closed, What::Faulty));
                    });
                }
            });
        }
        Ok(Voters { shared, at })
    }

    fn heard(&self) -> Vec<Heard> {
        self.shared.heard().clone()
    }

    /// Waits for something; false if it does not come.
    fn until(&self, so: impl Fn(&[Heard]) -> bool) -> bool {
        let end = Instant::now() + LONG;
        while Instant::now() < end {
            if so(&self.heard()) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Voters {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
    }
}

fn hear(shared: &Shared, voter: usize, link: u64, what: What) {
    shared.heard().push(Heard { at: Instant::now(), link, voter, what });
}

/// One link. An error is what the other end did wrong.
fn serve(shared: &Shared, voter: usize, link: u64, mut stream: TcpStream) -> Result<(), String> {
    // Words of this side, which are no fault of the other.
    let broke = |_: io::Error| String::new();
    stream.set_nonblocking(false).map_err(broke)?;
    stream.set_nodelay(true).map_err(broke)?;
    stream.set_read_timeout(Some(Duration::from_millis(20))).map_err(broke)?;
    let mut first = Vec::new();
    let begun = Instant::now();
    while first.len() < GREETING_BYTES {
        let mut byte = [0; 1];
        match stream.read(&mut byte) {
            Ok(1) => first.push(byte[0]),
            Ok(_) => return Err("it closed within its greeting".into()),
            Err(e) if waits(&e) && begun.elapsed() < LONG => {}
            Err(e) => return Err(format!("no greeting: {e}")),
        }
    }
    let mut whole = [0; GREETING_BYTES];
    whole.copy_from_slice(&first);
    let theirs = link_protocol::parse_greeting(&whole).map_err(|e| format!("its greeting: {e}"))?;
    hear(shared, voter, link, What::Nonce(theirs));
    let mut mine = Nonce::default();
    mine[..8].copy_from_slice(&link.to_le_bytes());
    mine[8] = voter as u8;
    stream.write_all(&link_protocol::greeting(&mine)).map_err(broke)?;
    let (mut from, mut to) = link_protocol::derive_channels(KEY, &theirs, &mine);
    let mut bytes = Vec::new();
    while !shared.over.load(Ordering::Relaxed) {
        if shared.tell().ends == Some(voter) {
            return Ok(());
        }
        match from.open(&mut bytes) {
            Ok(Some(word)) => {
                hear(shared, voter, link, What::Word(word.clone()));
                answer(shared, voter, link, word, &mut to, &mut stream).map_err(broke)?;
                continue;
            }
            Ok(None) => {}
            Err(e) => return Err(format!("a word: {e}")),
        }
        let mut some = [0; 4096];
        match stream.read(&mut some) {
            Ok(0) => return Ok(()),
            Ok(length) => bytes.extend_from_slice(&some[..length]),
            Err(e) if waits(&e) => {}
            Err(_) => return Ok(()),
        }
    }
    Ok(())
}

fn waits(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn answer(
    shared: &Shared,
    voter: usize,
    link: u64,
    word: LinkMessage,
    to: &mut Channel,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut tell = shared.tell();
    match word {
        LinkMessage::LeaseRequest { number, rules: acting, index, .. } => {
            let news = (tell.state.index > index).then(|| Box::new(tell.state.clone()));
            let falsely = tell.falsely == Some(voter);
            let news = if falsely { Some(Box::new(lie(&tell.state))) } else { news };
            let reply = LinkMessage::LeaseResponse {
                number,
                granted: acting.is_some(),
                newer_state: news,
                lists: ListSummary::default(),
            };
            let mut bytes = to.seal(&reply);
            if falsely {
                bytes[6] ^= 1;
                tell.falsely = None;
                tell.lied = Some((link, Instant::now()));
            }
            stream.write_all(&bytes)
        }
        LinkMessage::Propose(Command::Propose { token, .. }) => {
            // Its outcome is known once there is a document.
            if tell.state.outcome(token).is_none() {
                let outcome = ProposalOutcome::StaleBase(tell.state.newest_version());
                tell.state.outcomes.push_back((token, outcome));
            }
            Ok(())
        }
        _ => Ok(()),
    }
}

/// The state that a false word tells: nobody must ever act on it.
fn lie(state: &ReplicatedState) -> ReplicatedState {
    let mut lie = state.clone();
    lie.index += 1000;
    if let Some(active) = &mut lie.active {
        active.version += 1000;
    }
    lie
}

type Question = (Instant, u64, usize, u64, Option<EffectiveRules>, u64);

/// Questions: when, on which link, to which voter, their number, what is acted on, and which state.
fn questions(heard: &[Heard]) -> Vec<Question> {
    let asks = heard.iter().filter_map(|h| match &h.what {
        What::Word(LinkMessage::LeaseRequest { number, rules: acting, index, .. }) => {
            Some((h.at, h.link, h.voter, *number, *acting, *index))
        }
        _ => None,
    });
    asks.collect()
}

/// Starts a scheduler against the voters, named [`NAME`], with [`KEY`], [`RENEW_S`] and [`BOUND_S`]. It lives until what
/// is given back is dropped.
pub type Start<'a> = &'a dyn Fn(&[SocketAddr]) -> Box<dyn std::any::Any>;

/// Plays voters to a scheduler that acts on these settings, and names the clauses that it breaks.
pub fn violations(start: Start<'_>, settings: &serde_json::Value) -> Vec<Violation> {
    let mut all: Vec<Violation> = Vec::new();
    let mut say = |clause: &'static str, details: String| {
        if !all.iter().any(|b| b.clause == clause) {
            all.push(Violation { clause, details });
        }
    };
    let voters = match Voters::open() {
        Ok(voters) => voters,
        Err(e) => {
            return vec![Violation { clause: GREETING, details: format!("the suite cannot listen: {e}") }];
        }
    };
    let client = start(&voters.at);
    let asked_all = |heard: &[Heard], after: Instant| {
        (0..VOTERS).all(|v| questions(heard).iter().any(|q| q.2 == v && q.0 > after))
    };
    let begun = Instant::now();
    if !voters.until(|heard| asked_all(heard, begun)) {
        say(ALL, format!("{} questions in {LONG:?}", questions(&voters.heard()).len()));
    }
    before(&voters.heard(), &mut say);

    // The first document, then one that contradicts it, then that one in force.
    let body = |aim: u64| {
        let mut settings = settings.clone();
        settings["classes"][0]["give_up"] = aim.into();
        DocumentBody::new(&settings, BTreeSet::new())
    };
    let document = |version, aim| Some(Document { version, proposer: "another".into(), body: body(aim) });
    let (old, new) = (document(1, 3_000_000_000), document(2, 2_000_000_000));
    let steps = [
        (10, old.clone(), None, EffectiveRules::On(1)),
        (11, old, new.clone(), EffectiveRules::Between(1)),
        (12, new, None, EffectiveRules::On(2)),
    ];
    let mut given = Instant::now();
    for (index, active, coming, acting) in steps {
        given = Instant::now();
        {
            let mut tell = voters.shared.tell();
            (tell.state.index, tell.state.active, tell.state.pending) = (index, active, coming);
        }
        let knows = |q: &Question| q.0 > given && q.5 >= index;
        if !voters.until(|h| (0..VOTERS).all(|v| questions(h).iter().any(|q| q.2 == v && knows(q)))) {
            say(STATE, format!("nobody heard that it has state {index}"));
        }
        let heard = voters.heard();
        if let Some(q) = questions(&heard).iter().find(|q| knows(q) && q.4 != Some(acting)) {
            say(STATE, format!("with state {index} it acts on {:?}, and {acting:?} is due", q.4));
        }
        at_once(&heard, given, index, &mut say);
    }
    let settled = Instant::now();
    std::thread::sleep(WINDOW);
    let after = voters.heard();
    for voter in 0..VOTERS {
        let count = questions(&after)
            .iter()
            .filter(|q| q.2 == voter && q.0 > settled && q.0 <= settled + WINDOW)
            .count();
        if !DUE.contains(&count) {
            say(PACE, format!("voter {voter} was asked {count} times in {WINDOW:?}"));
        }
    }

    // A link ends, and one is told a false word.
    let cut = Instant::now();
    voters.shared.tell().ends = Some(0);
    std::thread::sleep(Duration::from_millis(100));
    voters.shared.tell().ends = None;
    if !voters.until(|h| questions(h).iter().any(|q| q.2 == 0 && q.0 > cut + Duration::from_millis(100))) {
        say(ANEW, "no question on a new link".into());
    }
    voters.shared.tell().falsely = Some(1);
    let lied = |voters: &Voters| voters.shared.tell().lied;
    voters.until(|_| lied(&voters).is_some());
    match lied(&voters) {
        None => say(CODE, "voter 1 was asked no more".into()),
        Some((link, at)) => {
            let closed = |h: &Heard| h.link == link && matches!(h.what, What::Closed | What::Faulty(_));
            if !voters.until(|h| h.iter().any(|h| closed(h) && h.at > at)) {
                say(CODE, "the link goes on".into());
            }
            if !voters.until(|h| questions(h).iter().any(|q| q.2 == 1 && q.1 != link && q.0 > at)) {
                say(CODE, "no new link after it".into());
            }
            if let Some(q) = questions(&voters.heard()).iter().find(|q| q.5 >= 1000) {
                say(CODE, format!("it acts on {:?} of a false word", q.4));
            }
        }
    }
    drop(client);
    let heard = voters.heard();
    throughout(&heard, &mut say);
    // What was on its way when the document came is no fault.
    let late = heard.iter().find(|h| {
        h.at > given + Duration::from_secs(2) && matches!(h.what, What::Word(LinkMessage::Propose(_)))
    });
    if let Some(late) = late {
        say(PROPOSALS, format!("voter {} heard one while there is a document", late.voter));
    }
    all
}

/// What must hold before there is a document.
fn before(heard: &[Heard], say: &mut dyn FnMut(&'static str, String)) {
    for q in questions(heard).iter().filter(|q| q.4.is_some() || q.5 != 0) {
        say(FIRST_ASK, format!("question {} says state {} and {:?}", q.3, q.5, q.4));
    }
}

/// Who learns of something else to act on asks all again, long before the next renewal: on the link that brought it, and
/// on the others.
fn at_once(heard: &[Heard], given: Instant, index: u64, say: &mut dyn FnMut(&'static str, String)) {
    let all = questions(heard);
    // The first question after the news was there is the one that it was told in answer to.
    let Some(told) = all.iter().find(|q| q.0 > given && q.5 < index).map(|q| q.0) else { return };
    let next = all.iter().find(|q| q.0 > told && q.5 >= index).map(|q| q.0 - told);
    match next {
        Some(time) if time <= ONCE => {}
        Some(time) => say(AT_ONCE, format!("state {index}: {time:?} after it was told")),
        None => say(AT_ONCE, format!("state {index}: never")),
    }
}

/// What must hold all the time.
fn throughout(heard: &[Heard], say: &mut dyn FnMut(&'static str, String)) {
    let mut nonces: BTreeMap<Nonce, u64> = BTreeMap::new();
    let mut first_words: BTreeSet<u64> = BTreeSet::new();
    let mut numbers: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    let mut process: BTreeMap<u64, u64> = BTreeMap::new();
    for h in heard {
        match &h.what {
            What::Nonce(nonce) => {
                if let Some(link) = nonces.insert(*nonce, h.link) {
                    say(ANEW, format!("links {link} and {} begin with the same number", h.link));
                }
            }
            What::Faulty(why) if !why.is_empty() => say(GREETING, why.clone()),
            What::Faulty(_) | What::Closed => {}
            What::Word(word) => {
                if first_words.insert(h.link) {
                    match word {
                        LinkMessage::Hello {
                            format: PROTOCOL_VERSION,
                            name,
                            process: number,
                            voter: None,
                        } if name == NAME => {
                            process.insert(h.link, *number);
                        }
                        other => say(HELLO, format!("{other:?}")),
                    }
                }
                if let LinkMessage::LeaseRequest { number, .. } = word {
                    let by = (h.voter, process.get(&h.link).copied().unwrap_or(0));
                    let last = numbers.insert(by, *number);
                    if last.is_some_and(|last| last >= *number) {
                        say(NUMBERS, format!("voter {} heard {last:?} and then {number}", h.voter));
                    }
                }
            }
        }
    }
    let mut of: Vec<u64> = process.values().copied().collect();
    of.dedup();
    if of.len() > 1 {
        say(HELLO, format!("{} processes where there is one", of.len()));
    }
}
