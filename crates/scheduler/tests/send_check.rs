//! The last look before a forward's first byte, in every state that it can meet.

use loomlb_scheduler::send::{NotSentReason, SendCheck};

/// Each bit spoils one thing; the time goes past each limit.
#[test]
fn a_forward_leaves_only_if_nothing_has_changed_and_says_the_first_thing_that_has() {
    for state in 0..16u32 {
        let is = |bit: u32| state >> bit & 1 == 0;
        for repeat_until in [None, Some(90), Some(110)] {
            let look = SendCheck {
                awaits_answer: is(0),
                expires_at: 100,
                repeat_until,
                target_accepts_jobs: is(1),
                same_incarnation: is(2),
                may_act: is(3),
            };
            for now in [0, 89, 90, 99, 100, 109, 110, 1000] {
                let window_over = repeat_until.is_some_and(|by| now >= by);
                let stops = [
                    (!is(0)).then_some(NotSentReason::Gone),
                    (now >= 100).then_some(NotSentReason::Late),
                    (!is(1)).then_some(NotSentReason::Leaving),
                    (!is(2)).then_some(NotSentReason::Restarted),
                    window_over.then_some(NotSentReason::Window),
                    (!is(3)).then_some(NotSentReason::Lease),
                ];
                let want = stops.into_iter().flatten().next().map_or(Ok(()), Err);
                assert_eq!(look.evaluate(now), want, "{look:?} at {now}");
            }
        }
    }
}
