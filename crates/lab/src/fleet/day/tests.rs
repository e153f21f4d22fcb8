//! The plan of a day.

use super::*;

#[test]
fn half_of_the_workers_leave_once_and_return_once_within_the_day_whatever_the_size() {
    for workers in [20, 200, 3_200] {
        let length = Duration::from_secs(30);
        let changes = restarts(workers, length);
        assert!(changes.is_sorted_by_key(|change| change.at), "{changes:?}");
        assert!(changes.iter().all(|change| change.at < length));
        for leaves in [true, false] {
            let of: Vec<usize> =
                changes.iter().filter(|c| c.leaves == leaves).flat_map(|c| c.workers.clone()).collect();
            assert_eq!(of, (0..workers / 2).collect::<Vec<_>>());
        }
    }
}
