//! The time that is kept free before the platform may kill a process, whatever the clients' deadlines are.

use loomlb_control::Nanos;
use loomlb_control::lifecycle::Lifecycle;

const MS: Nanos = 1_000_000;
/// What the platform waits beyond the longest deadline.
const NOTICE: Nanos = 700 * MS;
/// For so long a process may be held up between its clock and its write.
const HELD_UP: Nanos = 150 * MS;

#[test]
fn answers_are_out_before_an_early_kill_though_the_process_is_held_up() {
    for longest in [5, 50, 200, 500, 800, 1_000, 3_000, 60_000] {
        for alone in [false, true] {
            let mut lifecycle = Lifecycle::new(longest * MS, alone);
            lifecycle.start_shutdown(0);
            let kill = NOTICE + (longest * MS).min(3_000 * MS);
            let (closing, answer_by) = (lifecycle.closes_at().unwrap(), lifecycle.answer_deadline().unwrap());
            assert!(answer_by + HELD_UP < kill, "{longest} ms: answered by {answer_by} of {kill}");
            assert!(closing < answer_by, "{longest} ms: what is taken last has some time");
        }
    }
}
