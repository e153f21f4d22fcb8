//! Assignment of workers to groups of dispatchers by rendezvous hashing.

use std::ops::Range;

/// The weight of a cold worker where a warm one counts 1.
const COLD_WORKER_WEIGHT: f64 = 0.5;

/// A division of numbered dispatchers into groups whose sizes differ by one at most.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupLayout {
    dispatcher_count: usize,
    pub(crate) group_count: usize,
}

impl GroupLayout {
    /// Divides the dispatchers into groups. There is at least one of each, and no group is empty.
    pub(crate) fn new(dispatcher_count: usize, group_count: usize) -> GroupLayout {
        let dispatcher_count = dispatcher_count.max(1);
        GroupLayout { dispatcher_count, group_count: group_count.clamp(1, dispatcher_count) }
    }

    /// Returns the group of a dispatcher; the last group for a number out of range.
    pub(crate) fn group_of(self, dispatcher: usize) -> usize {
        dispatcher.min(self.dispatcher_count - 1) * self.group_count / self.dispatcher_count
    }

    /// Returns the numbers of the dispatchers in a group.
    pub(crate) fn members(self, group: usize) -> Range<usize> {
        (group * self.dispatcher_count).div_ceil(self.group_count)
            ..((group + 1) * self.dispatcher_count).div_ceil(self.group_count)
    }

    /// Returns the group of a cold worker. It depends on the worker id alone, so that dispatchers with
    /// different lists agree.
    pub(crate) fn hashed_group(self, id: u64) -> usize {
        ((rendezvous_weight(id, 0) * self.group_count as f64) as usize).min(self.group_count - 1)
    }

    /// Returns the group with the highest rendezvous weight for a worker.
    pub(crate) fn preferred_group(self, id: u64) -> usize {
        highest_weight(id, 0..self.group_count).unwrap_or(0)
    }

    /// Returns the group of each worker. Cold workers go to their hashed groups. The others fill the groups
    /// up to equal weight, each in the group that it prefers among those with room: every dispatcher with the
    /// same list gets the same result, and few workers move when one is added or removed.
    pub(crate) fn assign(self, workers: &[AssignableWorker]) -> Vec<usize> {
        let cold_count = workers.iter().filter(|w| w.cold).count() as f64;
        let total_weight = workers.len() as f64 - cold_count + cold_count * COLD_WORKER_WEIGHT;
        let mut room = vec![total_weight / self.group_count as f64; self.group_count];
        workers.iter().filter(|w| w.cold).for_each(|w| room[self.hashed_group(w.id)] -= COLD_WORKER_WEIGHT);
        // The excess of overfull groups is taken from the room of the others in proportion.
        let excess: f64 = room.iter().map(|r| r.min(0.0)).sum();
        let available: f64 = room.iter().map(|r| r.max(0.0)).sum();
        room.iter_mut().for_each(|r| *r = r.max(0.0) * (1.0 + excess / available.max(1e-9)));
        // Each group takes the integer part of its room; the workers left over fill fractions, one per group.
        let integer_room: f64 = room.iter().map(|r| r.floor()).sum();
        let mut remainder = workers.len() as f64 - cold_count - integer_room;
        let assign_one = |worker: &AssignableWorker| {
            if worker.cold {
                return self.hashed_group(worker.id);
            }
            let has_room = |g: &usize| room[*g] >= 1.0 || room[*g] > 0.0 && remainder >= 1.0;
            // If the preferred group has room, no other group needs to be compared.
            let preferred = Some(worker.preferred_group).filter(has_room);
            let chosen =
                preferred.or_else(|| highest_weight(worker.id, (0..self.group_count).filter(has_room)));
            let roomiest = || (0..self.group_count).max_by(|&a, &b| room[a].total_cmp(&room[b])).unwrap_or(0);
            let group = chosen.unwrap_or_else(roomiest);
            remainder -= if room[group] < 1.0 { 1.0 } else { 0.0 };
            room[group] -= 1.0;
            group
        };
        workers.iter().map(assign_one).collect()
    }
}

/// A worker to be assigned to a group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AssignableWorker {
    pub(crate) id: u64,
    pub(crate) cold: bool,
    /// The worker's [`GroupLayout::preferred_group`].
    pub(crate) preferred_group: usize,
}

/// Returns the group with the highest rendezvous weight for a worker; the last one among equals.
fn highest_weight(id: u64, groups: impl Iterator<Item = usize>) -> Option<usize> {
    let weights = groups.map(|group| (group, rendezvous_weight(id, group as u64 + 1)));
    weights.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(group, _)| group)
}

/// Returns a hash of both numbers in the range 0 to 1, the same at every dispatcher: the affinity of a key to
/// a worker, or of a worker to a group.
pub(crate) fn rendezvous_weight(a: u64, b: u64) -> f64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) as f64 / u64::MAX as f64
}

#[cfg(test)]
mod tests;
