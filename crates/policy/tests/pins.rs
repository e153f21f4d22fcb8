//! Golden files of the decision module: messages between dispatchers, and the learned state that a hot
//! restart passes on. `tests/golden/mod.rs` in the workspace root explains how to update them.

#[path = "../../../tests/golden/mod.rs"]
mod golden;

use loomlb_policy::raw_settings::affinity_key;
use loomlb_policy::{LearnedState, Message, Outcome, SlotUsage, WorkerId, WorkerState, ZoneId};

fn messages() -> Vec<Message> {
    let usage = |slots, sequence, failed| {
        Message::SlotUsage(SlotUsage { worker: WorkerId(0x0102_0304), slots, sequence, failed })
    };
    vec![
        Message::Hello(ZoneId(0)),
        Message::Hello(ZoneId(255)),
        Message::HelloReply(ZoneId(1), Vec::new()),
        Message::HelloReply(ZoneId(2), vec![0, 8, 255]),
        Message::HelloReply(ZoneId(2), vec![1; 64]),
        usage(0, 0, false),
        usage(255, 0x0506, false),
        usage(1, u16::MAX, true),
    ]
}

#[test]
fn messages_keep_their_encoding_and_decode_to_the_same() {
    let mut text = String::new();
    for message in messages() {
        let bytes = message.clone().encode();
        text += &format!("{}\n", golden::hex(&bytes));
        assert_eq!(Message::decode(&bytes), Some(message));
    }
    // Truncated: a zone, a worker id, and kinds beyond the limit.
    let truncated = SlotUsage { worker: WorkerId(0x9_0000_0001), slots: 1, sequence: 1, failed: false };
    for message in [
        Message::Hello(ZoneId(257)),
        Message::SlotUsage(truncated),
        Message::HelloReply(ZoneId(0), vec![1; 65]),
    ] {
        text += &format!("cut {}\n", golden::hex(&message.encode()));
    }
    golden::check("datagrams.txt", text.as_bytes());
}

#[test]
fn other_bytes_are_not_decoded() {
    for bytes in
        [&[][..], &[0], &[0, 1, 2], &[1], &[2, 0, 0, 0, 0, 0, 0, 0], &[3; 8], &[4; 8], &[5; 7], &[7; 8]]
    {
        assert_eq!(Message::decode(bytes), None, "{bytes:?}");
    }
}

#[test]
fn the_default_learned_state_keeps_its_json() {
    let text = serde_json::to_string(&LearnedState::default()).unwrap() + "\n";
    golden::check("carried-empty.txt", text.as_bytes());
    // Every key may be missing, as in a snapshot of an earlier version.
    assert_eq!(
        serde_json::to_string(&serde_json::from_str::<LearnedState>("{}").unwrap()).unwrap() + "\n",
        text
    );
}

/// Affinity keys decide which worker a key is bound to, across processes and versions.
#[test]
fn affinity_keys_keep_their_values() {
    let text: String = ["", "7f", "é"].map(|name| format!("{name:?} {}\n", affinity_key(name).0)).concat();
    golden::check("subject-numbers.txt", text.as_bytes());
}

/// The digests of simulated days include these numbers.
#[test]
fn worker_states_and_outcomes_keep_their_numbers() {
    let states = [WorkerState::Ready, WorkerState::Draining, WorkerState::Removed];
    assert_eq!(states.map(|state| state as u64), [0, 1, 2]);
    let outcomes = [
        Outcome::Served,
        Outcome::Error,
        Outcome::Full,
        Outcome::Timeout,
        Outcome::NoConnection,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
        Outcome::Rejected,
    ];
    assert_eq!(outcomes.map(|outcome| outcome as u64), [0, 1, 2, 3, 4, 5, 6, 7, 8]);
}
