//! The check before the first byte of a forward, with every combination of its conditions.

use loomlb_scheduler::send::{NotSentReason, SendCheck};

#[test]
fn a_forward_is_sent_only_if_all_conditions_hold_and_the_first_violated_one_is_reported() {
    // Each bit of `violations` violates one condition; `now` passes each time limit.
    for violations in 0..16u32 {
        let holds = |bit: u32| violations >> bit & 1 == 0;
        for repeat_until in [None, Some(90), Some(110)] {
            let check = SendCheck {
                awaits_answer: holds(0),
                expires_at: 100,
                repeat_until,
                target_accepts_jobs: holds(1),
                same_incarnation: holds(2),
                may_act: holds(3),
            };
            for now in [0, 89, 90, 99, 100, 109, 110, 1000] {
                let window_over = repeat_until.is_some_and(|until| now >= until);
                let reasons = [
                    (!holds(0)).then_some(NotSentReason::Gone),
                    (now >= 100).then_some(NotSentReason::Late),
                    (!holds(1)).then_some(NotSentReason::Leaving),
                    (!holds(2)).then_some(NotSentReason::Restarted),
                    window_over.then_some(NotSentReason::Window),
                    (!holds(3)).then_some(NotSentReason::Lease),
                ];
                let expected = reasons.into_iter().flatten().next().map_or(Ok(()), Err);
                assert_eq!(check.evaluate(now), expected, "{check:?} at {now}");
            }
        }
    }
}
