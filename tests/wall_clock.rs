//! Stories of a wall clock that is wrong from the start or is stepped: spans of time go on as if nothing had happened. The
//! program's wall clock is moved by a preloaded shim; its monotonic clock and the clock of the test stay true.

mod harness;

use harness::{
    AgentMode, DiscoveryAgent, FullBacklogServer, Platform, SchedulerProcess, Server, job, wait_until,
};
use loomlb_fault_plan::FaultPlan;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SECOND: i64 = 1_000_000_000;
const HOUR: i64 = 3_600 * SECOND;
const STEPS: [i64; 4] = [HOUR, -HOUR, 5 * SECOND, -5 * SECOND];

/// Clients that ask all the time.
const CLIENTS: usize = 4;
/// What a cold worker of one slot may be sent in the 4 s of the rule below, and what is put down to chance.
const COLD_BUDGET: f64 = 2.5 * 0.3 * 4.0;
/// More than a cold worker may be sent in the time that a story waits at most.
const WARM_SENDS: usize = 60;

/// The settings' rule: a worker is cold for this long, in nanoseconds.
fn slow_start(cold: &str) -> String {
    format!(
        r#""obligations":{{"cold":{cold},"cold_from":0.3,"overload_factor":2.5,"overload_for":4000000000,"#
    )
}

/// An aim that tells nothing of what a job takes: a second, on a worker of one slot.
const AIM: (&str, &str) =
    (r#""aim":900000000,"give_up":5000000000"#, r#""aim":20000000,"give_up":16000000000"#);

/// The worker's entry, born at this moment by the true wall clock.
#[expect(clippy::disallowed_methods, reason = "discovery dates its workers by the wall clock")]
fn born_now(worker: &Server) -> String {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    worker.entry("active").replace(r#""born_ms":0"#, &format!(r#""born_ms":{born}"#))
}

fn forwards(stage: &SchedulerProcess) -> usize {
    stage.counters(&["forwards"])[9..].parse().unwrap()
}

/// Has clients ask for this long, each again as soon as it is answered; the worker answers nothing.
fn ask_all_the_time(stage: &SchedulerProcess, long: Duration) {
    let begun = Instant::now();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let mut line = stage.connect();
            scope.spawn(move || {
                for n in 0.. {
                    if begun.elapsed() > long {
                        break;
                    }
                    line.send(&job("view", &format!("c{client}-{n}"), "0.300"));
                    line.receive_response();
                }
            });
        }
    });
}

/// Two seconds are half a window of the rule.
fn stays_within_the_cold_budget(stage: &SchedulerProcess, step: i64) {
    let before = forwards(stage);
    ask_all_the_time(stage, Duration::from_secs(2));
    let sent = forwards(stage) - before;
    let most = COLD_BUDGET + 2.0 * COLD_BUDGET.sqrt() + 2.0;
    assert!(sent as f64 <= most, "{step} ns: {sent} calls, {COLD_BUDGET} allowed");
}

/// A worker that has just started is cold, whatever the scheduler's wall clock says and however it is stepped.
#[test]
fn a_worker_that_appears_is_cold_whatever_the_wall_clock_says() {
    for step in STEPS {
        let plan = FaultPlan::new().unwrap();
        plan.step_wall_clock(step);
        let (worker, discovery) = (Server::new("s-00000001"), DiscoveryAgent::new(AgentMode::Answers, &[]));
        let rule = slow_start("600000000000");
        let changes = [(r#""obligations":{"#, &*rule), AIM];
        let stage = SchedulerProcess::start_with_changes_and_faults(&plan, &discovery.server, &changes);
        discovery.wait_for_calls("from=2", 1);
        discovery.publish(&[born_now(&worker)]);
        discovery.wait_for_calls("from=3", 1);
        plan.step_wall_clock(-step);
        stays_within_the_cold_budget(&stage, step);
    }
}

/// It is warm after the time that the settings give, and not an hour later.
#[test]
fn a_worker_that_appears_warms_up_in_time_whatever_the_wall_clock_says() {
    for step in [-HOUR, HOUR] {
        let plan = FaultPlan::new().unwrap();
        plan.step_wall_clock(step);
        let (worker, discovery) = (Server::new("s-00000001"), DiscoveryAgent::new(AgentMode::Answers, &[]));
        let rule = slow_start("2000000000");
        let changes = [(r#""obligations":{"#, &*rule), AIM];
        let stage = SchedulerProcess::start_with_changes_and_faults(&plan, &discovery.server, &changes);
        discovery.wait_for_calls("from=2", 1);
        discovery.publish(&[born_now(&worker)]);
        discovery.wait_for_calls("from=3", 1);
        wait_until(&format!("{step} ns: {WARM_SENDS} calls"), || {
            ask_all_the_time(&stage, Duration::from_millis(500));
            forwards(&stage) >= WARM_SENDS
        });
    }
}

/// The wall clock is stepped between the starts of two processes: a worker is no older for the second one.
#[test]
fn a_cold_worker_stays_cold_through_a_hot_restart_across_a_step() {
    for step in STEPS {
        let plan = FaultPlan::new().unwrap();
        let (worker, discovery) = (Server::new("s-00000001"), DiscoveryAgent::new(AgentMode::Answers, &[]));
        let (platform, rule) = (Platform::new(), slow_start("600000000000"));
        let changes = [(r#""obligations":{"#, &*rule), AIM];
        let old = SchedulerProcess::start_on_platform_with_changes_and_faults(
            &plan,
            &discovery.server,
            &platform,
            &changes,
        );
        old.wait_until_ready();
        discovery.wait_for_calls("from=2", 1);
        discovery.publish(&[born_now(&worker)]);
        discovery.wait_for_calls("from=3", 1);
        plan.step_wall_clock(step);
        let new = SchedulerProcess::start_on_platform_with_changes_and_faults(
            &plan,
            &discovery.server,
            &platform,
            &changes,
        );
        new.wait_until_ready();
        stays_within_the_cold_budget(&new, step);
    }
}

/// The wall clock is stepped in the midst of a drain, before a successor starts: idle connections close in time, and the
/// successor takes no job after that.
#[test]
fn a_drain_ends_in_time_across_a_step_and_a_hot_restart() {
    for step in STEPS {
        let (discovery, target) = (Server::new("d"), Server::new("s-00000001"));
        let (platform, plan) = (Platform::new(), FaultPlan::new().unwrap());
        let old = SchedulerProcess::start_on_platform_with_faults(&plan, &[&target], &discovery, &platform);
        old.wait_until_ready();
        let mut kept = old.connect();
        assert!(old.control_request("PUT /control/out-of-service").starts_with("HTTP/1.1 200"));
        plan.step_wall_clock(step);
        assert!(kept.wait_until_closed(), "{step} ns");
        let new = SchedulerProcess::start_on_platform_with_faults(&plan, &[&target], &discovery, &platform);
        new.wait_until_ready();
        assert!(new.control_request("GET /control/ready").contains(r#""service":"draining""#));
        // The time for jobs is over, as the first process has shown: none is taken any more.
        let mut late = new.connect();
        let _ = late.try_send(&job("view", "a1", "0.500"));
        late.receive();
        assert_eq!(new.counters(&["forwards"]), "forwards=0", "{step} ns: a job is taken");
    }
}

/// Clients that wait for long, so that nothing here ends for its time.
const PATIENT: (&str, &str) =
    (r#""aim":900000000,"give_up":5000000000"#, r#""aim":20000000000,"give_up":20000000000"#);
/// Dials may take long.
const SLOW_DIALS: (&str, &str) = (r#""dial_timeout":1000000000"#, r#""dial_timeout":15000000000"#);

/// A job with an idempotency key whose first attempt breaks; its repeat hangs in a dial while the wall clock is stepped,
/// and the dial comes up after `wait`. The client's answer, and what became of the attempts.
fn repeat_across_a_step(window: &str, step: i64, wait: Duration) -> (SchedulerProcess, Server, String) {
    let (one, mut narrow) = (Server::new("s-00000001"), FullBacklogServer::new("s-00000002"));
    let (discovery, plan) =
        (DiscoveryAgent::new(AgentMode::Answers, &[one.entry("active")]), FaultPlan::new().unwrap());
    let keyed = format!(r#""effect":"deduplicated","group":"cell","repeat_window":{window}"#);
    let changes = [PATIENT, SLOW_DIALS, (r#""effect":"idempotent""#, &*keyed)];
    let stage = SchedulerProcess::start_with_changes_and_faults(&plan, &discovery.server, &changes);
    stage.wait_for_counters("lists=1");
    let mut client = stage.connect();
    client.send(&job("view", "a1", "19.000").replace("X-Service", "Idempotency-Key: k\r\nX-Service"));
    let mut first = one.accept();
    assert!(first.receive().contains("Idempotency-Key: k\r\n"));
    discovery.publish(&[one.entry("leaving"), narrow.server.entry("active")]);
    stage.wait_for_counters("forwards=1 lists=2");
    drop(first);
    stage.wait_for_counters("forwards=2 Reset=1 dials=2");
    plan.step_wall_clock(step);
    std::thread::sleep(wait);
    narrow.free_backlog();
    if wait.is_zero() {
        let heard = narrow.server.accept().receive();
        return (stage, narrow.server, heard);
    }
    let answer = client.receive_response();
    (stage, narrow.server, answer)
}

/// The window of a key is a span of real time: once it has passed the repeat is not written, and until then it is.
#[test]
fn a_repeat_is_held_to_its_keys_window_across_a_step() {
    for step in [-HOUR, -5 * SECOND] {
        let late = Duration::from_millis(2100);
        let (stage, _, answer) = repeat_across_a_step("2000000000", step, late);
        assert_eq!(answer, "HTTP/1.1 502 Bad Gateway | failed", "{step} ns");
        assert_eq!(stage.counters(&["forwards", "NotSent"]), "forwards=2 NotSent=1", "{step} ns");
    }
    for step in [HOUR, 5 * SECOND] {
        let (_, _, heard) = repeat_across_a_step("60000000000", step, Duration::ZERO);
        assert!(heard.contains("Idempotency-Key: k\r\n"), "{step} ns: {heard:?}");
    }
}

/// The wall clock is stepped while discovery is silent: it is asked again as soon as without.
#[test]
fn a_silent_discovery_is_asked_again_across_a_step() {
    for step in STEPS {
        let (discovery, plan) = (DiscoveryAgent::new(AgentMode::Answers, &[]), FaultPlan::new().unwrap());
        let stage = SchedulerProcess::start_with_faults(&plan, &[], &discovery.server, "");
        discovery.wait_for_calls("from=2", 1);
        discovery.set_mode(AgentMode::Silent);
        plan.step_wall_clock(step);
        let before = discovery.calls_containing("from=2").len();
        discovery.wait_for_calls("from=2", before + 2);
        discovery.set_mode(AgentMode::Answers);
        let worker = Server::new("s-00000001");
        discovery.publish(&[worker.entry("active")]);
        discovery.wait_for_calls("from=3", 1);
        drop(stage);
    }
}
