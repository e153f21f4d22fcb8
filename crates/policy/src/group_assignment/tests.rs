//! Assignment of workers to groups.

use super::*;

/// Pseudo-random 32-bit worker ids; the first `cold` workers are cold.
fn workers(n: u64, cold: u64) -> Vec<(u64, bool)> {
    (0..n).map(|i| ((rendezvous_weight(i, 7) * 2f64.powi(32)) as u64, i < cold)).collect()
}

/// Assigns workers with the preferred groups that a dispatcher caches.
fn assign(layout: GroupLayout, workers: &[(u64, bool)]) -> Vec<usize> {
    let assignable = |&(id, cold): &(u64, bool)| AssignableWorker {
        id,
        cold,
        preferred_group: layout.preferred_group(id),
    };
    layout.assign(&workers.iter().map(assignable).collect::<Vec<_>>())
}

#[test]
fn members_match_group_of_and_every_dispatcher_is_in_one_group() {
    for (dispatchers, groups) in [(100, 9), (1, 1), (3, 1), (13, 2), (7, 9), (64, 64)] {
        let layout = GroupLayout::new(dispatchers, groups);
        let group_of_each: Vec<usize> =
            (0..layout.group_count).flat_map(|g| layout.members(g).map(move |_| g)).collect();
        assert_eq!(
            group_of_each,
            (0..dispatchers).map(|i| layout.group_of(i)).collect::<Vec<_>>(),
            "{dispatchers} dispatchers in {groups} groups"
        );
        assert!((0..1000).all(|id| !layout.members(layout.hashed_group(id)).is_empty()));
    }
}

#[test]
fn groups_get_equal_weight_and_few_workers_move_when_one_leaves() {
    for (n, cold, groups) in [(60, 0, 9), (60, 36, 9), (96, 36, 9), (10, 4, 1), (61, 13, 5)] {
        let layout = GroupLayout::new(100, groups);
        let all = workers(n, cold);
        let assigned = assign(layout, &all);
        let weight = |g| {
            let members = all.iter().zip(&assigned).filter(|(_, p)| **p == g);
            members.map(|((_, cold), _)| if *cold { COLD_WORKER_WEIGHT } else { 1.0 }).sum::<f64>()
        };
        let weights: Vec<f64> = (0..groups).map(weight).collect();
        let (min, max) = weights.iter().fold((f64::MAX, 0.0f64), |(l, m), w| (l.min(*w), m.max(*w)));
        // Cold workers stay in their hashed groups, so a group with many of them may exceed its part.
        assert!(max - min <= if cold == 0 { 1.0 } else { 2.5 }, "{n} in {groups}: {weights:?}");
        let fewer = assign(layout, &all[..all.len() - 1]);
        let moved = assigned.iter().zip(&fewer).filter(|(a, b)| a != b).count();
        assert!(moved * 3 <= n as usize, "{n} in {groups}: {moved} moved");
    }
}

/// Reference assignment that compares all groups with room for each worker, without cached preferences.
fn assign_by_full_comparison(layout: GroupLayout, workers: &[(u64, bool)]) -> Vec<usize> {
    let cold_count = workers.iter().filter(|w| w.1).count() as f64;
    let total_weight = workers.len() as f64 - cold_count + cold_count * COLD_WORKER_WEIGHT;
    let mut room = vec![total_weight / layout.group_count as f64; layout.group_count];
    workers.iter().filter(|w| w.1).for_each(|w| room[layout.hashed_group(w.0)] -= COLD_WORKER_WEIGHT);
    let excess: f64 = room.iter().map(|r| r.min(0.0)).sum();
    let available: f64 = room.iter().map(|r| r.max(0.0)).sum();
    room.iter_mut().for_each(|r| *r = r.max(0.0) * (1.0 + excess / available.max(1e-9)));
    let integer_room: f64 = room.iter().map(|r| r.floor()).sum();
    let mut remainder = workers.len() as f64 - cold_count - integer_room;
    let assign_one = |&(id, cold): &(u64, bool)| {
        if cold {
            return layout.hashed_group(id);
        }
        let weight = |g: &usize| rendezvous_weight(id, *g as u64 + 1);
        let with_room =
            (0..layout.group_count).filter(|&g| room[g] >= 1.0 || room[g] > 0.0 && remainder >= 1.0);
        let chosen = with_room.max_by(|a, b| weight(a).total_cmp(&weight(b)));
        let roomiest = || (0..layout.group_count).max_by(|&a, &b| room[a].total_cmp(&room[b])).unwrap_or(0);
        let group = chosen.unwrap_or_else(roomiest);
        remainder -= if room[group] < 1.0 { 1.0 } else { 0.0 };
        room[group] -= 1.0;
        group
    };
    workers.iter().map(assign_one).collect()
}

#[test]
fn cached_preferences_give_the_same_assignment_as_a_full_comparison() {
    for (n, cold, dispatchers, groups) in [
        (60, 0, 100, 9),
        (60, 36, 100, 9),
        (61, 13, 100, 5),
        (10, 4, 7, 1),
        (3, 0, 64, 64),
        (3_200, 700, 900, 75),
    ] {
        let layout = GroupLayout::new(dispatchers, groups);
        let all = workers(n, cold);
        assert_eq!(assign(layout, &all), assign_by_full_comparison(layout, &all), "{n} in {groups}");
    }
}
