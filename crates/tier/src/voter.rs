//! The voter: its file, its promises, its part in the agreement, and the process that takes over its seat.

use crate::On;
use crate::link::accept;
use crate::spec::Spec;
use loomlb_accord::Nanos;
use loomlb_accord::agreement::{self, Agreement, TICK};
use loomlb_accord::disk::LogFile;
use loomlb_accord::frames::Word;
use loomlb_accord::lists::Lists;
use loomlb_accord::promises::{Process, Promises};
use loomlb_accord::state::Command;
use loomlb_accord::timing::Timing;
use loomlb_sockets::{AddressInUse, OpenRetry};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Pause before another look whether the process that votes has ended.
const SUCCEED: Duration = Duration::from_millis(300);

/// What a voter has beside its lease.
#[derive(Debug)]
pub(crate) struct Voter {
    pub(crate) agreement: Agreement,
    pub(crate) promises: Promises,
    pub(crate) lists: Lists,
    pub(crate) log: LogFile,
}

/// Whether a voter's file or address is taken, by an earlier process of the same scheduler: it votes until it ends.
pub(crate) fn elsewhere(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::AddrInUse)
}

/// Takes a voter's file and address.
pub(crate) async fn vote_as(
    spec: &Spec,
    name: &str,
    number: u64,
    timing: Timing,
    now: Nanos,
    opening: &OpenRetry,
) -> io::Result<(TcpListener, Voter)> {
    let needed = |key: &str| io::Error::other(format!("{key}: missing, and {name:?} is a voter"));
    let at = spec.listen.ok_or_else(|| needed("listen"))?;
    let store = spec.store.as_ref().ok_or_else(|| needed("store"))?;
    let names: Vec<&str> = spec.voters.iter().map(|v| &*v.name).collect();
    let owner = format!("{name} of {}", names.join(", "));
    let (log, loaded) = LogFile::open(store, &owner, spec.found)?;
    let bind = async || TcpListener::bind(at).await;
    let listener = opening.open("listen", at, AddressInUse::Report, bind).await?;
    let agreement = Agreement::new(number, spec.voters.len() as u64, loaded)?;
    Ok((listener, Voter { agreement, promises: Promises::new(timing, now), lists: Lists::default(), log }))
}

/// Takes over from the process of this scheduler that votes, once it has ended.
pub(crate) async fn succeed(on: Rc<On>, number: u64) {
    loop {
        tokio::time::sleep(SUCCEED).await;
        match vote_as(&on.spec, &on.name, number, on.timing, on.now(), &OpenRetry::start()).await {
            Ok((listener, seat)) => {
                tracing::info!("tier: this process votes now");
                *on.voter.borrow_mut() = Some(seat);
                spawn_local(accept(Rc::clone(&on), listener));
                spawn_local(vote(Rc::clone(&on)));
                return;
            }
            Err(e) if elsewhere(&e) => {}
            Err(e) => return tracing::error!("tier: {e}; this process does not vote"),
        }
    }
}

/// What this voter makes of a word, and its reply.
pub(crate) fn voter_hears(on: &On, who: &Process, voter: Option<u64>, word: Word) -> Option<Word> {
    let now = on.now();
    let mut held = on.voter.borrow_mut();
    let Voter { agreement, promises, lists, .. } = held.as_mut()?;
    let reply = match word {
        Word::Ask { number, acting, index, list } => {
            lists.hear(now, who, &list);
            let state = agreement.state();
            let yes = agreement.settled()
                && acting.is_some_and(|acting| promises.ask(now, who, number, acting, state));
            let news = (state.index > index).then(|| Box::new(state.clone()));
            return Some(Word::Answer { number, yes, news, lists: lists.tell(now) });
        }
        Word::Propose(command @ Command::Propose { .. }) => {
            agreement.propose(&command);
            None
        }
        Word::Ready(version) => {
            voter.into_iter().for_each(|voter| agreement.ready(voter, version));
            None
        }
        Word::Raft(bytes) => {
            let message = agreement::message(&bytes).filter(|m| Some(m.from) == voter);
            message.into_iter().for_each(|message| agreement.step(message));
            None
        }
        _ => None,
    };
    turn(on, &mut held);
    reply
}

/// Has the voter do what it has to, and sends what it has for others.
fn turn(on: &On, held: &mut Option<Voter>) {
    let Some(Voter { agreement, log, .. }) = held else { return };
    match agreement.turn(log) {
        Ok(messages) => {
            for message in messages {
                on.put(message.to as usize - 1, Word::Raft(agreement::bytes(&message)));
            }
        }
        Err(e) => tracing::error!("tier.store: {e}; this voter takes part no more until it is started anew"),
    }
}

/// A voter's own time.
pub(crate) async fn vote(on: Rc<On>) {
    let mut ticks = tokio::time::interval(Duration::from_nanos(TICK));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut held = on.voter.borrow_mut();
        let Some(Voter { agreement, promises, .. }) = held.as_mut() else { return };
        agreement.tick();
        let ready = promises.ready(on.now(), agreement.state()).filter(|_| agreement.settled());
        if let Some(version) = ready {
            match agreement.leader() {
                0 => {}
                leader if on.number == Some(leader) => agreement.ready(leader, version),
                leader => on.put(leader as usize - 1, Word::Ready(version)),
            }
        }
        turn(&on, &mut held);
    }
}
