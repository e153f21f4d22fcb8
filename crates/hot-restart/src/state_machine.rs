//! State machines of the predecessor and the successor. The commit is the only point at which accepting connections moves
//! from one process to the other.

use super::message::PROTOCOL_VERSION;

/// State of the running process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Predecessor {
    /// Serving without a successor.
    #[default]
    Serving,
    /// Still serving; a successor has been sent the snapshot.
    SnapshotSent,
    /// The successor accepts connections; this process finishes the jobs that it has accepted.
    HandedOver,
}

/// What the predecessor has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorAction {
    /// Nothing.
    Nothing,
    /// Send the snapshot.
    SendSnapshot,
    /// Refuse the successor for this reason.
    Refuse(&'static str),
    /// Stop accepting connections, then send the commit, then pass on idle connections.
    Commit,
    /// Accept connections again, because the successor has died.
    Resume,
}

impl Predecessor {
    /// Whether this process accepts connections.
    pub fn accepts_connections(self) -> bool {
        self != Predecessor::HandedOver
    }

    /// Handles the hello of a new process that speaks this protocol version.
    pub fn on_hello(&mut self, version: u32) -> PredecessorAction {
        if version != PROTOCOL_VERSION {
            return PredecessorAction::Refuse("another version");
        }
        if *self != Predecessor::Serving {
            return PredecessorAction::Refuse("another process is taking over");
        }
        *self = Predecessor::SnapshotSent;
        PredecessorAction::SendSnapshot
    }

    /// Handles the message that the successor is ready.
    pub fn on_ready(&mut self) -> PredecessorAction {
        if *self != Predecessor::SnapshotSent {
            return PredecessorAction::Nothing;
        }
        *self = Predecessor::HandedOver;
        PredecessorAction::Commit
    }

    /// Handles the loss of the link to the successor.
    pub fn on_link_lost(&mut self) -> PredecessorAction {
        match std::mem::take(self) {
            Predecessor::HandedOver => PredecessorAction::Resume,
            _ => PredecessorAction::Nothing,
        }
    }
}

/// State of the starting process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Successor {
    /// The hello is sent; the snapshot has not been restored yet.
    #[default]
    AwaitingSnapshot,
    /// The snapshot is restored and the ready message is sent; waiting for the commit.
    Ready,
    /// Accepting connections.
    Serving,
}

impl Successor {
    /// Whether this process accepts connections.
    pub fn accepts_connections(self) -> bool {
        self == Successor::Serving
    }

    /// Handles the completed restore of the snapshot. Returns whether to tell the predecessor.
    pub fn on_restored(&mut self) -> bool {
        let is_first_restore = *self == Successor::AwaitingSnapshot;
        if is_first_restore {
            *self = Successor::Ready;
        }
        is_first_restore
    }

    /// Starts accepting connections: the predecessor has committed, has refused, does not respond, has died, or did not
    /// exist.
    pub fn start_serving(&mut self) {
        *self = Successor::Serving;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{HashSet, VecDeque};

    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    enum TestMessage {
        Hello,
        Snapshot,
        Ready,
        Committed,
    }

    /// Both processes and the messages in flight between them.
    #[derive(Clone, Debug, PartialEq, Eq, Hash)]
    struct System {
        predecessor: Option<Predecessor>,
        successor: Option<Successor>,
        to_predecessor: VecDeque<TestMessage>,
        to_successor: VecDeque<TestMessage>,
        /// The other process has died, and this one has not noticed it yet.
        predecessor_must_notice: bool,
        successor_must_notice: bool,
    }

    fn next_states(system: &System) -> Vec<System> {
        let mut next_states = Vec::new();
        let mut step = |change: &dyn Fn(&mut System)| {
            let mut next = system.clone();
            change(&mut next);
            next_states.push(next);
        };
        if system.predecessor.is_some() && !system.to_predecessor.is_empty() {
            step(&|next| {
                let (message, predecessor) =
                    (next.to_predecessor.pop_front(), next.predecessor.as_mut().unwrap());
                match message {
                    Some(TestMessage::Hello)
                        if predecessor.on_hello(PROTOCOL_VERSION) == PredecessorAction::SendSnapshot =>
                    {
                        next.to_successor.push_back(TestMessage::Snapshot)
                    }
                    Some(TestMessage::Ready) if predecessor.on_ready() == PredecessorAction::Commit => {
                        next.to_successor.push_back(TestMessage::Committed)
                    }
                    _ => {}
                }
            });
        }
        if system.successor.is_some() && !system.to_successor.is_empty() {
            step(&|next| {
                let (message, successor) = (next.to_successor.pop_front(), next.successor.as_mut().unwrap());
                match message {
                    Some(TestMessage::Snapshot) if successor.on_restored() => {
                        next.to_predecessor.push_back(TestMessage::Ready)
                    }
                    Some(TestMessage::Committed) => successor.start_serving(),
                    _ => {}
                }
            });
        }
        if system.successor.is_some() && system.successor != Some(Successor::Serving) {
            // It stops waiting for a predecessor that does not respond.
            step(&|next| next.successor.as_mut().unwrap().start_serving());
        }
        if system.predecessor.is_some() {
            step(&|next| (next.predecessor, next.successor_must_notice) = (None, true));
        }
        if system.successor.is_some() {
            step(&|next| (next.successor, next.predecessor_must_notice) = (None, true));
        }
        // The loss of the link is noticed after all earlier messages have been received.
        if system.predecessor_must_notice && system.predecessor.is_some() && system.to_predecessor.is_empty()
        {
            step(&|next| {
                next.predecessor.as_mut().unwrap().on_link_lost();
                next.predecessor_must_notice = false;
            });
        }
        if system.successor_must_notice && system.successor.is_some() && system.to_successor.is_empty() {
            step(&|next| {
                next.successor.as_mut().unwrap().start_serving();
                next.successor_must_notice = false;
            });
        }
        next_states
    }

    /// Explores every order of messages, timeouts and deaths. A live process accepts connections unless a message or the
    /// loss of the link is still on its way, and after a commit the successor serves or is about to.
    #[test]
    fn a_process_accepts_connections_in_every_order_of_messages_and_deaths() {
        let start = System {
            predecessor: Some(Predecessor::default()),
            successor: Some(Successor::default()),
            to_predecessor: VecDeque::from([TestMessage::Hello]),
            to_successor: VecDeque::new(),
            predecessor_must_notice: false,
            successor_must_notice: false,
        };
        let (mut explored, mut pending_states) = (HashSet::from([start.clone()]), vec![start]);
        while let Some(system) = pending_states.pop() {
            let accepts = system.predecessor.is_some_and(Predecessor::accepts_connections)
                || system.successor.is_some_and(Successor::accepts_connections);
            let pending = !system.to_successor.is_empty()
                || system.predecessor_must_notice
                || system.successor_must_notice;
            let alive = system.predecessor.is_some() || system.successor.is_some();
            assert!(accepts || pending || !alive, "no process accepts connections: {system:?}");
            if system.predecessor == Some(Predecessor::HandedOver) && system.successor.is_some() {
                let committing = system.to_successor.contains(&TestMessage::Committed);
                assert!(system.successor == Some(Successor::Serving) || committing, "{system:?}");
            }
            for next in next_states(&system) {
                if explored.insert(next.clone()) {
                    pending_states.push(next);
                }
            }
        }
        assert!(explored.len() > 30, "only {} states explored", explored.len());
    }

    #[test]
    fn only_one_successor_of_the_same_version_is_served_at_a_time() {
        let mut predecessor = Predecessor::default();
        assert_eq!(predecessor.on_hello(PROTOCOL_VERSION + 1), PredecessorAction::Refuse("another version"));
        assert_eq!(
            (predecessor.on_ready(), predecessor.on_hello(PROTOCOL_VERSION)),
            (PredecessorAction::Nothing, PredecessorAction::SendSnapshot)
        );
        assert_eq!(
            predecessor.on_hello(PROTOCOL_VERSION),
            PredecessorAction::Refuse("another process is taking over")
        );
        assert_eq!(
            (predecessor.on_link_lost(), predecessor.on_hello(PROTOCOL_VERSION), predecessor.on_ready()),
            (PredecessorAction::Nothing, PredecessorAction::SendSnapshot, PredecessorAction::Commit)
        );
        assert!(!predecessor.accepts_connections());
        assert_eq!(
            (predecessor.on_link_lost(), predecessor.accepts_connections()),
            (PredecessorAction::Resume, true)
        );
    }
}
