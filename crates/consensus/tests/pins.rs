//! Golden files of the replicated state machine: messages on the tier's links, commands, documents and
//! history records as JSON, and a voter's log on disk. `tests/golden/mod.rs` at the root describes how to
//! update them.

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

fn propose(token: u64, base_version: u64, effect: &str) -> Command {
    Command::Propose { token, proposer: "a".into(), base_version, body: body(effect) }
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
    let record = |version, conflicts_with_previous| VersionRecord {
        version,
        proposer: "a".into(),
        changed_keys: vec!["classes.lodge.effect".into()],
        conflicts_with_previous,
    };
    ReplicatedState {
        index: 9,
        active: Some(document(1)),
        pending: Some(document(2)),
        outcomes: outcomes(),
        history: [record(1, false), record(2, true)].into(),
    }
}

fn messages() -> Vec<LinkMessage> {
    let leaving = vec![LeavingWorker { host: "s-00000001".into(), born_ms: 12 }];
    let report = ListReport { version: 7, leaving: leaving.clone() };
    let summary = ListSummary { newest: 7, oldest: 6, leaving };
    let request = |rules| LinkMessage::LeaseRequest { number: 3, rules, index: 9, list: report.clone() };
    let response = |granted, newer_state| LinkMessage::LeaseResponse {
        number: 3,
        granted,
        newer_state,
        lists: summary.clone(),
    };
    vec![
        LinkMessage::Hello { format: 1, name: "a".into(), process: u64::MAX, voter: Some(1) },
        LinkMessage::Hello { format: 1, name: "é".into(), process: 1, voter: None },
        request(None),
        request(Some(EffectiveRules::On(1))),
        request(Some(EffectiveRules::Between(1))),
        response(true, None),
        response(false, Some(Box::new(ReplicatedState::default()))),
        response(true, Some(Box::new(state()))),
        LinkMessage::Propose(propose(5, 1, "deduplicated")),
        LinkMessage::Propose(Command::Activate(2)),
        LinkMessage::Ready(2),
        LinkMessage::Raft(vec![0, 1, 254, 255]),
    ]
}

/// Each message is sealed with a fixed key and fixed nonces, in both directions of one connection.
#[test]
fn link_messages_keep_their_bytes_and_decode_to_the_same_messages() {
    let (caller, called) = ([1; 16], [2; 16]);
    let mut text = format!("greeting {}\n", golden::hex(&greeting(&caller)));
    let (mut to_voter, mut from_voter) = derive_channels("sixteen letters.", &caller, &called);
    for (name, channel) in [("to the voter", &mut to_voter), ("from the voter", &mut from_voter)] {
        for message in messages() {
            let frame = channel.seal(&message);
            let (header, payload) = frame.split_at(20);
            text += &format!("{name} {} {}\n", golden::hex(header), golden::visible(payload));
        }
    }
    golden::check("frames.txt", text.as_bytes());
    let (mut sender, _) = derive_channels("sixteen letters.", &caller, &called);
    let mut bytes: Vec<u8> = messages().iter().flat_map(|message| sender.seal(message)).collect();
    let (mut receiver, _) = derive_channels("sixteen letters.", &caller, &called);
    let decoded: Vec<LinkMessage> = std::iter::from_fn(|| receiver.open(&mut bytes).unwrap()).collect();
    assert_eq!(decoded, messages());
}

/// Covers the replicated state, which is stored in snapshots, log entries, and the history files.
#[test]
fn documents_and_history_records_keep_their_json() {
    let mut lines = vec![
        serde_json::to_string(&ReplicatedState::default()).unwrap(),
        serde_json::to_string(&state()).unwrap(),
        serde_json::to_string(&propose(5, 1, "idempotent")).unwrap(),
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
        let record = HistoryRecord { at: 1, scheduler: "a".into(), process: 2, event };
        lines.push(serde_json::to_string(&record).unwrap());
        assert_eq!(serde_json::from_str::<HistoryRecord>(lines.last().unwrap()).unwrap(), record);
    }
    // A document of a build without `workers_out`.
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

/// Writes the contents of the fixture: a snapshot, entries, hard states, and entries that replace others.
fn write_log(log: &mut LogFile) {
    let empty = Entry { index: 10, term: 2, entry_type: EntryType::EntryNormal, ..Entry::default() };
    log.replace(&snapshot(9), &[empty], Some(&hard_state(2, 1, 9))).unwrap();
    let appended = [entry(11, 2, &propose(6, 2, "idempotent")), entry(12, 2, &Command::Activate(2))];
    log.append(&appended, Some(&hard_state(2, 1, 10))).unwrap();
    log.append(&[entry(13, 2, &propose(7, 2, "deduplicated"))], None).unwrap();
    let replacements = [entry(12, 3, &propose(8, 2, "at_most_once")), entry(13, 3, &Command::Activate(3))];
    log.append(&replacements, Some(&hard_state(3, 2, 11))).unwrap();
    log.append(&[], Some(&hard_state(3, 2, 12))).unwrap();
}

#[test]
fn voter_log_keeps_its_bytes() {
    let storage = MemoryStorage::default();
    let (mut log, _) = LogFile::open(&storage, OWNER, true).unwrap();
    assert_eq!(golden::visible(&storage.durable_bytes()[12..]), "\\x00a of a, b, c");
    write_log(&mut log);
    golden::check_fixture(FIXTURE, &storage.durable_bytes());
}

#[test]
fn voter_log_of_an_earlier_build_can_be_read() {
    let bytes = golden::fixture(FIXTURE);
    let storage = MemoryStorage::default();
    drop(LogFile::open(&storage, OWNER, true).unwrap());
    storage.overwrite(&bytes);
    let (log, stored) = LogFile::open(&storage, OWNER, false).unwrap();
    drop(log);
    assert_eq!(storage.durable_bytes(), bytes, "opening keeps the bytes");
    let indexes_and_terms: Vec<(u64, u64)> = stored.entries.iter().map(|e| (e.index, e.term)).collect();
    assert_eq!(indexes_and_terms, [(10, 2), (11, 2), (12, 3), (13, 3)]);
    assert_eq!(stored.hard_state, hard_state(3, 2, 12));
    assert_eq!(stored.snapshot.clone().unwrap(), snapshot(9));
    let commands: Vec<Command> =
        stored.entries[1..].iter().map(|e| serde_json::from_slice(&e.data).unwrap()).collect();
    assert_eq!(commands, [propose(6, 2, "idempotent"), propose(8, 2, "at_most_once"), Command::Activate(3)]);
    // The node starts with the state of the snapshot.
    let voter = RaftNode::new(1, 3, stored).unwrap();
    assert_eq!(voter.state(), &state());
    assert!(!voter.has_caught_up(), "entries after the commit index may not be committed");
    // The log of another voter is rejected.
    assert_eq!(LogFile::open(&storage, "b of a, b, c", false).unwrap_err().code(), "store-foreign");
}

/// The encoding is the Raft library's; one message that carries an entry is enough.
#[test]
fn raft_message_keeps_its_bytes() {
    let mut message = loomlb_consensus::raft_node::Message { from: 1, to: 2, term: 3, ..Default::default() };
    message.entries.push(entry(12, 3, &Command::Activate(3)));
    let bytes = loomlb_consensus::raft_node::encode_message(&message);
    assert_eq!(bytes, message.write_to_bytes().unwrap());
    assert_eq!(loomlb_consensus::raft_node::decode_message(&bytes), Some(message));
    golden::check("raft-message.txt", (golden::hex(&bytes) + "\n").as_bytes());
}
