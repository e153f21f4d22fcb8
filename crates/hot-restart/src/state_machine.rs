//! Who accepts when. Two machines, one in each process; the only way from the one to the other is the commit point.

use super::message::PROTOCOL_VERSION;

/// The process that runs, as its successor comes and goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Predecessor {
    /// It serves, and no successor is there.
    #[default]
    Serving,
    /// A successor has its snapshot; it still serves.
    SnapshotSent,
    /// The successor accepts; what was taken here is finished here.
    HandedOver,
}

/// What the old process has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorAction {
    /// Nothing.
    Nothing,
    /// Send the snapshot.
    SendSnapshot,
    /// Refuse, for this reason.
    Refuse(&'static str),
    /// Stop accepting, then say that it is committed, then pass on what is idle.
    Commit,
    /// Accept again: the successor is gone.
    Resume,
}

impl Predecessor {
    /// Whether this process accepts connections.
    pub fn accepts_connections(self) -> bool {
        self != Predecessor::HandedOver
    }

    /// A process says hello.
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

    /// The successor is ready.
    pub fn on_ready(&mut self) -> PredecessorAction {
        if *self != Predecessor::SnapshotSent {
            return PredecessorAction::Nothing;
        }
        *self = Predecessor::HandedOver;
        PredecessorAction::Commit
    }

    /// The link to the successor is broken.
    pub fn on_link_lost(&mut self) -> PredecessorAction {
        match std::mem::take(self) {
            Predecessor::HandedOver => PredecessorAction::Resume,
            _ => PredecessorAction::Nothing,
        }
    }
}

/// The process that starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Successor {
    /// It has said hello.
    #[default]
    AwaitingSnapshot,
    /// It has restored the snapshot and said that it is ready.
    Ready,
    /// It accepts.
    Serving,
}

impl Successor {
    /// Whether this process accepts connections.
    pub fn accepts_connections(self) -> bool {
        self == Successor::Serving
    }

    /// The snapshot is restored; whether the old process is to be told.
    pub fn on_restored(&mut self) -> bool {
        let tells = *self == Successor::AwaitingSnapshot;
        if tells {
            *self = Successor::Ready;
        }
        tells
    }

    /// The old process has committed, refuses, is silent, is gone, or was never there: from here on this one accepts.
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

    /// Two processes and what is under way between them.
    #[derive(Clone, Debug, PartialEq, Eq, Hash)]
    struct World {
        predecessor: Option<Predecessor>,
        successor: Option<Successor>,
        to_predecessor: VecDeque<TestMessage>,
        to_successor: VecDeque<TestMessage>,
        /// Whether each side has yet to notice that the other is dead.
        predecessor_notices: bool,
        successor_notices: bool,
    }

    fn steps(w: &World) -> Vec<World> {
        let mut all = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut next = w.clone();
            change(&mut next);
            all.push(next);
        };
        if w.predecessor.is_some() && !w.to_predecessor.is_empty() {
            step(&|n| {
                let (said, predecessor) = (n.to_predecessor.pop_front(), n.predecessor.as_mut().unwrap());
                match said {
                    Some(TestMessage::Hello)
                        if predecessor.on_hello(PROTOCOL_VERSION) == PredecessorAction::SendSnapshot =>
                    {
                        n.to_successor.push_back(TestMessage::Snapshot)
                    }
                    Some(TestMessage::Ready) if predecessor.on_ready() == PredecessorAction::Commit => {
                        n.to_successor.push_back(TestMessage::Committed)
                    }
                    _ => {}
                }
            });
        }
        if w.successor.is_some() && !w.to_successor.is_empty() {
            step(&|n| {
                let (said, successor) = (n.to_successor.pop_front(), n.successor.as_mut().unwrap());
                match said {
                    Some(TestMessage::Snapshot) if successor.on_restored() => {
                        n.to_predecessor.push_back(TestMessage::Ready)
                    }
                    Some(TestMessage::Committed) => successor.start_serving(),
                    _ => {}
                }
            });
        }
        if w.successor.is_some() && w.successor != Some(Successor::Serving) {
            // Its patience with a silent partner is over.
            step(&|n| n.successor.as_mut().unwrap().start_serving());
        }
        if w.predecessor.is_some() {
            step(&|n| (n.predecessor, n.successor_notices) = (None, true));
        }
        if w.successor.is_some() {
            step(&|n| (n.successor, n.predecessor_notices) = (None, true));
        }
        // A break is seen after what was said before it.
        if w.predecessor_notices && w.predecessor.is_some() && w.to_predecessor.is_empty() {
            step(&|n| {
                n.predecessor.as_mut().unwrap().on_link_lost();
                n.predecessor_notices = false;
            });
        }
        if w.successor_notices && w.successor.is_some() && w.to_successor.is_empty() {
            step(&|n| {
                n.successor.as_mut().unwrap().start_serving();
                n.successor_notices = false;
            });
        }
        all
    }

    /// Every order of words, silences and deaths: nobody accepts only while a word or a break is on its way to one that
    /// will, and once both have heard everything exactly one of two live ones has committed.
    #[test]
    fn someone_accepts_in_every_order_of_words_and_deaths() {
        let start = World {
            predecessor: Some(Predecessor::default()),
            successor: Some(Successor::default()),
            to_predecessor: VecDeque::from([TestMessage::Hello]),
            to_successor: VecDeque::new(),
            predecessor_notices: false,
            successor_notices: false,
        };
        let (mut seen, mut todo) = (HashSet::from([start.clone()]), vec![start]);
        while let Some(world) = todo.pop() {
            let accepts = world.predecessor.is_some_and(Predecessor::accepts_connections)
                || world.successor.is_some_and(Successor::accepts_connections);
            let pending =
                !world.to_successor.is_empty() || world.predecessor_notices || world.successor_notices;
            let alive = world.predecessor.is_some() || world.successor.is_some();
            assert!(accepts || pending || !alive, "nobody accepts: {world:?}");
            if world.predecessor == Some(Predecessor::HandedOver) && world.successor.is_some() {
                let committing = world.to_successor.contains(&TestMessage::Committed);
                assert!(world.successor == Some(Successor::Serving) || committing, "{world:?}");
            }
            for next in steps(&world) {
                if seen.insert(next.clone()) {
                    todo.push(next);
                }
            }
        }
        assert!(seen.len() > 30, "{} worlds", seen.len());
    }

    #[test]
    fn one_successor_at_a_time_and_of_this_version() {
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
