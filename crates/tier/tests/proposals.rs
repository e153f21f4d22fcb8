//! What a scheduler says to the voters, heard by stand-ins that never agree.

use loomlb_consensus::document::DocumentBody;
use loomlb_consensus::link_protocol::{self, GREETING_BYTES, LinkMessage};
use loomlb_consensus::state::{Command, Document, ReplicatedState};
use loomlb_consensus::worker_lists::{LeavingWorker, ListReport, ListSummary};
use loomlb_tier::{Application, TierConfig};
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

const KEY: &str = "a key of sixteen bytes";

/// A process that takes whatever it is told.
struct Idle;

impl Application for Idle {
    fn worker_list(&self) -> ListReport {
        ListReport::default()
    }
    fn settings(&self) -> Value {
        json!({"tick": 1})
    }
    fn validate_settings(&self, _: Value) -> Result<(), String> {
        Ok(())
    }
    fn apply_settings(&self, _: Value) -> Result<(), String> {
        Ok(())
    }
    fn set_worker_offline(&self, _: &str, _: bool) {}
    fn learn_leaving_worker(&self, _: &LeavingWorker) -> bool {
        false
    }
    fn expire_leaving_workers(&self) {}
    fn refetch_worker_list(&self) {}
}

/// What the stand-ins have heard.
#[derive(Default)]
struct Heard {
    questions: Cell<u32>,
    proposals: Cell<u32>,
}

/// A voter that promises all, has a document, and agrees on nothing.
async fn voter(mut stream: TcpStream, heard: Rc<Heard>) -> std::io::Result<()> {
    let mine = [7; 16];
    stream.write_all(&link_protocol::greeting(&mine)).await?;
    let mut first = [0; GREETING_BYTES];
    stream.read_exact(&mut first).await?;
    let theirs = link_protocol::parse_greeting(&first).expect("a greeting");
    let (mut from, mut to) = link_protocol::derive_channels(KEY, &theirs, &mine);
    let body = DocumentBody::new(&json!({"tick": 1}), BTreeSet::new());
    let active = Some(Document { version: 1, proposer: "a".into(), body });
    let state = ReplicatedState { index: 1, active, ..ReplicatedState::default() };
    let mut bytes = Vec::new();
    loop {
        while let Some(word) = from.open(&mut bytes).expect("a sound word") {
            match word {
                LinkMessage::LeaseRequest { number, index, .. } => {
                    heard.questions.set(heard.questions.get() + 1);
                    let news = (index < 1).then(|| Box::new(state.clone()));
                    let answer = LinkMessage::LeaseResponse {
                        number,
                        granted: true,
                        newer_state: news,
                        lists: ListSummary::default(),
                    };
                    stream.write_all(&to.seal(&answer)).await?;
                }
                // Not the file that it proposed before it knew of a document.
                LinkMessage::Propose(Command::Propose { body, .. }) if body.settings["tick"] == 2 => {
                    heard.proposals.set(heard.proposals.get() + 1);
                }
                _ => {}
            }
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(());
        }
    }
}

/// Each time that a proposal is said it is an entry of the voters' log with the whole document in it. Who waits for its
/// outcome asks often, and says the proposal itself no more often than it renews its lease.
#[tokio::test(flavor = "current_thread")]
async fn a_proposal_without_an_outcome_is_said_again_at_the_renewals_pace_and_no_faster() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let heard = Rc::new(Heard::default());
            let mut voters = String::new();
            for n in 0..3 {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                voters +=
                    &format!("[[voter]]\nname = \"v{n}\"\nat = \"{}\"\n", listener.local_addr().unwrap());
                let heard = Rc::clone(&heard);
                spawn_local(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        spawn_local(voter(stream, Rc::clone(&heard)));
                    }
                });
            }
            let spec: TierConfig =
                toml::from_str(&format!("key = \"{KEY}\"\nrenew_s = 0.25\n{voters}")).unwrap();
            let (tier, listener) =
                loomlb_tier::open(Some(spec), "s", &loomlb_sockets::OpenRetry::start()).await.unwrap();
            let application: Rc<dyn Application> = Rc::new(Idle);
            loomlb_tier::start(&tier, &application, listener);
            while !tier.may_serve() {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            let begun = std::time::Instant::now();
            let settings = json!({"tick": 2}).to_string();
            let (status, said) = loomlb_tier::propose_settings(&tier, &Idle, settings.as_bytes(), None).await;
            assert_eq!(status, 503, "{said}");
            // As often as renewals fit into the time that it took, the first one, and one that was on its way.
            let most = (begun.elapsed().as_secs_f64() / 0.25) as u32 + 2;
            let (proposals, questions) = (heard.proposals.get(), heard.questions.get());
            assert!((2..=most).contains(&proposals), "said {proposals} times, {most} at the most");
            assert!(questions > 3 * most, "{questions} questions: who waits asks often");
        })
        .await;
}
