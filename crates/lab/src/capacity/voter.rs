//! A voter: what schedulers ask of it, and what a version of the document costs it.
//!
//! - `voter.ask.time_by_schedulers`: a question opened, heard (list of workers and promise) and answered, sealed, at a voter
//!   to which so many schedulers have promises, in turn. No news.
//! - `voter.memory_by_schedulers`: live bytes of promises and lists of so many.
//! - `voter.news.time_by_document`: the state copied into an answer, and sealed.
//! - `voter.log.bytes_by_document`: bytes that a lone voter writes for a version that contradicts nothing, over 256 of them
//!   with the two rewrites of the file that fall among them. One that contradicts adds an entry of some 60 bytes.
//! - `voter.apply.time_by_document`: a version proposed, written to a file that takes no time, and applied, over the same
//!   versions. The disk is not in it.
//! - `voter.memory_by_document`: live bytes of the agreement after 250 versions, just before its log is cut.

use super::meter::{self, Plan, live, point};
use super::tier::{DOCUMENTS, answer, bytes, link, state};
use crate::trial;
use loomlb_capacity::{Series, Source};
use loomlb_consensus::EffectiveRules;
use loomlb_consensus::lease_grants::{LeaseGrants, ProcessId};
use loomlb_consensus::link_protocol::LinkMessage;
use loomlb_consensus::log_store::LogFile;
use loomlb_consensus::raft_node::RaftNode;
use loomlb_consensus::state::{Command, ReplicatedState};
use loomlb_consensus::storage::{DurableFile, StorageLocation};
use loomlb_consensus::timing::TimingConfig;
use loomlb_consensus::worker_lists::{ListReport, ListReports};
use serde_json::json;
use std::cell::Cell;
use std::hint::black_box;
use std::io;
use std::rc::Rc;
use std::time::Instant;

/// Versions between two rewrites of the log.
const CUT: u64 = 128;
/// Versions before the log is cut for the first time.
const FULL: u64 = 250;

/// A file that counts what is written to it, and keeps nothing.
#[derive(Clone, Debug, Default)]
pub struct Counted(Rc<Cell<u64>>);

impl Counted {
    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.0.get()
    }
}

impl StorageLocation for Counted {
    fn name(&self) -> String {
        "counted".into()
    }
    fn open(&self, _create: bool) -> io::Result<Box<dyn DurableFile>> {
        Ok(Box::new(self.clone()))
    }
}

impl DurableFile for Counted {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        Ok(Vec::new())
    }
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.set(self.0.get() + bytes.len() as u64);
        Ok(bytes.len())
    }
    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }
    fn replace_contents(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write(bytes).map(|_| ())
    }
}

/// All series of a voter but those of its links.
pub fn series(plan: &Plan) -> Result<Vec<Series>, String> {
    let mut all = asks(plan)?;
    all.extend(news(plan));
    all.extend(versions(plan)?);
    Ok(all)
}

/// What schedulers tell and ask of a voter.
struct Asked {
    promises: LeaseGrants,
    lists: ListReports,
    seen: ReplicatedState,
    now: u64,
}

impl Asked {
    fn new(seen: &ReplicatedState) -> Result<Asked, String> {
        let timing = TimingConfig::default().derive().map_err(|(key, why)| format!("{key}: {why}"))?;
        let (promises, lists) = (LeaseGrants::new(timing, 0), ListReports::default());
        Ok(Asked { promises, lists, seen: seen.clone(), now: 0 })
    }

    fn ask(
        &mut self,
        who: &ProcessId,
        number: u64,
        acting: EffectiveRules,
        list: &ListReport,
    ) -> LinkMessage {
        self.lists.record(self.now, who, list);
        let yes = self.promises.try_grant(self.now, who, number, acting, &self.seen);
        LinkMessage::LeaseResponse {
            number,
            granted: yes,
            newer_state: None,
            lists: self.lists.summarize(self.now),
        }
    }
}

fn asks(plan: &Plan) -> Result<Vec<Series>, String> {
    let keys = ["voter.ask.time_by_schedulers", "voter.memory_by_schedulers"];
    if !plan.wants_any(&keys) {
        return Ok(Vec::new());
    }
    let mut time = meter::series(keys[0], "ns", "schedulers", Source::Timed, "a question and its answer");
    let mut memory = meter::series(keys[1], "bytes", "schedulers", Source::Counted, "promises and lists");
    let seen = state(69, 3);
    let acting = EffectiveRules::On(seen.newest_version());
    for n in plan.sizes(&[10usize, 30, 100, 300, 1_000, 3_000]) {
        let all: Vec<ProcessId> = (0..*n as u64).map(|i| (format!("s-{i:08x}"), i)).collect();
        // The state that it knows is not the schedulers'.
        let mut asked = Asked::new(&seen)?;
        let ((), held) = live(|| {
            all.iter()
                .for_each(|who| _ = asked.ask(who, 0, acting, &ListReport { version: 9, leaving: vec![] }));
        });
        point(&mut memory, *n as f64, vec![held]);
        let (from, mut to) = link();
        let (index, list) = (seen.index, ListReport { version: 1_000_000, leaving: Vec::new() });
        let sealed = from.clone().seal(&LinkMessage::LeaseRequest {
            number: 100_000,
            rules: Some(acting),
            index,
            list,
        });
        let mut number = 0;
        let took = plan.time(|| {
            number += 1;
            asked.now += 250_000_000 / *n as u64;
            let opened = from.clone().open(&mut sealed.clone());
            if let Ok(Some(LinkMessage::LeaseRequest { list, .. })) = opened {
                let answer = asked.ask(&all[number as usize % n], number, acting, &list);
                black_box(to.seal(&answer));
            }
        });
        point(&mut time, *n as f64, took);
    }
    Ok(vec![time, memory])
}

fn news(plan: &Plan) -> Option<Series> {
    let (key, note) = ("voter.news.time_by_document", "with a full history");
    let mut time = meter::series(key, "ns", "bytes of the document", Source::Timed, note);
    if !plan.wants(key) {
        return None;
    }
    for tenants in plan.sizes(&DOCUMENTS) {
        let known = state(*tenants, 80);
        let (mut to, _) = link();
        point(&mut time, bytes(*tenants), plan.time(|| _ = black_box(to.seal(&answer(&known)))));
    }
    Some(time)
}

/// A lone voter, which agrees with itself.
struct Lone {
    agreement: RaftNode,
    log: LogFile,
    version: u64,
    tenants: usize,
}

impl Lone {
    fn new(place: &Counted, tenants: usize) -> Result<Lone, String> {
        let (mut log, loaded) = LogFile::open(place, "lone", true).map_err(|e| e.to_string())?;
        let mut agreement = RaftNode::new(1, 1, loaded).map_err(|e| e.to_string())?;
        for _ in 0..30 {
            agreement.tick();
            agreement.process_pending(&mut log).map_err(|e| e.to_string())?;
        }
        Ok(Lone { agreement, log, version: 0, tenants })
    }

    /// The command that brings the next version: another pause between two acts, which contradicts nothing.
    fn next(&self) -> Command {
        let mut body = trial::document(1, self.tenants);
        body.settings["tick"] = json!(1_000_000 + self.version);
        Command::Propose {
            token: u64::MAX - self.version,
            proposer: "s-00000001".into(),
            base_version: self.version,
            body,
        }
    }

    fn agree(&mut self, command: &Command) -> Result<(), String> {
        self.agreement.propose(command);
        self.agreement.process_pending(&mut self.log).map_err(|e| e.to_string())?;
        self.version += 1;
        if self.agreement.state().active.as_ref().map_or(0, |d| d.version) != self.version {
            return Err(format!("version {} did not come into force at a lone voter", self.version));
        }
        Ok(())
    }
}

fn versions(plan: &Plan) -> Result<Vec<Series>, String> {
    let keys = ["voter.log.bytes_by_document", "voter.apply.time_by_document", "voter.memory_by_document"];
    if !plan.wants_any(&keys) {
        return Ok(Vec::new());
    }
    let size = "bytes of the document";
    let note = "a version that contradicts nothing; 2 rewrites in 256 versions";
    let mut log = meter::series(keys[0], "bytes/version", size, Source::Counted, note);
    let note = "a version proposed and applied at a lone voter, without its disk";
    let mut time = meter::series(keys[1], "ns", size, Source::Timed, note);
    let note = "the agreement after 250 versions, just before its log is cut";
    let mut memory = meter::series(keys[2], "bytes", size, Source::Counted, note);
    // What the library sets up once for a thread is no voter's memory.
    drop(Lone::new(&Counted::default(), 0)?);
    for tenants in plan.sizes(&DOCUMENTS) {
        let place = Counted::default();
        let (lone, held) = live(|| -> Result<Lone, String> {
            let mut lone = Lone::new(&place, *tenants)?;
            for _ in 0..FULL {
                lone.agree(&lone.next())?;
            }
            Ok(lone)
        });
        let mut lone = lone?;
        point(&mut memory, bytes(*tenants), vec![held]);
        let (before, mut times) = (place.written(), Vec::new());
        for _ in 0..2 {
            let mut passed = 0;
            for _ in 0..CUT {
                let command = lone.next();
                let start = Instant::now();
                lone.agree(&command)?;
                passed += start.elapsed().as_nanos();
            }
            times.push(passed as f64 / CUT as f64);
        }
        point(&mut log, bytes(*tenants), vec![(place.written() - before) as f64 / (2 * CUT) as f64]);
        point(&mut time, bytes(*tenants), times);
    }
    Ok(vec![log, time, memory])
}
