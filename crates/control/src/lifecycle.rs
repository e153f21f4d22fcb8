//! Lifecycle of the scheduler: serving, draining or shutting down. Health checks, admission, the listener and the handling
//! of SIGTERM all use this state.

use super::Nanos;
use serde::{Deserialize, Serialize};

/// After SIGTERM the platform waits this long before it kills the process, in addition to the longest client deadline.
const KILL_GRACE: Nanos = 700_000_000;
/// The part of the longest client deadline that the platform waits for at most.
const MAX_COUNTED_WAIT: Nanos = 3_000_000_000;
/// Time between the last answer and the platform's kill: a process can stall for 0.15 s between reading the clock and
/// writing the answer. Always less than [`KILL_GRACE`].
const ANSWER_MARGIN: Nanos = 200_000_000;
/// Time from the start of a drain until answers announce that their connection closes. The front polls health every 0.1 s
/// and sends new connections for another 0.2 s after a failed poll.
const CLOSE_ANNOUNCEMENT_DELAY: Nanos = 400_000_000;
/// Time from the start of a drain until jobs are refused. 4 s after the start no connection may hold a job of the last
/// 2 s.
const DRAIN_ACCEPT_TIME: Nanos = 1_700_000_000;

/// State of the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LifecycleState {
    /// Clients are accepted.
    #[default]
    #[serde(rename = "In")]
    Serving,
    /// An operator started a drain at this time.
    #[serde(rename = "Draining")]
    Draining(Nanos),
    /// The process received SIGTERM or SIGINT at this time. Final.
    #[serde(rename = "Ending")]
    ShuttingDown(Nanos),
}

impl LifecycleState {
    /// Returns the time of the transition to this state, or 0 while serving.
    pub fn since(self) -> Nanos {
        match self {
            LifecycleState::Serving => 0,
            LifecycleState::Draining(at) | LifecycleState::ShuttingDown(at) => at,
        }
    }
}

/// State machine of the lifecycle.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    state: LifecycleState,
    /// The longest time that a client waits for an answer.
    longest_wait: Nanos,
    /// Whether no other scheduler serves the clients.
    is_only_scheduler: bool,
}

impl Lifecycle {
    /// Returns a lifecycle in state [`LifecycleState::Serving`]. Clients wait no longer than `longest_wait` for an answer.
    pub fn new(longest_wait: Nanos, is_only_scheduler: bool) -> Lifecycle {
        Lifecycle { state: LifecycleState::Serving, longest_wait, is_only_scheduler }
    }

    /// Returns the current state.
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Sets the longest time that a client waits, and whether no other scheduler serves the clients. The times of a shutdown
    /// that has already started do not change.
    pub fn reconfigure(&mut self, longest_wait: Nanos, is_only_scheduler: bool) {
        if !self.is_shutting_down() {
            self.longest_wait = longest_wait;
            self.is_only_scheduler = is_only_scheduler;
        }
    }

    /// Starts a drain if the state is serving. Returns whether the state changed.
    pub fn start_drain(&mut self, now: Nanos) -> bool {
        self.transition(self.state == LifecycleState::Serving, LifecycleState::Draining(now))
    }

    /// Ends a drain. Returns whether the state changed; a shutdown cannot be undone.
    pub fn end_drain(&mut self) -> bool {
        self.transition(matches!(self.state, LifecycleState::Draining(_)), LifecycleState::Serving)
    }

    /// Starts the shutdown. Returns whether the state changed.
    pub fn start_shutdown(&mut self, now: Nanos) -> bool {
        self.transition(!self.is_shutting_down(), LifecycleState::ShuttingDown(now))
    }

    /// Adopts the state of the predecessor in a hot restart, unless the predecessor is shutting down.
    pub fn adopt(&mut self, state: LifecycleState) {
        self.transition(!self.is_shutting_down() && !matches!(state, LifecycleState::ShuttingDown(_)), state);
    }

    fn transition(&mut self, is_allowed: bool, to: LifecycleState) -> bool {
        if is_allowed {
            self.state = to;
        }
        is_allowed
    }

    /// Whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self.state, LifecycleState::ShuttingDown(_))
    }

    /// Whether the health check succeeds, so that new clients connect.
    pub fn is_healthy(&self) -> bool {
        self.state == LifecycleState::Serving
    }

    /// Returns the time from which jobs are refused and idle connections are closed.
    ///
    /// During a shutdown clients keep using their connections, and other schedulers may be unable to serve them, for
    /// example while a peer restarts too. Jobs are therefore accepted for the grace time and half of the longest wait; the
    /// other half is left to the jobs accepted last. An only scheduler accepts jobs until the last possible moment: a job
    /// that it refuses is lost just like a job that does not finish in time.
    pub fn closes_at(&self) -> Option<Nanos> {
        match self.state {
            LifecycleState::Serving => None,
            LifecycleState::Draining(at) => Some(at + DRAIN_ACCEPT_TIME),
            LifecycleState::ShuttingDown(at) => {
                let last_moment = self.last_answer(at) - self.last_job_time();
                Some(if self.is_only_scheduler {
                    last_moment
                } else {
                    last_moment.min(at + KILL_GRACE + self.counted_wait() / 2)
                })
            }
        }
    }

    /// Whether new jobs are refused and idle connections are closed.
    pub fn refuses_jobs(&self, now: Nanos) -> bool {
        self.closes_at().is_some_and(|at| now >= at)
    }

    /// Whether an answer sent now announces that its connection closes.
    pub fn announces_close(&self, now: Nanos) -> bool {
        self.refuses_jobs(now)
            || matches!(self.state, LifecycleState::Draining(at) if now >= at + CLOSE_ANNOUNCEMENT_DELAY)
    }

    /// Returns the time by which a flow accepted now must be answered, if the process is shutting down: a flow still open
    /// when the platform kills the process is lost.
    pub fn answer_deadline(&self) -> Option<Nanos> {
        match self.state {
            LifecycleState::ShuttingDown(at) => Some(self.last_answer(at)),
            _ => None,
        }
    }

    /// Returns the time by which the last answer must be sent if the shutdown started at this time.
    fn last_answer(&self, shutdown_start: Nanos) -> Nanos {
        shutdown_start + KILL_GRACE + self.counted_wait() - ANSWER_MARGIN
    }

    /// Returns the time between the last accepted job and the last answer.
    fn last_job_time(&self) -> Nanos {
        ANSWER_MARGIN.min(self.counted_wait() / 4)
    }

    /// Returns the part of the longest wait that the platform waits for.
    fn counted_wait(&self) -> Nanos {
        self.longest_wait.min(MAX_COUNTED_WAIT)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn a_drain_fails_health_then_announces_closes_then_refuses_jobs() {
        let mut lifecycle = Lifecycle::new(5_000 * MS, false);
        assert!(
            lifecycle.start_drain(0) && !lifecycle.start_drain(1_000 * MS),
            "a second call does not restart the drain"
        );
        let at = |ms: Nanos| {
            (lifecycle.is_healthy(), lifecycle.announces_close(ms * MS), lifecycle.refuses_jobs(ms * MS))
        };
        assert_eq!(
            [at(0), at(399), at(400)],
            [(false, false, false), (false, false, false), (false, true, false)]
        );
        assert_eq!([at(1_699), at(1_700)], [(false, true, false), (false, true, true)]);
        assert_eq!(lifecycle.answer_deadline(), None, "a drain shortens no deadline");
        assert!(lifecycle.end_drain() && !lifecycle.end_drain());
        assert!(lifecycle.is_healthy() && !lifecycle.announces_close(5_000 * MS));
    }

    #[test]
    fn a_shutdown_is_final_and_accepts_jobs_for_half_of_the_longest_wait() {
        let mut lifecycle = Lifecycle::new(5_000 * MS, false);
        lifecycle.start_drain(0);
        assert!(lifecycle.start_shutdown(100 * MS) && !lifecycle.start_shutdown(200 * MS));
        assert!(!lifecycle.end_drain() && !lifecycle.start_drain(300 * MS));
        lifecycle.reconfigure(1, true);
        assert_eq!(lifecycle.closes_at(), Some(2_300 * MS));
        assert_eq!(lifecycle.answer_deadline(), Some(3_600 * MS));
        let mut only_scheduler = Lifecycle::new(5_000 * MS, true);
        only_scheduler.start_shutdown(100 * MS);
        assert_eq!(
            (only_scheduler.closes_at(), only_scheduler.answer_deadline()),
            (Some(3_400 * MS), Some(3_600 * MS))
        );
    }

    proptest! {
        /// For any sequence of transitions: health succeeds exactly while no close is due, a shutdown is final, and
        /// answers announce a close whenever jobs are refused.
        #[test]
        fn the_state_is_consistent_after_any_sequence_of_transitions(transitions in prop::collection::vec(0u8..4, 0..30)) {
            let mut lifecycle = Lifecycle::new(3_000 * MS, false);
            let mut shutdown_started = false;
            for (i, transition) in transitions.into_iter().enumerate() {
                let now = i as Nanos * 500 * MS;
                match transition {
                    0 => _ = lifecycle.start_drain(now),
                    1 => _ = lifecycle.end_drain(),
                    2 => lifecycle.adopt(LifecycleState::ShuttingDown(now)),
                    _ => { shutdown_started = true; lifecycle.start_shutdown(now); }
                }
                prop_assert_eq!(lifecycle.is_shutting_down(), shutdown_started);
                prop_assert_eq!(lifecycle.is_healthy(), lifecycle.closes_at().is_none());
                prop_assert!(!lifecycle.refuses_jobs(now) || lifecycle.announces_close(now));
                prop_assert_eq!(lifecycle.answer_deadline().is_some(), shutdown_started);
            }
        }
    }
}
