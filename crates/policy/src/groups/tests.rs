//! How workers are dealt out to groups.

use super::*;

/// Numbers of workers as sites have them: any 32 bits.
fn workers(n: u64, young: u64) -> Vec<(u64, bool)> {
    (0..n).map(|i| ((lean(i, 7) * 2f64.powi(32)) as u64, i < young)).collect()
}

/// Deals workers with the favorites that a dispatcher remembers of them.
fn deal(tier: Tier, workers: &[(u64, bool)]) -> Vec<usize> {
    let dealt = |&(id, young): &(u64, bool)| Dealt { id, young, favorite: tier.favorite(id) };
    tier.deal(&workers.iter().map(dealt).collect::<Vec<_>>())
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
        let parts = deal(tier, &all);
        let weight = |g| {
            let of = all.iter().zip(&parts).filter(|(_, p)| **p == g);
            of.map(|((_, young), _)| if *young { YOUNG } else { 1.0 }).sum::<f64>()
        };
        let weights: Vec<f64> = (0..groups).map(weight).collect();
        let (least, most) = weights.iter().fold((f64::MAX, 0.0f64), |(l, m), w| (l.min(*w), m.max(*w)));
        // The young stay at home, so a group with many of them may have more than its part.
        assert!(most - least <= if young == 0 { 1.0 } else { 2.5 }, "{n} in {groups}: {weights:?}");
        let fewer = deal(tier, &all[..all.len() - 1]);
        let moved = parts.iter().zip(&fewer).filter(|(a, b)| a != b).count();
        assert!(moved * 3 <= n as usize, "{n} in {groups}: {moved} moved");
    }
}

/// The groups by looking at each group with room for each worker, favorite or not.
fn deal_by_all(tier: Tier, workers: &[(u64, bool)]) -> Vec<usize> {
    let young = workers.iter().filter(|w| w.1).count() as f64;
    let weight = workers.len() as f64 - young + young * YOUNG;
    let mut room = vec![weight / tier.groups as f64; tier.groups];
    workers.iter().filter(|w| w.1).for_each(|w| room[tier.home(w.0)] -= YOUNG);
    let over: f64 = room.iter().map(|r| r.min(0.0)).sum();
    let under: f64 = room.iter().map(|r| r.max(0.0)).sum();
    room.iter_mut().for_each(|r| *r = r.max(0.0) * (1.0 + over / under.max(1e-9)));
    let whole: f64 = room.iter().map(|r| r.floor()).sum();
    let mut odd = workers.len() as f64 - young - whole;
    let place = |&(id, young): &(u64, bool)| {
        if young {
            return tier.home(id);
        }
        let to = |g: &usize| lean(id, *g as u64 + 1);
        let free = (0..tier.groups).filter(|&g| room[g] >= 1.0 || room[g] > 0.0 && odd >= 1.0);
        let leaning = free.max_by(|a, b| to(a).total_cmp(&to(b)));
        let most = || (0..tier.groups).max_by(|&a, &b| room[a].total_cmp(&room[b])).unwrap_or(0);
        let group = leaning.unwrap_or_else(most);
        odd -= if room[group] < 1.0 { 1.0 } else { 0.0 };
        room[group] -= 1.0;
        group
    };
    workers.iter().map(place).collect()
}

#[test]
fn favorites_change_nothing_of_what_a_look_at_every_group_deals() {
    for (n, young, schedulers, groups) in [
        (60, 0, 100, 9),
        (60, 36, 100, 9),
        (61, 13, 100, 5),
        (10, 4, 7, 1),
        (3, 0, 64, 64),
        (3_200, 700, 900, 75),
    ] {
        let tier = Tier::new(schedulers, groups);
        let all = workers(n, young);
        assert_eq!(deal(tier, &all), deal_by_all(tier, &all), "{n} in {groups}");
    }
}
