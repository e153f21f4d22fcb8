//! Pins of the replicated state machine: frames of the tier's links, commands and documents in their JSON, lines of the
//! history, and the voter's log on disk. `tests/golden/mod.rs` at the root says how to record them anew.

#[path = "../../../tests/golden/mod.rs"]
mod golden;

use loomlb_consensus::EffectiveRules;
use loomlb_consensus::document::DocumentBody;
use loomlb_consensus::history_check::{HistoryEvent, HistoryRecord};
use loomlb_consensus::link_protocol::{LinkMessage, derive_channels, greeting};
use loomlb_consensus::log_store::{LogFile, LogStore};
use loomlb_consensus::raft_node::RaftNode;
use loomlb_consensus::state::{Command, Document, ProposalOutcome, ReplicatedState, VersionRecord};
use loomlb_consensus::storage::MemoryStorage;
use loomlb_consensus::worker_lists::{LeavingWorker, ListReport, ListSummary};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot};
use serde_json::json;
use std::collections::VecDeque;

const OWNER: &str = "a of a, b, c";
const FIXTURE: &str = "voter-log.bin";

fn body(effect: &str) -> DocumentBody {
    let settings = json!({"classes": [{"name": "lodge", "effect": effect}], "tick": 2_000_000});
    DocumentBody { settings, workers_out: ["s-00000002".to_string()].into() }
}

fn command(token: u64, base: u64, effect: &str) -> Command {
    Command::Propose { token, proposer: "a".into(), base_version: base, body: body(effect) }
}

fn document(version: u64) -> Document {
    Document { version, proposer: "a".into(), body: body("at_most_once") }
}

fn outcomes() -> VecDeque<(u64, ProposalOutcome)> {
    [
        (1, ProposalOutcome::Committed(1)),
        (2, ProposalOutcome::Unchanged(1)),
        (3, ProposalOutcome::StaleBase(2)),
        (u64::MAX, ProposalOutcome::RequiresRestart(vec!["zones".into()])),
    ]
    .into()
}

fn state() -> ReplicatedState {
    let past = |version, contradicts| VersionRecord {
        version,
        proposer: "a".into(),
        changed_keys: vec!["classes.lodge.effect".into()],
        conflicts_with_previous: contradicts,
    };
    ReplicatedState {
        index: 9,
        active: Some(document(1)),
        pending: Some(document(2)),
        outcomes: outcomes(),
        history: [past(1, false), past(2, true)].into(),
    }
}

fn messages() -> Vec<LinkMessage> {
    let leaving = vec![LeavingWorker { host: "s-00000001".into(), born_ms: 12 }];
    let mine = ListReport { version: 7, leaving: leaving.clone() };
    let theirs = ListSummary { newest: 7, oldest: 6, leaving };
    let ask = |acting| LinkMessage::LeaseRequest { number: 3, rules: acting, index: 9, list: mine.clone() };
    let answer = |yes, news| LinkMessage::LeaseResponse {
        number: 3,
        granted: yes,
        newer_state: news,
        lists: theirs.clone(),
    };
    vec![
        LinkMessage::Hello { format: 1, name: "a".into(), process: u64::MAX, voter: Some(1) },
        LinkMessage::Hello { format: 1, name: "é".into(), process: 1, voter: None },
        ask(None),
        ask(Some(EffectiveRules::On(1))),
        ask(Some(EffectiveRules::Between(1))),
        answer(true, None),
        answer(false, Some(Box::new(ReplicatedState::default()))),
        answer(true, Some(Box::new(state()))),
        LinkMessage::Propose(command(5, 1, "deduplicated")),
        LinkMessage::Propose(Command::Activate(2)),
        LinkMessage::Ready(2),
        LinkMessage::Raft(vec![0, 1, 254, 255]),
    ]
}

/// Each message sealed with a fixed key and fixed nonces, in both directions, the counter going on from one to the next.
#[test]
fn frames_of_a_link_keep_their_bytes_and_are_read_as_the_same() {
    let (caller, called) = ([1; 16], [2; 16]);
    let mut text = format!("greeting {}\n", golden::hex(&greeting(&caller)));
    let (mut to, mut from) = derive_channels("sixteen letters.", &caller, &called);
    for (name, channel) in [("to the voter", &mut to), ("from the voter", &mut from)] {
        for message in messages() {
            let frame = channel.seal(&message);
            let (head, payload) = frame.split_at(20);
            text += &format!("{name} {} {}\n", golden::hex(head), golden::visible(payload));
        }
    }
    golden::check("frames.txt", text.as_bytes());
    // What is written is what is read.
    let (mut to, _) = derive_channels("sixteen letters.", &caller, &called);
    let mut bytes: Vec<u8> = messages().iter().flat_map(|message| to.seal(message)).collect();
    let (mut from, _) = derive_channels("sixteen letters.", &caller, &called);
    let read: Vec<LinkMessage> = std::iter::from_fn(|| from.open(&mut bytes).unwrap()).collect();
    assert_eq!(read, messages());
}

/// The JSON of what is replicated, stored in snapshots and written to the history.
#[test]
fn documents_and_history_lines_keep_their_json() {
    let mut lines = vec![
        serde_json::to_string(&ReplicatedState::default()).unwrap(),
        serde_json::to_string(&state()).unwrap(),
        serde_json::to_string(&command(5, 1, "idempotent")).unwrap(),
        serde_json::to_string(&Command::Activate(2)).unwrap(),
    ];
    let events = [
        HistoryEvent::Adopted(EffectiveRules::On(1)),
        HistoryEvent::Adopted(EffectiveRules::Between(1)),
        HistoryEvent::Acted { rules: EffectiveRules::On(2), lease_left: 5 },
        HistoryEvent::LeaseExpired,
        HistoryEvent::LeaseAcquired,
    ];
    for event in events {
        let line = HistoryRecord { at: 1, scheduler: "a".into(), process: 2, event };
        lines.push(serde_json::to_string(&line).unwrap());
        assert_eq!(serde_json::from_str::<HistoryRecord>(lines.last().unwrap()).unwrap(), line);
    }
    // A document of a build that did not know of workers that are out.
    assert_eq!(serde_json::from_str::<DocumentBody>(r#"{"settings":{}}"#).unwrap().workers_out.len(), 0);
    golden::check("documents.txt", (lines.join("\n") + "\n").as_bytes());
}

fn entry(index: u64, term: u64, command: &Command) -> Entry {
    Entry { index, term, data: serde_json::to_vec(command).unwrap().into(), ..Entry::default() }
}

fn snapshot(index: u64) -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.set_data(serde_json::to_vec(&state()).unwrap().into());
    let metadata = snapshot.mut_metadata();
    metadata.index = index;
    metadata.term = 2;
    metadata.set_conf_state(ConfState::from((vec![1, 2, 3], vec![])));
    snapshot
}

fn hard_state(term: u64, vote: u64, commit: u64) -> HardState {
    HardState { term, vote, commit, ..HardState::default() }
}

/// Writes the log of the fixture: its owner, a snapshot, entries, hard states, and entries that replace others.
fn write_log(log: &mut LogFile) {
    let empty = Entry { index: 10, term: 2, entry_type: EntryType::EntryNormal, ..Entry::default() };
    log.replace(&snapshot(9), &[empty], Some(&hard_state(2, 1, 9))).unwrap();
    let first = [entry(11, 2, &command(6, 2, "idempotent")), entry(12, 2, &Command::Activate(2))];
    log.append(&first, Some(&hard_state(2, 1, 10))).unwrap();
    log.append(&[entry(13, 2, &command(7, 2, "deduplicated"))], None).unwrap();
    let replaced = [entry(12, 3, &command(8, 2, "at_most_once")), entry(13, 3, &Command::Activate(3))];
    log.append(&replaced, Some(&hard_state(3, 2, 11))).unwrap();
    log.append(&[], Some(&hard_state(3, 2, 12))).unwrap();
}

#[test]
fn a_voters_log_keeps_its_bytes() {
    let place = MemoryStorage::default();
    let (mut log, _) = LogFile::open(&place, OWNER, true).unwrap();
    assert_eq!(golden::visible(&place.durable_bytes()[12..]), "\\x00a of a, b, c");
    write_log(&mut log);
    golden::check_fixture(FIXTURE, &place.durable_bytes());
}

/// The log as an earlier build wrote it, opened as an upgrade opens it.
#[test]
fn a_voters_log_of_an_earlier_build_is_read() {
    let bytes = golden::fixture(FIXTURE);
    let place = MemoryStorage::default();
    drop(LogFile::open(&place, OWNER, true).unwrap());
    place.overwrite(&bytes);
    let (log, loaded) = LogFile::open(&place, OWNER, false).unwrap();
    drop(log);
    assert_eq!(place.durable_bytes(), bytes, "opening changes nothing");
    let places: Vec<(u64, u64)> = loaded.entries.iter().map(|e| (e.index, e.term)).collect();
    assert_eq!(places, [(10, 2), (11, 2), (12, 3), (13, 3)]);
    assert_eq!(loaded.hard_state, hard_state(3, 2, 12));
    assert_eq!(loaded.snapshot.clone().unwrap(), snapshot(9));
    let commands: Vec<Command> =
        loaded.entries[1..].iter().map(|e| serde_json::from_slice(&e.data).unwrap()).collect();
    assert_eq!(commands, [command(6, 2, "idempotent"), command(8, 2, "at_most_once"), Command::Activate(3)]);
    // The replicated state machine starts from it, at the state that the snapshot holds.
    let voter = RaftNode::new(1, 3, loaded).unwrap();
    assert_eq!(voter.state(), &state());
    assert!(!voter.has_caught_up(), "it has entries that it does not know to be committed");
    // Another voter's log is refused.
    assert_eq!(LogFile::open(&place, "b of a, b, c", false).unwrap_err().code(), "store-foreign");
}

/// The messages among voters are the library's own; one of each kind that carries our bytes is enough.
#[test]
fn a_raft_message_keeps_its_bytes() {
    let mut message = loomlb_consensus::raft_node::Message { from: 1, to: 2, term: 3, ..Default::default() };
    message.entries.push(entry(12, 3, &Command::Activate(3)));
    let bytes = loomlb_consensus::raft_node::encode_message(&message);
    assert_eq!(bytes, message.write_to_bytes().unwrap());
    assert_eq!(loomlb_consensus::raft_node::decode_message(&bytes), Some(message));
    golden::check("raft-message.txt", (golden::hex(&bytes) + "\n").as_bytes());
}
