//! Message traffic in a dispatcher's group: whether the other members are still reachable, and which share of
//! the group's sends is this dispatcher's own.

use crate::api::Nanos;
use crate::decay::update_mean;

/// Messages over which the own share is averaged.
const AVERAGING_MESSAGES: f64 = 300.0;
/// Messages before the own share counts as known.
const MIN_MESSAGES: f64 = 30.0;
/// Mean intervals between messages that pass before the group counts as silent.
const SILENCE_INTERVALS: f64 = 8.0;
/// Additional time in nanoseconds before the group counts as silent.
const MIN_SILENCE_NS: f64 = 200e6;
/// Messages within this time of each other are one burst.
const BURST_NS: Nanos = 1_000_000;
/// Standard deviations of random load that the own share leaves room for.
const SHARE_SIGMAS: f64 = 1.5;
/// After this silence in nanoseconds the own share starts to grow, up to all slots after twice as long.
const TAKEOVER_DELAY_NS: f64 = 15e9;

/// Messages sent and received about the workers of the own group.
#[derive(Debug, Default)]
pub(crate) struct GroupTraffic {
    last_received_at: Nanos,
    mean_interval: f64,
    message_count: f64,
    own_share: f64,
}

impl GroupTraffic {
    /// Records a message sent by this dispatcher. Messages sent during a silence don't change the own
    /// share.
    pub(crate) fn record_sent(&mut self, now: Nanos) {
        if !self.is_silent(now) {
            self.update_share(1.0);
        }
    }

    /// Records a message received from another member.
    pub(crate) fn record_received(&mut self, now: Nanos) {
        // Neither the time before the first message nor the gaps within a burst are intervals.
        if self.last_received_at > 0 && now > self.last_received_at + BURST_NS && !self.is_silent(now) {
            update_mean(&mut self.mean_interval, now.saturating_sub(self.last_received_at) as f64, 0.02);
        }
        self.last_received_at = now;
        self.update_share(0.0);
    }

    fn update_share(&mut self, own: f64) {
        self.message_count = (self.message_count + 1.0).min(AVERAGING_MESSAGES);
        self.own_share += (own - self.own_share) / self.message_count;
    }

    /// Whether the other members have been silent for so long, compared with their usual intervals, that they
    /// are unreachable or down.
    pub(crate) fn is_silent(&self, now: Nanos) -> bool {
        let known = self.mean_interval > 0.0 && self.message_count >= MIN_MESSAGES;
        known
            && now.saturating_sub(self.last_received_at) as f64
                > MIN_SILENCE_NS + SILENCE_INTERVALS * self.mean_interval
    }

    /// Returns how many of the group's slots this dispatcher may use while the others are silent: its share
    /// of recent traffic with room for random variation, at least one, and all of them once the silence
    /// lasts.
    pub(crate) fn own_slots(&self, now: Nanos, slots: f64) -> f64 {
        let takeover =
            (now.saturating_sub(self.last_received_at) as f64 / TAKEOVER_DELAY_NS - 1.0).clamp(0.0, 1.0);
        let own = slots * (self.own_share + (1.0 - self.own_share) * takeover);
        (own + SHARE_SIGMAS * own.sqrt()).clamp(1.0, slots.max(1.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;
    /// A start time far from 0, as clocks may count from 1970.
    const START: Nanos = 1_800_000_000_000 * MS;

    /// Traffic with a message every 10 ms, of which every `every`th is sent by this dispatcher.
    fn traffic(messages: u64, every: u64) -> GroupTraffic {
        let mut traffic = GroupTraffic::default();
        for n in 1..=messages {
            let now = START + n * 10 * MS;
            if n % every == 0 { traffic.record_sent(now) } else { traffic.record_received(now) }
        }
        traffic
    }

    #[test]
    fn own_share_follows_the_traffic_and_becomes_the_whole_after_a_long_silence() {
        for (every, share) in [(12, 1.0 / 12.0), (4, 0.25), (2, 0.5)] {
            let mut traffic = traffic(1200, every);
            assert!((traffic.own_share - share).abs() < 0.02, "{every}: {}", traffic.own_share);
            let end = traffic.last_received_at;
            assert!(!traffic.is_silent(end + 200 * MS) && traffic.is_silent(end + 600 * MS));
            // Messages sent during the silence don't change the share.
            (0..500).for_each(|n| traffic.record_sent(end + (600 + n) * MS));
            assert!((traffic.own_share - share).abs() < 0.02);
            let own = traffic.own_slots(end, 40.0);
            assert!(own > 40.0 * share && own < 40.0 * share + 8.0, "{own}");
            assert_eq!(traffic.own_slots(end + 40_000 * MS, 40.0), 40.0);
        }
        assert!(!traffic(20, 12).is_silent(Nanos::MAX / 2), "too few messages to tell a silence");
    }

    #[test]
    fn a_pause_is_no_silence_where_messages_are_rare() {
        let mut traffic = GroupTraffic::default();
        (1..=400).for_each(|n| traffic.record_received(n * 1000 * MS));
        assert!(!traffic.is_silent(405_000 * MS));
        assert!(traffic.is_silent(410_000 * MS));
    }
}
