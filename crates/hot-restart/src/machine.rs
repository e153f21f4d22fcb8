//! Who accepts when. Two machines, one in each process; the only way from the one to the other is the commit point.

use super::message::PROTOCOL_VERSION;

/// The process that runs, as its successor comes and goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Old {
    /// It serves, and no successor is there.
    #[default]
    Serving,
    /// A successor has its snapshot; it still serves.
    Offered,
    /// The successor accepts; what was taken here is finished here.
    Handed,
}

/// What the old process has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Nothing.
    Nothing,
    /// Send the snapshot.
    Offer,
    /// Refuse, for this reason.
    Refuse(&'static str),
    /// Stop accepting, then say that it is committed, then pass on what is idle.
    Commit,
    /// Accept again: the successor is gone.
    Resume,
}

impl Old {
    /// Whether this process accepts connections.
    pub fn accepts(self) -> bool {
        self != Old::Handed
    }

    /// A process says hello.
    pub fn hello(&mut self, version: u32) -> Act {
        if version != PROTOCOL_VERSION {
            return Act::Refuse("another version");
        }
        if *self != Old::Serving {
            return Act::Refuse("another process is taking over");
        }
        *self = Old::Offered;
        Act::Offer
    }

    /// The successor is ready.
    pub fn ready(&mut self) -> Act {
        if *self != Old::Offered {
            return Act::Nothing;
        }
        *self = Old::Handed;
        Act::Commit
    }

    /// The link to the successor is broken.
    pub fn broken(&mut self) -> Act {
        match std::mem::take(self) {
            Old::Handed => Act::Resume,
            _ => Act::Nothing,
        }
    }
}

/// The process that starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum New {
    /// It has said hello.
    #[default]
    Asking,
    /// It has restored the snapshot and said that it is ready.
    Ready,
    /// It accepts.
    Serving,
}

impl New {
    /// Whether this process accepts connections.
    pub fn accepts(self) -> bool {
        self == New::Serving
    }

    /// The snapshot is restored; whether the old process is to be told.
    pub fn restored(&mut self) -> bool {
        let tells = *self == New::Asking;
        if tells {
            *self = New::Ready;
        }
        tells
    }

    /// The old process has committed, refuses, is silent, is gone, or was never there: from here on this one accepts.
    pub fn alone(&mut self) {
        *self = New::Serving;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{HashSet, VecDeque};

    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    enum Say {
        Hello,
        Snapshot,
        Ready,
        Committed,
    }

    /// Two processes and what is under way between them.
    #[derive(Clone, Debug, PartialEq, Eq, Hash)]
    struct World {
        old: Option<Old>,
        new: Option<New>,
        to_old: VecDeque<Say>,
        to_new: VecDeque<Say>,
        /// Whether each side has yet to notice that the other is dead.
        old_sees: bool,
        new_sees: bool,
    }

    fn steps(w: &World) -> Vec<World> {
        let mut all = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut next = w.clone();
            change(&mut next);
            all.push(next);
        };
        if w.old.is_some() && !w.to_old.is_empty() {
            step(&|n| {
                let (said, old) = (n.to_old.pop_front(), n.old.as_mut().unwrap());
                match said {
                    Some(Say::Hello) if old.hello(PROTOCOL_VERSION) == Act::Offer => {
                        n.to_new.push_back(Say::Snapshot)
                    }
                    Some(Say::Ready) if old.ready() == Act::Commit => n.to_new.push_back(Say::Committed),
                    _ => {}
                }
            });
        }
        if w.new.is_some() && !w.to_new.is_empty() {
            step(&|n| {
                let (said, new) = (n.to_new.pop_front(), n.new.as_mut().unwrap());
                match said {
                    Some(Say::Snapshot) if new.restored() => n.to_old.push_back(Say::Ready),
                    Some(Say::Committed) => new.alone(),
                    _ => {}
                }
            });
        }
        if w.new.is_some() && w.new != Some(New::Serving) {
            // Its patience with a silent partner is over.
            step(&|n| n.new.as_mut().unwrap().alone());
        }
        if w.old.is_some() {
            step(&|n| (n.old, n.new_sees) = (None, true));
        }
        if w.new.is_some() {
            step(&|n| (n.new, n.old_sees) = (None, true));
        }
        // A break is seen after what was said before it.
        if w.old_sees && w.old.is_some() && w.to_old.is_empty() {
            step(&|n| {
                n.old.as_mut().unwrap().broken();
                n.old_sees = false;
            });
        }
        if w.new_sees && w.new.is_some() && w.to_new.is_empty() {
            step(&|n| {
                n.new.as_mut().unwrap().alone();
                n.new_sees = false;
            });
        }
        all
    }

    /// Every order of words, silences and deaths: nobody accepts only while a word or a break is on its way to one that
    /// will, and once both have heard everything exactly one of two live ones has committed.
    #[test]
    fn someone_accepts_in_every_order_of_words_and_deaths() {
        let start = World {
            old: Some(Old::default()),
            new: Some(New::default()),
            to_old: VecDeque::from([Say::Hello]),
            to_new: VecDeque::new(),
            old_sees: false,
            new_sees: false,
        };
        let (mut seen, mut todo) = (HashSet::from([start.clone()]), vec![start]);
        while let Some(world) = todo.pop() {
            let accepts = world.old.is_some_and(Old::accepts) || world.new.is_some_and(New::accepts);
            let pending = !world.to_new.is_empty() || world.old_sees || world.new_sees;
            let alive = world.old.is_some() || world.new.is_some();
            assert!(accepts || pending || !alive, "nobody accepts: {world:?}");
            if world.old == Some(Old::Handed) && world.new.is_some() {
                let committing = world.to_new.contains(&Say::Committed);
                assert!(world.new == Some(New::Serving) || committing, "{world:?}");
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
        let mut old = Old::default();
        assert_eq!(old.hello(PROTOCOL_VERSION + 1), Act::Refuse("another version"));
        assert_eq!((old.ready(), old.hello(PROTOCOL_VERSION)), (Act::Nothing, Act::Offer));
        assert_eq!(old.hello(PROTOCOL_VERSION), Act::Refuse("another process is taking over"));
        assert_eq!(
            (old.broken(), old.hello(PROTOCOL_VERSION), old.ready()),
            (Act::Nothing, Act::Offer, Act::Commit)
        );
        assert!(!old.accepts());
        assert_eq!((old.broken(), old.accepts()), (Act::Resume, true));
    }
}
