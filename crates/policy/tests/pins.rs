//! Pins of the decision module: the datagrams between schedulers, and what is learned as a hot restart passes it on.
//! `tests/golden/mod.rs` at the root says how to record them anew.

#[path = "../../../tests/golden/mod.rs"]
mod golden;

use loomlb_policy::raw_settings::affinity_key;
use loomlb_policy::{LearnedState, Message, Outcome, SlotUsage, WorkerId, WorkerState, ZoneId};

fn messages() -> Vec<Message> {
    let holds = |slots, turn, failed| {
        Message::SlotUsage(SlotUsage { worker: WorkerId(0x0102_0304), slots, sequence: turn, failed })
    };
    vec![
        Message::Hello(ZoneId(0)),
        Message::Hello(ZoneId(255)),
        Message::HelloReply(ZoneId(1), Vec::new()),
        Message::HelloReply(ZoneId(2), vec![0, 8, 255]),
        Message::HelloReply(ZoneId(2), vec![1; 64]),
        holds(0, 0, false),
        holds(255, 0x0506, false),
        holds(1, u16::MAX, true),
    ]
}

#[test]
fn datagrams_keep_their_bytes_and_are_read_as_the_same() {
    let mut text = String::new();
    for message in messages() {
        let bytes = message.clone().encode();
        text += &format!("{}\n", golden::hex(&bytes));
        assert_eq!(Message::decode(&bytes), Some(message));
    }
    // What is cut short: a zone, a worker's number, and kinds beyond the most.
    let long = SlotUsage { worker: WorkerId(0x9_0000_0001), slots: 1, sequence: 1, failed: false };
    for message in
        [Message::Hello(ZoneId(257)), Message::SlotUsage(long), Message::HelloReply(ZoneId(0), vec![1; 65])]
    {
        text += &format!("cut {}\n", golden::hex(&message.encode()));
    }
    golden::check("datagrams.txt", text.as_bytes());
}

#[test]
fn bytes_that_are_no_datagram_are_none() {
    for bytes in
        [&[][..], &[0], &[0, 1, 2], &[1], &[2, 0, 0, 0, 0, 0, 0, 0], &[3; 8], &[4; 8], &[5; 7], &[7; 8]]
    {
        assert_eq!(Message::decode(bytes), None, "{bytes:?}");
    }
}

#[test]
fn an_empty_snapshot_of_what_is_learned_keeps_its_json() {
    let text = serde_json::to_string(&LearnedState::default()).unwrap() + "\n";
    golden::check("carried-empty.txt", text.as_bytes());
    // Every key may be missing, as in a build that did not have it yet.
    assert_eq!(
        serde_json::to_string(&serde_json::from_str::<LearnedState>("{}").unwrap()).unwrap() + "\n",
        text
    );
}

/// The numbers that stand for subjects decide which worker a subject sticks to, across processes and versions.
#[test]
fn the_number_of_a_subject_stays() {
    let text: String =
        ["", "7f", "é"].map(|subject| format!("{subject:?} {}\n", affinity_key(subject).0)).concat();
    golden::check("subject-numbers.txt", text.as_bytes());
}

/// The digests of days in virtual time are taken over these numbers, not over names.
#[test]
fn the_numbers_of_states_and_outcomes_stay() {
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
