//! Compatibility of snapshots between this build and the previous one, which wrote `build_before.json`.

use super::*;

const PREVIOUS_BUILD: &str = include_str!("build_before.json");
/// When it was written, by the clock of the previous build.
const DRAINING_SINCE: Nanos = 1_796_208_237_346_048_282;
const HOUR: Nanos = 3_600_000_000_000;

/// The fields that the previous build reads, as it declares them.
#[derive(Deserialize)]
#[expect(dead_code, reason = "only their presence and type are checked")]
struct PreviousBuild {
    classes: Vec<String>,
    tenants: Vec<String>,
    kinds: Vec<String>,
    zones: Vec<String>,
    carried: LearnedState,
    orders: WorkerOverrides,
    service: LifecycleState,
    list: EndpointList,
    discovery: Option<SocketAddr>,
}

fn previous_build() -> Snapshot {
    serde_json::from_str(PREVIOUS_BUILD).unwrap()
}

#[test]
fn a_snapshot_of_the_previous_build_is_read_and_dates_its_latest_event() {
    let snapshot = previous_build();
    assert_eq!(snapshot.clock, None);
    assert_eq!(snapshot.worker_starts, None);
    assert_eq!(snapshot.latest_event(), DRAINING_SINCE);
}

/// The wall clock was set back by an hour before the successor started: no event in the snapshot lies in the
/// future.
#[test]
fn the_clock_of_a_successor_of_the_previous_build_starts_no_earlier_than_the_latest_event() {
    let mut snapshot = previous_build();
    snapshot.service = LifecycleState::Draining(super::super::super::clock::Clock::default().now() + HOUR);
    let now = snapshot.clock().now();
    assert!(now >= snapshot.latest_event() && now < snapshot.latest_event() + HOUR);
}

#[test]
fn a_successor_uses_the_clock_offset_that_its_predecessor_sends() {
    let mut snapshot = previous_build();
    let predecessor = Clock::starting_at(DRAINING_SINCE);
    snapshot.clock = Some(predecessor.offset());
    assert_eq!(snapshot.clock().offset(), predecessor.offset());
}

#[test]
fn the_previous_build_reads_a_snapshot_of_this_one() {
    let mut snapshot = previous_build();
    snapshot.clock = Some(Clock::default().offset());
    snapshot.worker_starts = Some(WorkerStarts::default());
    let encoded = serde_json::to_value(&snapshot).unwrap();
    assert!(encoded.get("clock").is_some() && encoded.get("worker_starts").is_some());
    let decoded: PreviousBuild = serde_json::from_value(encoded).unwrap();
    assert_eq!(decoded.service, LifecycleState::Draining(DRAINING_SINCE));
}
