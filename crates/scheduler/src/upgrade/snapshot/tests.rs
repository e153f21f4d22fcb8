//! Snapshots of this build and of the build before, which wrote `build_before.json`, read by each other.

use super::*;

const BUILD_BEFORE: &str = include_str!("build_before.json");
/// When it was written, on the scale of the build before.
const DRAINING_SINCE: Nanos = 1_796_208_237_346_048_282;
const HOUR: Nanos = 3_600_000_000_000;

/// The fields that the build before reads, as it declares them.
#[derive(Deserialize)]
#[expect(dead_code, reason = "only their presence and form are looked at")]
struct BuildBefore {
    classes: Vec<String>,
    tenants: Vec<String>,
    kinds: Vec<String>,
    zones: Vec<String>,
    carried: LearnedState,
    orders: WorkerOverrides,
    service: LifecycleState,
    list: List,
    discovery: Option<SocketAddr>,
}

fn build_before() -> Snapshot {
    serde_json::from_str(BUILD_BEFORE).unwrap()
}

#[test]
fn a_snapshot_of_the_build_before_is_read_and_says_when_its_latest_event_was() {
    let snapshot = build_before();
    assert_eq!(snapshot.clock, None);
    assert_eq!(snapshot.worker_starts, None);
    assert_eq!(snapshot.latest_event(), DRAINING_SINCE);
}

/// The wall clock was set back by an hour before the successor started: nothing in the snapshot lies in the future.
#[test]
fn the_clock_of_a_successor_of_the_build_before_starts_no_earlier_than_what_has_happened() {
    let mut snapshot = build_before();
    snapshot.service = LifecycleState::Draining(super::super::super::clock::Clock::default().now() + HOUR);
    let now = snapshot.clock().now();
    assert!(now >= snapshot.latest_event() && now < snapshot.latest_event() + HOUR);
}

#[test]
fn a_successor_goes_on_with_the_scale_that_its_predecessor_sends() {
    let mut snapshot = build_before();
    let predecessor = Clock::starting_at(DRAINING_SINCE);
    snapshot.clock = Some(predecessor.offset());
    assert_eq!(snapshot.clock().offset(), predecessor.offset());
}

#[test]
fn the_build_before_reads_a_snapshot_of_this_one() {
    let mut snapshot = build_before();
    snapshot.clock = Some(Clock::default().offset());
    snapshot.worker_starts = Some(WorkerStarts::default());
    let written = serde_json::to_value(&snapshot).unwrap();
    assert!(written.get("clock").is_some() && written.get("worker_starts").is_some());
    let read: BuildBefore = serde_json::from_value(written).unwrap();
    assert_eq!(read.service, LifecycleState::Draining(DRAINING_SINCE));
}
