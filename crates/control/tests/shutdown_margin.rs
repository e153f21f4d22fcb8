//! The margin between the last answer of a shutdown and the platform's kill, for various client deadlines.

use loomlb_control::Nanos;
use loomlb_control::lifecycle::Lifecycle;

const MS: Nanos = 1_000_000;
/// The platform waits this long in addition to the longest client deadline.
const KILL_GRACE: Nanos = 700 * MS;
/// A process can stall this long between reading the clock and writing the answer.
const STALL: Nanos = 150 * MS;

#[test]
fn the_last_answer_is_sent_before_the_kill_even_if_the_process_stalls() {
    for longest_wait in [5, 50, 200, 500, 800, 1_000, 3_000, 60_000] {
        for is_only_scheduler in [false, true] {
            let mut lifecycle = Lifecycle::new(longest_wait * MS, is_only_scheduler);
            lifecycle.start_shutdown(0);
            let kill = KILL_GRACE + (longest_wait * MS).min(3_000 * MS);
            let (closes_at, answer_deadline) =
                (lifecycle.closes_at().unwrap(), lifecycle.answer_deadline().unwrap());
            assert!(
                answer_deadline + STALL < kill,
                "{longest_wait} ms: answer deadline {answer_deadline}, kill at {kill}"
            );
            assert!(closes_at < answer_deadline, "{longest_wait} ms: the job accepted last has no time left");
        }
    }
}
