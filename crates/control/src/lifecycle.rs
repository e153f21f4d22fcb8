//! The state of the service: in, draining, or ending. Health, admission, the listener and SIGTERM ask this one machine.

use super::Nanos;
use serde::{Deserialize, Serialize};

/// The platform waits this long for what is under way when it asks for the end, and for the longest deadline,
const NOTICE: Nanos = 700_000_000;
/// of which it counts no more than this.
const LONGEST: Nanos = 3_000_000_000;
/// Time kept free before the platform may kill, for answers to get out: a process may be held up for 0.15 s between its
/// clock and its write. Always less than [`NOTICE`].
const MARGIN: Nanos = 200_000_000;
/// In a drain the front sends new connections for 0.2 s after it has seen health fail, which it asks every 0.1 s: only
/// from here on are clients told to leave their connections with an answer.
const SEEN: Nanos = 400_000_000;
/// In a drain jobs are taken for this long. 4 s after the call no connection may hold a job of the last 2 s.
const TAKES: Nanos = 1_700_000_000;

/// What the scheduler is at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LifecycleState {
    /// It takes clients.
    #[default]
    #[serde(rename = "In")]
    Serving,
    /// Staff took it out of service then.
    #[serde(rename = "Draining")]
    Draining(Nanos),
    /// Its process was told to end then; nothing leads back.
    #[serde(rename = "Ending")]
    ShuttingDown(Nanos),
}

impl LifecycleState {
    /// Since when it is so; 0 in service.
    pub fn since(self) -> Nanos {
        match self {
            LifecycleState::Serving => 0,
            LifecycleState::Draining(at) | LifecycleState::ShuttingDown(at) => at,
        }
    }
}

/// The machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    state: LifecycleState,
    /// The longest time that a client waits.
    longest_wait: Nanos,
    /// No other scheduler serves its clients.
    is_only_scheduler: bool,
}

impl Lifecycle {
    /// In service, for clients that wait no longer than `longest`; whether no other scheduler serves them.
    pub fn new(longest_wait: Nanos, is_only_scheduler: bool) -> Lifecycle {
        Lifecycle { state: LifecycleState::Serving, longest_wait, is_only_scheduler }
    }

    /// The state.
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Clients wait no longer than this from now on; an end already asked for stays timed as it was.
    pub fn set_longest_wait(&mut self, longest_wait: Nanos) {
        if !self.is_shutting_down() {
            self.longest_wait = longest_wait;
        }
    }

    /// Staff take it out of service; true if that changes anything.
    pub fn start_drain(&mut self, now: Nanos) -> bool {
        self.transition(self.state == LifecycleState::Serving, LifecycleState::Draining(now))
    }

    /// Staff put it back; true if that changes anything. An end cannot be taken back.
    pub fn end_drain(&mut self) -> bool {
        self.transition(matches!(self.state, LifecycleState::Draining(_)), LifecycleState::Serving)
    }

    /// The process is told to end; true the first time.
    pub fn start_shutdown(&mut self, now: Nanos) -> bool {
        self.transition(!self.is_shutting_down(), LifecycleState::ShuttingDown(now))
    }

    /// Takes over the state of a process that this one replaces. Its end is not ours.
    pub fn adopt(&mut self, state: LifecycleState) {
        self.transition(!self.is_shutting_down() && !matches!(state, LifecycleState::ShuttingDown(_)), state);
    }

    fn transition(&mut self, may: bool, to: LifecycleState) -> bool {
        if may {
            self.state = to;
        }
        may
    }

    /// The process was told to end.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self.state, LifecycleState::ShuttingDown(_))
    }

    /// Whether new clients may come.
    pub fn is_healthy(&self) -> bool {
        self.state == LifecycleState::Serving
    }

    /// When jobs cease to be taken and idle connections close. At an end clients keep to the connections that they
    /// have, and while a peer restarts as well nobody else serves them: those stay in use for half of the wait, and the
    /// other half is left to what was taken last. Nobody else serves the clients of a lone scheduler, so it takes jobs to
    /// the last moment: one that does not end in time is lost either way.
    pub fn closes_at(&self) -> Option<Nanos> {
        match self.state {
            LifecycleState::Serving => None,
            LifecycleState::Draining(at) => Some(at + TAKES),
            LifecycleState::ShuttingDown(at) => {
                let last_moment = self.last_answer(at) - self.last_job_time();
                Some(if self.is_only_scheduler {
                    last_moment
                } else {
                    last_moment.min(at + NOTICE + self.wait() / 2)
                })
            }
        }
    }

    /// Nothing new is taken any more, and nothing idle stays.
    pub fn refuses_jobs(&self, now: Nanos) -> bool {
        self.closes_at().is_some_and(|at| now >= at)
    }

    /// Whether an answer given now says that its connection closes.
    pub fn announces_close(&self, now: Nanos) -> bool {
        self.refuses_jobs(now) || matches!(self.state, LifecycleState::Draining(at) if now >= at + SEEN)
    }

    /// By when a flow that is taken now must have its answer: what is taken after the notice of an end is lost if the
    /// platform's kill finds it open.
    pub fn answer_deadline(&self) -> Option<Nanos> {
        match self.state {
            LifecycleState::ShuttingDown(at) => Some(self.last_answer(at)),
            _ => None,
        }
    }

    /// When the last answer has to be out, after a notice at this time.
    fn last_answer(&self, notice: Nanos) -> Nanos {
        notice + NOTICE + self.wait() - MARGIN
    }

    /// The least time left to what is taken last.
    fn last_job_time(&self) -> Nanos {
        MARGIN.min(self.wait() / 4)
    }

    fn wait(&self) -> Nanos {
        self.longest_wait.min(LONGEST)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn a_drain_takes_jobs_parts_with_its_clients_and_is_over_in_time() {
        let mut lifecycle = Lifecycle::new(5_000 * MS, false);
        assert!(
            lifecycle.start_drain(0) && !lifecycle.start_drain(1_000 * MS),
            "a second call does not begin it anew"
        );
        let at = |ms: Nanos| {
            (lifecycle.is_healthy(), lifecycle.announces_close(ms * MS), lifecycle.refuses_jobs(ms * MS))
        };
        assert_eq!(
            [at(0), at(399), at(400)],
            [(false, false, false), (false, false, false), (false, true, false)]
        );
        assert_eq!([at(1_699), at(1_700)], [(false, true, false), (false, true, true)]);
        assert_eq!(lifecycle.answer_deadline(), None, "a drain leaves jobs their time");
        assert!(lifecycle.end_drain() && !lifecycle.end_drain());
        assert!(lifecycle.is_healthy() && !lifecycle.announces_close(5_000 * MS));
    }

    #[test]
    fn an_end_is_final_and_keeps_half_of_the_wait_for_what_was_taken_last() {
        let mut lifecycle = Lifecycle::new(5_000 * MS, false);
        lifecycle.start_drain(0);
        assert!(lifecycle.start_shutdown(100 * MS) && !lifecycle.start_shutdown(200 * MS));
        assert!(!lifecycle.end_drain() && !lifecycle.start_drain(300 * MS));
        lifecycle.set_longest_wait(1);
        assert_eq!(lifecycle.closes_at(), Some(2_300 * MS));
        assert_eq!(lifecycle.answer_deadline(), Some(3_600 * MS));
        let mut alone = Lifecycle::new(5_000 * MS, true);
        alone.start_shutdown(100 * MS);
        assert_eq!((alone.closes_at(), alone.answer_deadline()), (Some(3_400 * MS), Some(3_600 * MS)));
    }

    proptest! {
        /// Whatever is said in whatever order: health is said exactly while in service, an end never ends, and what
        /// refuses also parts.
        #[test]
        fn every_order_of_words_leaves_one_clear_state(words in prop::collection::vec(0u8..4, 0..30)) {
            let mut lifecycle = Lifecycle::new(3_000 * MS, false);
            let mut ended = false;
            for (i, word) in words.into_iter().enumerate() {
                let now = i as Nanos * 500 * MS;
                match word {
                    0 => _ = lifecycle.start_drain(now),
                    1 => _ = lifecycle.end_drain(),
                    2 => lifecycle.adopt(LifecycleState::ShuttingDown(now)),
                    _ => { ended = true; lifecycle.start_shutdown(now); }
                }
                prop_assert_eq!(lifecycle.is_shutting_down(), ended);
                prop_assert_eq!(lifecycle.is_healthy(), lifecycle.closes_at().is_none());
                prop_assert!(!lifecycle.refuses_jobs(now) || lifecycle.announces_close(now));
                prop_assert_eq!(lifecycle.answer_deadline().is_some(), ended);
            }
        }
    }
}
