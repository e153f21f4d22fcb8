//! Arithmetic of a group that talks: for how long it has been silent, and which part of its traffic is one's own. Nothing
//! is decided here.

use crate::api::Nanos;
use crate::decay::update_mean;

/// Words over which the part is averaged, and those without which there is no part yet.
const WORDS: f64 = 300.0;
const LEAST: f64 = 30.0;
/// A group is silent after so many mean times between its words, and this long at the least.
const GAPS: f64 = 8.0;
const SPAN: f64 = 200e6;
const BREATH: Nanos = 1_000_000;
/// Deviations of what comes by chance that a part has room for.
const SIGMAS: f64 = 1.5;
/// From this time on who hears nobody comes to be taken for the only one, wholly after twice as long.
const ALONE: f64 = 15e9;

/// What is known of the talk in a group.
#[derive(Debug, Default)]
pub(crate) struct Talk {
    heard: Nanos,
    gap: f64,
    words: f64,
    part: f64,
}

impl Talk {
    /// A word on the group's workers is said here. What is said while nobody answers teaches nothing about parts.
    pub(crate) fn said(&mut self, now: Nanos) {
        if !self.silent(now) {
            self.word(1.0);
        }
    }

    /// Another's word on the group's workers.
    pub(crate) fn heard(&mut self, now: Nanos) {
        // The time to the first word, from whenever the clock began, is no pause; words in one breath are one.
        if self.heard > 0 && now > self.heard + BREATH && !self.silent(now) {
            update_mean(&mut self.gap, now.saturating_sub(self.heard) as f64, 0.02);
        }
        self.heard = now;
        self.word(0.0);
    }

    fn word(&mut self, own: f64) {
        self.words = (self.words + 1.0).min(WORDS);
        self.part += (own - self.part) / self.words;
    }

    /// Whether the others of the group have been silent for so long, by their own measure, that they cannot be heard.
    pub(crate) fn silent(&self, now: Nanos) -> bool {
        let known = self.gap > 0.0 && self.words >= LEAST;
        known && now.saturating_sub(self.heard) as f64 > SPAN + GAPS * self.gap
    }

    /// How many of the group's slots are one's own while the others are silent: the part of late, with room for what
    /// comes by chance, and all of them in the end. One at the least.
    pub(crate) fn own(&self, now: Nanos, slots: f64) -> f64 {
        let alone = (now.saturating_sub(self.heard) as f64 / ALONE - 1.0).clamp(0.0, 1.0);
        let own = slots * (self.part + (1.0 - self.part) * alone);
        (own + SIGMAS * own.sqrt()).clamp(1.0, slots.max(1.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;
    /// Clocks may count from 1970.
    const LONG_AGO: Nanos = 1_800_000_000_000 * MS;

    /// Twelve that talk by turns, ours every `every`th word, 10 ms apart.
    fn talk(words: u64, every: u64) -> Talk {
        let mut talk = Talk::default();
        for n in 1..=words {
            let now = LONG_AGO + n * 10 * MS;
            if n % every == 0 { talk.said(now) } else { talk.heard(now) }
        }
        talk
    }

    #[test]
    fn parts_follow_the_traffic_add_up_and_end_in_all_for_who_stays_alone() {
        for (every, part) in [(12, 1.0 / 12.0), (4, 0.25), (2, 0.5)] {
            let mut talk = talk(1200, every);
            assert!((talk.part - part).abs() < 0.02, "{every}: {}", talk.part);
            let end = talk.heard;
            assert!(!talk.silent(end + 200 * MS) && talk.silent(end + 600 * MS));
            // What is said into the silence does not make the part grow.
            (0..500).for_each(|n| talk.said(end + (600 + n) * MS));
            assert!((talk.part - part).abs() < 0.02);
            let own = talk.own(end, 40.0);
            assert!(own > 40.0 * part && own < 40.0 * part + 8.0, "{own}");
            assert_eq!(talk.own(end + 40_000 * MS, 40.0), 40.0);
        }
        assert!(!talk(20, 12).silent(Nanos::MAX / 2), "nothing is known of who has hardly talked");
    }

    #[test]
    fn a_lull_is_no_silence_by_the_measure_of_who_talks_seldom() {
        let mut talk = Talk::default();
        (1..=400).for_each(|n| talk.heard(n * 1000 * MS));
        assert!(!talk.silent(405_000 * MS));
        assert!(talk.silent(410_000 * MS));
    }
}
