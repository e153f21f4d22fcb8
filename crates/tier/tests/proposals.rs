//! Messages of a scheduler to its voters, received by fake voters that never agree on anything.

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

/// An application that accepts everything and does nothing.
struct NoopApplication;

impl Application for NoopApplication {
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

/// Messages that the fake voters have received.
#[derive(Default)]
struct Received {
    lease_requests: Cell<u32>,
    proposals: Cell<u32>,
}

/// A voter that grants every lease, has one document, and agrees on no proposal.
async fn fake_voter(mut stream: TcpStream, received: Rc<Received>) -> std::io::Result<()> {
    let local_nonce = [7; 16];
    stream.write_all(&link_protocol::greeting(&local_nonce)).await?;
    let mut greeting = [0; GREETING_BYTES];
    stream.read_exact(&mut greeting).await?;
    let remote_nonce = link_protocol::parse_greeting(&greeting).expect("a greeting");
    let (mut receive_channel, mut send_channel) =
        link_protocol::derive_channels(KEY, &remote_nonce, &local_nonce);
    let body = DocumentBody::new(&json!({"tick": 1}), BTreeSet::new());
    let active = Some(Document { version: 1, proposer: "a".into(), body });
    let state = ReplicatedState { index: 1, active, ..ReplicatedState::default() };
    let mut bytes = Vec::new();
    loop {
        while let Some(message) = receive_channel.open(&mut bytes).expect("a valid message") {
            match message {
                LinkMessage::LeaseRequest { number, index, .. } => {
                    received.lease_requests.set(received.lease_requests.get() + 1);
                    let newer_state = (index < 1).then(|| Box::new(state.clone()));
                    let answer = LinkMessage::LeaseResponse {
                        number,
                        granted: true,
                        newer_state,
                        lists: ListSummary::default(),
                    };
                    stream.write_all(&send_channel.seal(&answer)).await?;
                }
                // Not counted: the settings that the scheduler proposed before it knew of a document.
                LinkMessage::Propose(Command::Propose { body, .. }) if body.settings["tick"] == 2 => {
                    received.proposals.set(received.proposals.get() + 1);
                }
                _ => {}
            }
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(());
        }
    }
}

/// Every copy of a proposal is an entry with the whole document in the voters' log. A request that waits for its outcome
/// renews the lease often, but must not repeat the proposal more often than the renewal interval.
#[tokio::test(flavor = "current_thread")]
async fn a_proposal_without_an_outcome_is_sent_once_per_renewal_interval() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let received = Rc::new(Received::default());
            let mut voters = String::new();
            for n in 0..3 {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                voters +=
                    &format!("[[voter]]\nname = \"v{n}\"\nat = \"{}\"\n", listener.local_addr().unwrap());
                let received = Rc::clone(&received);
                spawn_local(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        spawn_local(fake_voter(stream, Rc::clone(&received)));
                    }
                });
            }
            let spec: TierConfig =
                toml::from_str(&format!("key = \"{KEY}\"\nrenew_s = 0.25\n{voters}")).unwrap();
            let (tier, listener) =
                loomlb_tier::open(Some(spec), "s", &loomlb_sockets::OpenRetry::start()).await.unwrap();
            let application: Rc<dyn Application> = Rc::new(NoopApplication);
            loomlb_tier::start(&tier, &application, listener);
            while !tier.may_serve() {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            let start = std::time::Instant::now();
            let settings = json!({"tick": 2}).to_string();
            let (status, reply) =
                loomlb_tier::propose_settings(&tier, &NoopApplication, settings.as_bytes(), None).await;
            assert_eq!(status, 503, "{reply}");
            // One per interval in the elapsed time, plus the first one and one in flight.
            let max_proposals = (start.elapsed().as_secs_f64() / 0.25) as u32 + 2;
            let (proposals, lease_requests) = (received.proposals.get(), received.lease_requests.get());
            assert!(
                (2..=max_proposals).contains(&proposals),
                "sent {proposals} times, expected 2 to {max_proposals}"
            );
            assert!(lease_requests > 3 * max_proposals, "only {lease_requests} lease requests while waiting");
        })
        .await;
}
