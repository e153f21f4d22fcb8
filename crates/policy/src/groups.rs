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

    /// The group that a worker leans to most, by its id alone.
    pub(crate) fn favorite(self, id: u64) -> usize {
        leaning(id, 0..self.groups).unwrap_or(0)
    }

    /// Deals workers out to the groups. The young go to their homes, and the others
    /// so that all groups come to the same weight. The same workers come to the same groups at every dispatcher, and few
    /// move when one comes or goes: each goes to the group that it leans to most among those with room.
    pub(crate) fn deal(self, workers: &[Dealt]) -> Vec<usize> {
        let young = workers.iter().filter(|w| w.young).count() as f64;
        let weight = workers.len() as f64 - young + young * YOUNG;
        let mut room = vec![weight / self.groups as f64; self.groups];
        workers.iter().filter(|w| w.young).for_each(|w| room[self.home(w.id)] -= YOUNG);
        // What homes have beyond their part the others have too little of.
        let over: f64 = room.iter().map(|r| r.min(0.0)).sum();
        let under: f64 = room.iter().map(|r| r.max(0.0)).sum();
        room.iter_mut().for_each(|r| *r = r.max(0.0) * (1.0 + over / under.max(1e-9)));
        // Each group takes the whole workers of its room, and as many groups one more as are left then.
        let whole: f64 = room.iter().map(|r| r.floor()).sum();
        let mut odd = workers.len() as f64 - young - whole;
        let place = |worker: &Dealt| {
            if worker.young {
                return self.home(worker.id);
            }
            let free = |g: &usize| room[*g] >= 1.0 || room[*g] > 0.0 && odd >= 1.0;
            // Among groups that include the favorite no other is leant to more: most workers need no further look.
            let favorite = Some(worker.favorite).filter(free);
            let leaning = favorite.or_else(|| leaning(worker.id, (0..self.groups).filter(free)));
            let most = || (0..self.groups).max_by(|&a, &b| room[a].total_cmp(&room[b])).unwrap_or(0);
            let group = leaning.unwrap_or_else(most);
            odd -= if room[group] < 1.0 { 1.0 } else { 0.0 };
            room[group] -= 1.0;
            group
        };
        workers.iter().map(place).collect()
    }
}

/// A worker that is dealt out to a group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dealt {
    pub(crate) id: u64,
    pub(crate) young: bool,
    /// Its [`Tier::favorite`].
    pub(crate) favorite: usize,
}

/// The group among some that a worker leans to most; the last one among equals.
fn leaning(id: u64, groups: impl Iterator<Item = usize>) -> Option<usize> {
    let leanings = groups.map(|group| (group, lean(id, group as u64 + 1)));
    leanings.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(group, _)| group)
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
mod tests;
