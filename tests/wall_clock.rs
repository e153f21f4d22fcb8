//! End-to-end tests with a wall clock that is wrong at the start or is stepped, which must not affect any duration. A
//! preloaded library shifts the wall clock of the program, but not its monotonic clock or the clock of the test.

mod harness;

use harness::{
    AgentMode, DiscoveryAgent, FullBacklogServer, Platform, SchedulerProcess, Server, job, wait_until,
};
use loomlb_fault_plan::FaultPlan;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SECOND: i64 = 1_000_000_000;
const HOUR: i64 = 3_600 * SECOND;
const STEPS: [i64; 4] = [HOUR, -HOUR, 5 * SECOND, -5 * SECOND];

/// Number of clients that send jobs without pause.
const CLIENTS: usize = 4;
/// Mean number of jobs that a cold worker of one slot may be sent in the 4 s of `overload_for`.
const COLD_BUDGET: f64 = 2.5 * 0.3 * 4.0;
/// More jobs than a cold worker may be sent in the time that `until` waits.
const WARM_FORWARDS: usize = 60;

/// Returns the beginning of the `obligations`, with a slow start of this many nanoseconds.
fn slow_start_settings(cold: &str) -> String {
    format!(
        r#""obligations":{{"cold":{cold},"cold_from":0.3,"overload_factor":2.5,"overload_for":4000000000,"#
    )
}

/// Configuration change to an objective much shorter than the running time of a job, and a long client timeout.
const SHORT_OBJECTIVE: (&str, &str) =
    (r#""aim":900000000,"give_up":5000000000"#, r#""aim":20000000,"give_up":16000000000"#);

/// Returns the worker's list entry, with the current time of the real wall clock as its start.
#[expect(clippy::disallowed_methods, reason = "discovery dates its workers by the wall clock")]
fn entry_started_now(worker: &Server) -> String {
    let start_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    worker.entry("active").replace(r#""born_ms":0"#, &format!(r#""born_ms":{start_ms}"#))
}

fn forward_count(stage: &SchedulerProcess) -> usize {
    stage.counters(&["forwards"])[9..].parse().unwrap()
}

/// Runs clients for this long that send the next job as soon as the previous one is answered. The worker answers none.
fn send_jobs_continuously(stage: &SchedulerProcess, duration: Duration) {
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let mut connection = stage.connect();
            scope.spawn(move || {
                for number in 0.. {
                    if started_at.elapsed() > duration {
                        break;
                    }
                    connection.send(&job("view", &format!("c{client}-{number}"), "0.300"));
                    connection.receive_response();
                }
            });
        }
    });
}

/// Sends jobs for two seconds, half of `overload_for`, and checks the number of forwards.
fn assert_within_cold_budget(stage: &SchedulerProcess, step: i64) {
    let forwards_before = forward_count(stage);
    send_jobs_continuously(stage, Duration::from_secs(2));
    let sent = forward_count(stage) - forwards_before;
    let limit = COLD_BUDGET + 2.0 * COLD_BUDGET.sqrt() + 2.0;
    assert!(sent as f64 <= limit, "{step} ns: {sent} forwards, at most {limit} allowed");
}

/// Guards against taking a worker that has just started for a warm one because of the scheduler's wall clock.
#[test]
fn a_new_worker_is_cold_whatever_the_wall_clock_shows() {
    for step in STEPS {
        let plan = FaultPlan::new().unwrap();
        plan.step_wall_clock(step);
        let (worker, discovery) = (Server::new("s-00000001"), DiscoveryAgent::new(AgentMode::Answers, &[]));
        let obligations = slow_start_settings("600000000000");
        let changes = [(r#""obligations":{"#, &*obligations), SHORT_OBJECTIVE];
        let stage = SchedulerProcess::start_with_changes_and_faults(&plan, &discovery.server, &changes);
        discovery.wait_for_calls("from=2", 1);
        discovery.publish(&[entry_started_now(&worker)]);
        discovery.wait_for_calls("from=3", 1);
        plan.step_wall_clock(-step);
        assert_within_cold_budget(&stage, step);
    }
}

/// Guards against a slow start that is prolonged by the error of the wall clock.
#[test]
fn a_new_worker_warms_up_in_time_whatever_the_wall_clock_shows() {
    for step in [-HOUR, HOUR] {
        let plan = FaultPlan::new().unwrap();
        plan.step_wall_clock(step);
        let (worker, discovery) = (Server::new("s-00000001"), DiscoveryAgent::new(AgentMode::Answers, &[]));
        let obligations = slow_start_settings("2000000000");
        let changes = [(r#""obligations":{"#, &*obligations), SHORT_OBJECTIVE];
        let stage = SchedulerProcess::start_with_changes_and_faults(&plan, &discovery.server, &changes);
        discovery.wait_for_calls("from=2", 1);
        discovery.publish(&[entry_started_now(&worker)]);
        discovery.wait_for_calls("from=3", 1);
        wait_until(&format!("{step} ns: {WARM_FORWARDS} forwards"), || {
            send_jobs_continuously(&stage, Duration::from_millis(500));
            forward_count(&stage) >= WARM_FORWARDS
        });
    }
}

/// Guards against a successor that considers a worker older because the wall clock was stepped before it started.
#[test]
fn a_cold_worker_stays_cold_after_a_clock_step_and_a_hot_restart() {
    for step in STEPS {
        let plan = FaultPlan::new().unwrap();
        let (worker, discovery) = (Server::new("s-00000001"), DiscoveryAgent::new(AgentMode::Answers, &[]));
        let (platform, obligations) = (Platform::new(), slow_start_settings("600000000000"));
        let changes = [(r#""obligations":{"#, &*obligations), SHORT_OBJECTIVE];
        let predecessor = SchedulerProcess::start_on_platform_with_changes_and_faults(
            &plan,
            &discovery.server,
            &platform,
            &changes,
        );
        predecessor.wait_until_ready();
        discovery.wait_for_calls("from=2", 1);
        discovery.publish(&[entry_started_now(&worker)]);
        discovery.wait_for_calls("from=3", 1);
        plan.step_wall_clock(step);
        let successor = SchedulerProcess::start_on_platform_with_changes_and_faults(
            &plan,
            &discovery.server,
            &platform,
            &changes,
        );
        successor.wait_until_ready();
        assert_within_cold_budget(&successor, step);
    }
}

/// The wall clock is stepped during a drain, before a successor starts: idle connections are closed in time, and the
/// successor accepts no more jobs.
#[test]
fn a_drain_ends_in_time_despite_a_clock_step_and_a_hot_restart() {
    for step in STEPS {
        let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
        let (platform, plan) = (Platform::new(), FaultPlan::new().unwrap());
        let predecessor =
            SchedulerProcess::start_on_platform_with_faults(&plan, &[&target], &discovery, &platform);
        predecessor.wait_until_ready();
        let mut idle = predecessor.connect();
        assert!(predecessor.control_request("PUT /control/out-of-service").starts_with("HTTP/1.1 200"));
        plan.step_wall_clock(step);
        assert!(idle.wait_until_closed(), "{step} ns");
        let successor =
            SchedulerProcess::start_on_platform_with_faults(&plan, &[&target], &discovery, &platform);
        successor.wait_until_ready();
        assert!(successor.control_request("GET /control/ready").contains(r#""service":"draining""#));
        // The predecessor has closed its idle connection, so the drain period is over and no job is accepted.
        let mut late = successor.connect();
        let _ = late.try_send(&job("view", "a1", "0.500"));
        late.receive();
        assert_eq!(successor.counters(&["forwards"]), "forwards=0", "{step} ns: a job was accepted");
    }
}

/// Configuration change to a long objective and client timeout, so that no job ends by a timeout.
const LONG_CLIENT_TIMEOUT: (&str, &str) =
    (r#""aim":900000000,"give_up":5000000000"#, r#""aim":20000000000,"give_up":20000000000"#);
/// Configuration change to a long dial timeout.
const LONG_DIAL_TIMEOUT: (&str, &str) = (r#""dial_timeout":1000000000"#, r#""dial_timeout":15000000000"#);

/// Sends a job with an idempotency key and breaks its first attempt. The dial of the retry hangs while the wall clock
/// is stepped, and completes after `wait`. Returns the client's answer, or the retry's request if `wait` is zero.
fn retry_across_a_clock_step(window: &str, step: i64, wait: Duration) -> (SchedulerProcess, Server, String) {
    let (one, mut narrow) = (Server::new("s-00000001"), FullBacklogServer::new("s-00000002"));
    let (discovery, plan) =
        (DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]), FaultPlan::new().unwrap());
    let deduplicated = format!(r#""effect":"deduplicated","group":"cell","repeat_window":{window}"#);
    let changes = [LONG_CLIENT_TIMEOUT, LONG_DIAL_TIMEOUT, (r#""effect":"idempotent""#, &*deduplicated)];
    let stage = SchedulerProcess::start_with_changes_and_faults(&plan, &discovery.server, &changes);
    stage.wait_for_counters("lists=1");
    let mut client = stage.connect();
    client.send(&job("view", "a1", "19.000").replace("X-Service", "Idempotency-Key: k\r\nX-Service"));
    let mut first_attempt = one.accept();
    assert!(first_attempt.receive().contains("Idempotency-Key: k\r\n"));
    discovery.publish(&[one.entry("leaving"), narrow.server.entry("active")]);
    stage.wait_for_counters("forwards=1 lists=2");
    drop(first_attempt);
    stage.wait_for_counters("forwards=2 Reset=1 dials=2");
    plan.step_wall_clock(step);
    std::thread::sleep(wait);
    narrow.free_backlog();
    if wait.is_zero() {
        let request = narrow.server.accept().receive();
        return (stage, narrow.server, request);
    }
    let answer = client.receive_response();
    (stage, narrow.server, answer)
}

/// Guards against measuring the deduplication window of a key by the wall clock: the retry must be sent within the
/// window and must not be sent after it.
#[test]
fn a_retry_respects_the_deduplication_window_despite_a_clock_step() {
    for step in [-HOUR, -5 * SECOND] {
        let after_the_window = Duration::from_millis(2100);
        let (stage, _, answer) = retry_across_a_clock_step("2000000000", step, after_the_window);
        assert_eq!(answer, "HTTP/1.1 502 Bad Gateway | failed", "{step} ns");
        assert_eq!(stage.counters(&["forwards", "NotSent"]), "forwards=2 NotSent=1", "{step} ns");
    }
    for step in [HOUR, 5 * SECOND] {
        let (_, _, request) = retry_across_a_clock_step("60000000000", step, Duration::ZERO);
        assert!(request.contains("Idempotency-Key: k\r\n"), "{step} ns: {request:?}");
    }
}

/// Guards against a step of the wall clock that delays the retries of requests to a silent discovery.
#[test]
fn requests_to_a_silent_discovery_are_retried_despite_a_clock_step() {
    for step in STEPS {
        let (discovery, plan) = (DiscoveryAgent::new(AgentMode::Answers, &[]), FaultPlan::new().unwrap());
        let stage = SchedulerProcess::start_with_faults(&plan, &[], &discovery.server, "");
        discovery.wait_for_calls("from=2", 1);
        discovery.set_mode(AgentMode::Silent);
        plan.step_wall_clock(step);
        let calls_before = discovery.calls_containing("from=2").len();
        discovery.wait_for_calls("from=2", calls_before + 2);
        discovery.set_mode(AgentMode::Answers);
        let worker = Server::new("s-00000001");
        discovery.publish(&[worker.entry("active")]);
        discovery.wait_for_calls("from=3", 1);
        drop(stage);
    }
}
