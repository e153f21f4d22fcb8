//! Pins of the hot restart: every message between predecessor and successor in its frame. The snapshot's own JSON is pinned
//! at the root, where it is captured from the program. `tests/golden/mod.rs` there says how to record all anew.

#[path = "../../../tests/golden/mod.rs"]
mod golden;

use loomlb_hot_restart::words::{Ask, Frames, Holds, VERSION, Word};

fn messages() -> Vec<(Word, bool)> {
    let holds = Holds { slots: vec![("s-00000001".into(), 1.5)], inbound: 2, outbound: 3 };
    vec![
        (Word::Hello { version: VERSION }, false),
        (Word::Refused("another upgrade is under way".into()), false),
        (Word::Snapshot(serde_json::json!({"classes": ["view"], "é": null})), false),
        (Word::Snapshot(serde_json::json!({})), true),
        (Word::Ready, false),
        (Word::Committed, false),
        (Word::Client { calls_back: true, fresh: false }, true),
        (Word::Target { host: "s-00000001".into(), since: u64::MAX }, true),
        (Word::Holds(Holds::default()), false),
        (Word::Holds(holds), false),
        (Word::Ask(7, Ask::CallBack(r#"{"id":"a1"}"#.into())), false),
        (Word::Ask(8, Ask::Order("PUT".into(), "/control/in-service".into())), false),
        (Word::Answer(7, true), false),
        (Word::Bye, false),
    ]
}

#[test]
fn messages_of_a_hot_restart_keep_their_bytes_and_are_read_as_the_same() {
    let (mut text, mut frames, mut read) = (String::new(), Frames::default(), Vec::new());
    for (message, with_descriptor) in messages() {
        let frame = message.frame(with_descriptor).unwrap();
        frames.put(&frame);
        read.extend(frames.take().unwrap());
        let (head, payload) = frame.split_at(5);
        text += &format!("{} {}\n", golden::hex(head), golden::visible(payload));
    }
    golden::check("messages.txt", text.as_bytes());
    assert_eq!(read, messages());
}
