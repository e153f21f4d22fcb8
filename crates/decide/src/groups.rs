//! Arithmetic that deals workers out to groups of dispatchers. Nothing is decided here.

use std::ops::Range;

/// What a young worker weighs against one that has warmed up: it is cold at first.
const YOUNG: f64 = 0.5;

/// A tier of dispatchers, by their numbers, in groups of equal size but for one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tier {
    all: usize,
    pub(crate) groups: usize,
}

impl Tier {
    /// So many dispatchers in so many groups, of at least one each.
    pub(crate) fn new(all: usize, groups: usize) -> Tier {
        let all = all.max(1);
        Tier { all, groups: groups.clamp(1, all) }
    }

    /// The group of a dispatcher; the last one for a number out of range.
    pub(crate) fn group(self, dispatcher: usize) -> usize {
        dispatcher.min(self.all - 1) * self.groups / self.all
    }

    /// The dispatchers of a group.
    pub(crate) fn members(self, group: usize) -> Range<usize> {
        (group * self.all).div_ceil(self.groups)..((group + 1) * self.all).div_ceil(self.groups)
    }

    /// The group of a worker by its id alone: the same at every dispatcher, whatever list it has.
    pub(crate) fn home(self, id: u64) -> usize {
        ((lean(id, 0) * self.groups as f64) as usize).min(self.groups - 1)
    }

    /// Deals workers, as ids and whether they are young, out to the groups. The young go to their homes, and the others
    /// so that all groups come to the same weight. The same workers come to the same groups at every dispatcher, and few
    /// move when one comes or goes: each goes to the group that it leans to most among those with room.
    pub(crate) fn deal(self, workers: &[(u64, bool)]) -> Vec<usize> {
        let young = workers.iter().filter(|w| w.1).count() as f64;
        let weight = workers.len() as f64 - young + young * YOUNG;
        let mut room = vec![weight / self.groups as f64; self.groups];
        workers.iter().filter(|w| w.1).for_each(|w| room[self.home(w.0)] -= YOUNG);
        // What homes have beyond their part the others have too little of.
        let over: f64 = room.iter().map(|r| r.min(0.0)).sum();
        let under: f64 = room.iter().map(|r| r.max(0.0)).sum();
        room.iter_mut().for_each(|r| *r = r.max(0.0) * (1.0 + over / under.max(1e-9)));
        // Each group takes the whole workers of its room, and as many groups one more as are left then.
        let whole: f64 = room.iter().map(|r| r.floor()).sum();
        let mut odd = workers.len() as f64 - young - whole;
        let place = |&(id, young): &(u64, bool)| {
            if young {
                return self.home(id);
            }
            let to = |g: &usize| lean(id, *g as u64 + 1);
            let free = (0..self.groups).filter(|&g| room[g] >= 1.0 || room[g] > 0.0 && odd >= 1.0);
            let leaning = free.max_by(|a, b| to(a).total_cmp(&to(b)));
            let most = || (0..self.groups).max_by(|&a, &b| room[a].total_cmp(&room[b])).unwrap_or(0);
            let group = leaning.unwrap_or_else(most);
            odd -= if room[group] < 1.0 { 1.0 } else { 0.0 };
            room[group] -= 1.0;
            group
        };
        workers.iter().map(place).collect()
    }
}

/// From 0 to 1, how much the first number leans to the second: a key to a worker, a worker to a group. It is the same at
/// every dispatcher, without a word between them.
pub(crate) fn lean(a: u64, b: u64) -> f64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as f64 / u64::MAX as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Numbers of workers as sites have them: any 32 bits.
    fn workers(n: u64, young: u64) -> Vec<(u64, bool)> {
        (0..n).map(|i| ((lean(i, 7) * 2f64.powi(32)) as u64, i < young)).collect()
    }

    #[test]
    fn members_are_those_of_the_group_and_every_dispatcher_is_in_one() {
        for (all, groups) in [(100, 9), (1, 1), (3, 1), (13, 2), (7, 9), (64, 64)] {
            let tier = Tier::new(all, groups);
            let of: Vec<usize> = (0..tier.groups).flat_map(|g| tier.members(g).map(move |_| g)).collect();
            assert_eq!(of, (0..all).map(|i| tier.group(i)).collect::<Vec<_>>(), "{all} in {groups}");
            assert!((0..1000).all(|id| !tier.members(tier.home(id)).is_empty()));
        }
    }

    #[test]
    fn groups_come_to_the_same_weight_and_few_workers_move() {
        for (n, young, groups) in [(60, 0, 9), (60, 36, 9), (96, 36, 9), (10, 4, 1), (61, 13, 5)] {
            let tier = Tier::new(100, groups);
            let all = workers(n, young);
            let parts = tier.deal(&all);
            let weight = |g| {
                let of = all.iter().zip(&parts).filter(|(_, p)| **p == g);
                of.map(|((_, young), _)| if *young { YOUNG } else { 1.0 }).sum::<f64>()
            };
            let weights: Vec<f64> = (0..groups).map(weight).collect();
            let (least, most) = weights.iter().fold((f64::MAX, 0.0f64), |(l, m), w| (l.min(*w), m.max(*w)));
            // The young stay at home, so a group with many of them may have more than its part.
            assert!(most - least <= if young == 0 { 1.0 } else { 2.5 }, "{n} in {groups}: {weights:?}");
            let fewer = tier.deal(&all[..all.len() - 1]);
            let moved = parts.iter().zip(&fewer).filter(|(a, b)| a != b).count();
            assert!(moved * 3 <= n as usize, "{n} in {groups}: {moved} moved");
        }
    }
}
