//! Arithmetic that deals workers out to groups of dispatchers. Nothing is decided here.

/// Deals ids, which stand in strata of these sizes, out to groups: of each stratum every group gets an equal part,
/// but for one, and the strata's odd ones are spread as well. The same ids come to the same groups at every caller,
/// and few move when an id comes or goes: each goes to the group that it leans to most among those with room.
pub(crate) fn spread(ids: &[u64], strata: &[usize], groups: usize) -> Vec<usize> {
    let mut parts = vec![0; ids.len()];
    let mut dealt = vec![0; groups];
    let mut from = 0;
    for size in strata {
        let to = (from + size).min(ids.len());
        let (each, odd) = ((to - from) / groups, (to - from) % groups);
        let mut held = vec![0; groups];
        let mut over = 0;
        for at in from..to {
            // One more than an equal part only for groups that have had no more than their fellows so far.
            let fewest = dealt.iter().zip(&held).map(|(d, h)| d + h).min().unwrap_or(0);
            let room = |g: usize| {
                held[g] < each || held[g] == each && over < odd && dealt[g] + held[g] <= fewest + 1
            };
            let lean_to = |id, g: usize| lean(id, g as u64 + 1);
            let leaning = (0..groups)
                .filter(|&g| room(g))
                .max_by(|&a, &b| lean_to(ids[at], a).total_cmp(&lean_to(ids[at], b)));
            let part = leaning.unwrap_or_else(|| (0..groups).min_by_key(|&g| held[g]).unwrap_or(0));
            over += usize::from(held[part] >= each);
            held[part] += 1;
            parts[at] = part;
        }
        dealt.iter_mut().zip(held).for_each(|(d, h)| *d += h);
        from = to;
    }
    parts
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
    fn ids(n: u64) -> Vec<u64> {
        (0..n).map(|i| (lean(i, 7) * 2f64.powi(32)) as u64).collect()
    }

    #[test]
    fn every_group_gets_an_equal_part_of_each_stratum_and_few_ids_move() {
        for (n, warm, groups) in [(60, 24, 8), (60, 60, 8), (7, 3, 8), (61, 13, 5), (10, 4, 1)] {
            let all = ids(n);
            let parts = spread(&all, &[warm, n as usize - warm], groups);
            for stratum in [&parts[..warm], &parts[warm..]] {
                let count = |g| stratum.iter().filter(|p| **p == g).count();
                let counts: Vec<usize> = (0..groups).map(count).collect();
                let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
                assert!(most - least <= 1, "{n} in {groups}: {counts:?}");
            }
            let fewer = spread(&all[1..], &[warm - 1, n as usize - warm], groups);
            let moved = parts[1..].iter().zip(&fewer).filter(|(a, b)| a != b).count();
            assert!(moved * 3 <= n as usize, "{n} in {groups}: {moved} moved");
        }
    }
}
