//! What a worker's words on starts and ends tell of its queue, of how fast it works, and of the subjects whose data it
//! has at hand. Estimates alone: nothing is decided here.

use crate::api::{AffinityKey, Nanos, RequestId};
use crate::decay::decay_factor;
use std::collections::VecDeque;

/// How much a job that has ended moves the pace learned of its worker.
const PART: f64 = 0.25;
/// How much it moves what is usual there.
const USUAL: f64 = 0.03;
/// What was learned of late is forgotten but for 1/e in this time, in nanoseconds, while nothing ends there.
const RETURN: f64 = 5e9;
/// A queue is taken to have shrunk by this part of the time since it was last seen.
const SHRINK: f64 = 0.15;
/// Subjects that a worker is taken to keep: those of the last own jobs that it served.
const KEPT: usize = 6;
/// A running job that has taken this many times what its worker's pace lets expect shows that the pace has changed.
const OVERDUE: f64 = 1.5;
/// The way there and back with a new connection, in nanoseconds, until one has been seen.
const WAY: f64 = 5e7;

/// An own attempt that is out.
#[derive(Clone, Debug)]
struct Out {
    id: RequestId,
    attempt: u32,
    sent: Nanos,
    started: Option<Nanos>,
    /// Its work on a standard core, in nanoseconds, as far as is known.
    work: f64,
    key: Option<AffinityKey>,
    /// Its subject's data was likely at hand.
    kept: bool,
}

/// A worker's queue, pace and memory, as far as own attempts show them. Attempts out are bounded by those of the
/// dispatcher, which ends each.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    out: Vec<Out>,
    keys: VecDeque<AffinityKey>,
    /// The wait of the job that started last, in nanoseconds without the way, and when that was.
    wait: f64,
    seen: Nanos,
    /// The least time from send to start: the way there and back, and perhaps a new connection.
    least: Option<f64>,
    /// Time of running for a unit of work: of late, over a long time, and when the last one ended. None before the
    /// first end.
    pace: Option<(f64, f64, Nanos)>,
}

impl Meter {
    /// Its process has started anew: its queue and its data are gone. The machine is as fast as it was.
    pub(crate) fn restarted(&mut self) {
        self.keys.clear();
        self.wait = 0.0;
    }

    /// An attempt has left.
    pub(crate) fn sent(
        &mut self,
        id: RequestId,
        attempt: u32,
        now: Nanos,
        work: f64,
        key: Option<AffinityKey>,
    ) {
        let kept = self.keeps(key);
        self.out.push(Out { id, attempt, sent: now, started: None, work: work.max(1.0), key, kept });
    }

    /// The worker says that it has begun to run it.
    pub(crate) fn started(&mut self, id: RequestId, attempt: u32, now: Nanos) {
        let Some(out) = self.out.iter_mut().find(|o| o.id == id && o.attempt == attempt) else { return };
        if out.started.replace(now).is_none() {
            let wait = now.saturating_sub(out.sent) as f64;
            let least = self.least.get_or_insert(wait);
            *least = least.min(wait);
            (self.wait, self.seen) = (wait - *least, now);
        }
    }

    /// It is over; whether it was served. How much longer it ran than the pace lets expect, in nanoseconds, where it
    /// likely had to fetch its subject's data.
    pub(crate) fn ended(&mut self, id: RequestId, attempt: u32, now: Nanos, served: bool) -> Option<f64> {
        let at = self.out.iter().position(|o| o.id == id && o.attempt == attempt)?;
        let out = self.out.swap_remove(at);
        if let (Some(key), true) = (out.key, served) {
            self.keys.retain(|k| *k != key);
            self.keys.push_back(key);
            if self.keys.len() > KEPT {
                self.keys.pop_front();
            }
        }
        let run = now.saturating_sub(out.started.filter(|_| served)?) as f64;
        match &mut self.pace {
            Some((pace, _, at)) if !out.kept => {
                *at = now;
                Some(run - *pace * out.work)
            }
            Some((pace, usual, at)) => {
                *pace += (run / out.work - *pace) * PART;
                *usual += (run / out.work - *usual) * USUAL;
                *at = now;
                None
            }
            None => {
                self.pace = Some((run / out.work, run / out.work, now));
                None
            }
        }
    }

    /// Whether it likely has the data of a subject at hand.
    pub(crate) fn keeps(&self, key: Option<AffinityKey>) -> bool {
        key.is_none_or(|k| self.keys.contains(&k))
    }

    /// Own attempts that have not begun, as far as is known.
    fn waiting(&self) -> impl Iterator<Item = &Out> {
        self.out.iter().filter(|o| o.started.is_none())
    }

    /// Time that a job sent now would wait there, in nanoseconds: as long as the last one did, less what the
    /// queue may have shrunk since, and no shorter than the oldest one has waited that has not begun.
    pub(crate) fn wait(&self, now: Nanos) -> f64 {
        let last = self.wait - SHRINK * now.saturating_sub(self.seen) as f64;
        let oldest = self.waiting().map(|o| now.saturating_sub(o.sent)).max().unwrap_or(0) as f64;
        last.max(oldest - self.least.unwrap_or(WAY)).max(0.0)
    }

    /// When a job of so much work that is sent now will end, in nanoseconds of the clock. `fetch` is how much longer it
    /// runs where its subject's data is not at hand, `ahead` what each own job that has not begun adds to its wait.
    pub(crate) fn end(
        &self,
        now: Nanos,
        work: f64,
        like: f64,
        key: Option<AffinityKey>,
        fetch: f64,
        ahead: f64,
    ) -> f64 {
        let waiting = self.waiting().count() as f64;
        let fetch = if self.keeps(key) { 0.0 } else { fetch.max(0.0) };
        now as f64 + self.wait(now) + waiting * ahead + work * self.pace(now, like) + fetch
    }

    /// Time of running for a unit of work (that of its `like` before the first end, or 1): as learned, or what a job has
    /// taken already if that is much more. A worker that is left alone because it was slow would never show that it no
    /// longer is, so what was learned of late gives way to what is usual there.
    pub(crate) fn pace(&self, now: Nanos, like: f64) -> f64 {
        let Some((pace, usual, at)) = self.pace else { return if like > 0.0 { like } else { 1.0 } };
        let pace = usual + (pace - usual) * decay_factor(now.saturating_sub(at), RETURN);
        let running = self.out.iter().filter_map(|o| Some(now.saturating_sub(o.started?) as f64 / o.work));
        let most = running.fold(0.0, f64::max);
        if most > OVERDUE * pace { most } else { pace }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn waits_follow_the_last_start_and_the_oldest_that_has_not_begun() {
        let mut meter = Meter::default();
        let id = RequestId;
        meter.sent(id(1), 0, 0, 1e8, None);
        meter.started(id(1), 0, 10 * MS);
        assert_eq!(meter.wait(10 * MS), 0.0, "the way there and back is no wait");
        meter.sent(id(2), 0, 20 * MS, 1e8, None);
        assert_eq!(meter.wait(230 * MS), 200e6, "it has waited 200 ms beyond the way");
        meter.started(id(2), 0, 330 * MS);
        assert_eq!(meter.wait(330 * MS), 300e6);
        assert!(meter.wait(3000 * MS) < 1.0, "an old wait is over");
        assert_eq!(meter.ended(id(3), 0, 0, true), None, "a stranger's end says nothing");
    }

    #[test]
    fn pace_is_learned_with_data_at_hand_and_fetching_shows_beside_it() {
        let mut meter = Meter::default();
        assert_eq!((meter.pace(0, 0.0), meter.pace(0, 3.0)), (1.0, 3.0), "at first it is as its like");
        let mut run = |n: u64, key: u64, took: Nanos| {
            let at = n * 1000 * MS;
            meter.sent(RequestId(n), 0, at, 100e6, Some(AffinityKey(key)));
            meter.started(RequestId(n), 0, at);
            let extra = meter.ended(RequestId(n), 0, at + took, true);
            (extra, meter.pace(at + took, 3.0))
        };
        assert_eq!(run(1, 7, 200 * MS), (None, 2.0));
        assert_eq!(run(2, 7, 200 * MS), (None, 2.0));
        assert_eq!(run(3, 8, 260 * MS), (Some(60e6), 2.0), "a new subject's data had to be fetched");
        assert_eq!(run(4, 8, 200 * MS), (None, 2.0));
        assert!(meter.keeps(Some(AffinityKey(7))) && !meter.keeps(Some(AffinityKey(9))));
        meter.sent(RequestId(5), 0, 0, 100e6, Some(AffinityKey(7)));
        meter.started(RequestId(5), 0, 0);
        assert_eq!(
            meter.pace(800 * MS, 0.0),
            8.0,
            "one that runs four times as long as it should tells before it ends"
        );
    }
}
