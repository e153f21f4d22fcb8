//! Reading of scenario files, and the settings that result from a scenario.

use loomlb_policy::raw_settings::RawSettings;
use loomlb_simulation::Scenario;
use loomlb_simulation::settings;

const VALID_SCENARIO: &str = "name = \"d\"\nseconds = 10\n\n[fleet]\nworkers = 4\n\n[load]\npart = 0.5\n";

#[test]
fn an_invalid_scenario_is_rejected_with_line_key_and_reason() {
    assert!(Scenario::read(VALID_SCENARIO).is_ok());
    let cases = [
        ("workers = 4", "workers = 0", "line 5: fleet.workers: a fleet has 1 to 100000 workers"),
        ("workers = 4", "workers = -4", "line 5: invalid value: integer `-4`, expected usize"),
        ("workers = 4", "workers = \"four\"", "line 5: invalid type: string \"four\", expected usize"),
        ("part = 0.5", "rate_per_s = -3.0", "line 8: load.rate_per_s: a rate is above 0 and at most 1e7"),
        ("part = 0.5", "", "line 7: load: one of `part` and `rate_per_s` is needed"),
        (
            "part = 0.5",
            "part = 0.5\nrate_per_s = 5",
            "line 9: load.rate_per_s: `part` is given as well; leave one of them out",
        ),
        (
            "seconds = 10",
            "seconds = nan",
            "line 2: seconds: a scenario lasts more than 0 and at most 86400 s",
        ),
        (
            "part = 0.5",
            "part = 0.5\n[[trouble]]\nkind = \"flood\"\nat_s = 1",
            "line 10: unknown variant `flood`",
        ),
        (
            "part = 0.5",
            "part = 0.5\n[[trouble]]\nkind = \"burst\"\nat_s = 11",
            "line 11: trouble[0].at_s: a fault starts within the scenario, at 0 or later and before `seconds`",
        ),
        ("part = 0.5", "part = 0.5\ncolour = 1", "line 9: unknown field `colour`"),
        ("part = 0.5", "part = 0.5\n[network]\njitter = -1", "line 10: network.jitter: 0 or more is needed"),
        ("[load]", "[load", "line 7: unclosed table, expected `]`"),
        (
            "part = 0.5",
            "part = 0.5\n[[class]]\nname = \"a\"\nwork_ms = 0\naim_ms = 5\ndeadline_ms = 9\neffect = \"safe\"",
            "line 11: class[0].work_ms: work is above 0",
        ),
    ];
    for (old, new, expected) in cases {
        let error = Scenario::read(&VALID_SCENARIO.replace(old, new)).unwrap_err().to_string();
        assert!(error.starts_with(expected), "{new:?}: {error}");
    }
}

/// The settings are generated as JSON and read by the same parser as those of a scheduler.
#[test]
fn the_decision_module_reads_the_generated_settings() {
    let scenario = Scenario::read(&format!("{VALID_SCENARIO}[[tenant]]\nname = \"t\"\nshare = 1\n")).unwrap();
    assert!(serde_json::from_value::<RawSettings>(settings::raw_settings(&scenario, 0, &[9.0])).is_ok());
    let (policy_settings, names) = settings::dispatcher_settings(&scenario, 0, &[9.0]);
    assert_eq!(
        (
            policy_settings.classes.len(),
            policy_settings.tenants.len(),
            policy_settings.kind_count,
            policy_settings.dispatcher_count
        ),
        (3, 1, 2, 1)
    );
    assert_eq!(names.classes, ["view", "sign", "lodge"]);
    assert_eq!(policy_settings.tenants[0].quota_per_s, 9.0);
    assert!(
        policy_settings.limits.cancel
            && policy_settings.limits.probing
            && policy_settings.limits.max_attempts == 4
            && policy_settings.job_starts_reported
    );
    assert_eq!(
        (policy_settings.obligations.overload_factor, policy_settings.obligations.warm_up_time),
        (2.5, 18_000_000_000)
    );
}
