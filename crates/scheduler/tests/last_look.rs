//! The last look before a forward's first byte, in every state that it can meet.

use loomlb_scheduler::send::{LastLook, Stop};

/// Each bit spoils one thing; the time goes past each limit.
#[test]
fn a_forward_leaves_only_if_nothing_has_changed_and_says_the_first_thing_that_has() {
    for state in 0..16u32 {
        let is = |bit: u32| state >> bit & 1 == 0;
        for repeat_by in [None, Some(90), Some(110)] {
            let look =
                LastLook { owed: is(0), until: 100, repeat_by, takes: is(1), same: is(2), may_act: is(3) };
            for now in [0, 89, 90, 99, 100, 109, 110, 1000] {
                let window_over = repeat_by.is_some_and(|by| now >= by);
                let stops = [
                    (!is(0)).then_some(Stop::Gone),
                    (now >= 100).then_some(Stop::Late),
                    (!is(1)).then_some(Stop::Leaving),
                    (!is(2)).then_some(Stop::Restarted),
                    window_over.then_some(Stop::Window),
                    (!is(3)).then_some(Stop::Lease),
                ];
                let want = stops.into_iter().flatten().next().map_or(Ok(()), Err);
                assert_eq!(look.verdict(now), want, "{look:?} at {now}");
            }
        }
    }
}
