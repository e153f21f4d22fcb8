//! Keys and defaults of the configuration and of the operator file, and what is said of a faulty one.

use super::command_line::run;
use crate::golden;
use loomlb_scheduler::config::Config;
use serde_json::{Value, json};
use std::fmt::Write;
use std::path::Path;

/// The least that a configuration has.
fn least() -> Value {
    json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {"classes": [{"name": "view"}]}})
}

/// Every key of the configuration, by its path.
const KEYS: &str = "name listen discovery control seed limits limits.memory_mb limits.sockets peer_listen peers \
    peers_all known settings settings.balancers settings.rank settings.my_zone settings.zones settings.kinds \
    settings.classes settings.classes.0.name settings.classes.0.aim settings.classes.0.aim_stretch \
    settings.classes.0.give_up settings.classes.0.worth settings.classes.0.late_worth settings.classes.0.effect \
    settings.classes.0.group settings.classes.0.repeat_window settings.tenants settings.tenants.0.name \
    settings.tenants.0.quota_rps settings.over_share_worth settings.worth_by settings.registry_mode \
    settings.weights settings.tick settings.load_report settings.load_report.fields settings.load_report.how \
    settings.ceilings settings.ceilings.cancel settings.ceilings.dial_timeout settings.ceilings.keepalive \
    settings.ceilings.max_attempts settings.ceilings.max_open settings.ceilings.max_retry_after \
    settings.ceilings.may_tell settings.ceilings.probing settings.ceilings.retry_after \
    settings.ceilings.second_copies settings.obligations settings.obligations.cold settings.obligations.cold_from \
    settings.obligations.drain_grace settings.obligations.must_ask_in settings.obligations.overload_factor \
    settings.obligations.overload_for settings.penalties settings.penalties.cross_zone settings.penalties.waste \
    settings.penalties.late_fail settings.penalties.peer settings.penalties.probe settings.penalties.handshake \
    settings.extra settings.extra.class_kind settings.extra.class_stretch settings.extra.progress \
    settings.extra.tells_start settings.extra.queue_order settings.extra.report_x0";

/// Puts a value at a path; what is missing on the way is made.
fn put(config: &mut Value, path: &str, value: Value) {
    let mut at = config;
    for part in path.split('.') {
        at = match part.parse::<usize>() {
            Ok(place) => {
                if at.is_null() {
                    *at = json!([]);
                }
                let list = at.as_array_mut().unwrap();
                if list.len() <= place {
                    list.push(json!({}));
                }
                &mut list[place]
            }
            Err(_) => &mut at[part],
        };
    }
    *at = value;
}

fn read(config: &Value, file: &Path) -> Result<Config, String> {
    std::fs::write(file, config.to_string()).unwrap();
    Config::load(Some(file))
}

/// A value of a wrong type at each key: the fault names the key and what it takes, so the key is known and typed. A key
/// that is not known is passed over.
#[test]
fn keys_of_the_configuration_keep_their_names_and_types() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let mut text = String::new();
    for key in KEYS.split_whitespace().chain(["novel", "settings.novel", "limits.novel"]) {
        // An object may be written as the list of its values, so a list is not wrong everywhere.
        let wrong = [json!([true]), json!("x"), json!(true)];
        let faults = wrong.iter().filter_map(|wrong| {
            let mut config = least();
            put(&mut config, key, wrong.clone());
            read(&config, &file).err()
        });
        let mut faults: Vec<String> = faults.collect();
        faults.dedup();
        writeln!(text, "{key}:").unwrap();
        if faults.is_empty() {
            faults.push("taken".into());
        }
        faults.iter().for_each(|fault| writeln!(text, "    {fault}").unwrap());
    }
    golden::check("configuration-keys.txt", text.as_bytes());
}

/// What the least configuration comes to: each default of the settings and of the limits.
#[test]
fn defaults_of_the_configuration_stay() {
    let folder = tempfile::tempdir().unwrap();
    let config = read(&least(), &folder.path().join("config.json")).unwrap();
    let (settings, terms) = (&config.settings.policy, &config.settings.network);
    let (class, limits) = (&settings.classes[0], &settings.limits);
    let (obligations, costs) = (&settings.obligations, &settings.costs);
    let mut text = String::new();
    let mut row = |key: &str, value: String| writeln!(text, "{key}: {value}").unwrap();
    row("name", config.name.clone());
    row("control", format!("{:?}", config.control));
    row("seed", config.seed.to_string());
    row("limits: connections in, idle ones from, out", {
        format!("{} {} {}", config.max_inbound, config.idle_close_threshold, config.max_outbound)
    });
    row("limits: bytes of bodies, of a list", format!("{} {}", config.max_body_bytes, config.max_list_bytes));
    row("peer_listen", format!("{:?}", config.peer_listen));
    row("peers", config.peers.len().to_string());
    row("peers_all", format!("{:?}", config.peers_all));
    row("known", config.initial_list.to_string());
    row("settings.balancers", settings.dispatcher_count.to_string());
    row("settings.rank", settings.own_id.0.to_string());
    row("settings.my_zone", settings.own_zone.0.to_string());
    row("settings.zones", settings.zone_count.to_string());
    row("settings.kinds", settings.kind_count.to_string());
    row("settings.classes[0].aim", class.latency_objective.to_string());
    row("settings.classes[0].aim_stretch", class.objective_stretch.to_string());
    row("settings.classes[0].give_up", class.client_timeout.to_string());
    row("settings.classes[0].worth", class.worth.to_string());
    row("settings.classes[0].late_worth", class.late_worth.to_string());
    row("settings.classes[0].repeat_window", class.dedup_window.to_string());
    row("settings.tenants", settings.tenants.len().to_string());
    row("settings.over_share_worth", settings.over_share_worth.to_string());
    row("settings.worth_by is work", settings.worth_by_work.to_string());
    row("settings.registry_mode is subscribe", settings.list_needs_watch.to_string());
    row("settings.tick", settings.tick.to_string());
    row("settings.load_report.fields", terms.report_fields.len().to_string());
    row("settings.ceilings.cancel", limits.cancel.to_string());
    row("settings.ceilings.dial_timeout", terms.dial_timeout.to_string());
    row("settings.ceilings.keepalive", terms.keepalive.to_string());
    row("settings.ceilings.max_attempts", limits.max_attempts.to_string());
    row("settings.ceilings.max_open", terms.max_open.to_string());
    row("settings.ceilings.max_retry_after", limits.max_retry_after.to_string());
    row("settings.ceilings.may_tell", limits.peer_messages.to_string());
    row("settings.ceilings.probing", limits.probing.to_string());
    row("settings.ceilings.second_copies", limits.hedging.to_string());
    row("settings.obligations.cold", obligations.warm_up_time.to_string());
    row("settings.obligations.cold_from", obligations.initial_capacity_share.to_string());
    row("settings.obligations.drain_grace", terms.drain_grace.to_string());
    row("settings.obligations.must_ask_in", obligations.list_request_interval.to_string());
    row("settings.obligations.overload_factor", obligations.overload_factor.to_string());
    row("settings.obligations.overload_for", obligations.overload_window.to_string());
    row("settings.penalties.cross_zone", costs.cross_zone.to_string());
    row("settings.penalties.waste", costs.waste.to_string());
    row("settings.penalties.late_fail", costs.late_failure.to_string());
    row("settings.penalties.peer", costs.peer_message.to_string());
    row("settings.penalties.probe", costs.probe.to_string());
    row("settings.penalties.handshake", costs.handshake.to_string());
    row("settings.extra.progress", settings.progress_interval.to_string());
    row("settings.extra.tells_start", settings.job_starts_reported.to_string());
    row("settings.extra.report_x0 is free slots", settings.free_slots_reported.to_string());
    golden::check("configuration-defaults.txt", text.as_bytes());
}

/// `check-config` on files that are good and files that are not.
#[test]
fn what_check_config_says_stays() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let path = file.to_str().unwrap();
    let mut full = least();
    for (key, value) in [
        ("name", json!("n1")),
        ("control", json!("127.0.0.1:2")),
        ("limits", json!({"sockets": 64, "memory_mb": 32})),
        ("peers", json!(["127.0.0.1:3", "127.0.0.1:4"])),
        ("settings.balancers", json!(2)),
        ("settings.rank", json!(1)),
        ("settings.tenants", json!([{"name": "acme", "quota_rps": 5}, {"name": "bolt"}])),
        ("settings.classes.0.give_up", json!(5)),
    ] {
        put(&mut full, key, value);
    }
    let mut texts =
        vec![least().to_string(), full.to_string(), "{".into(), "[]".into(), "7".into(), String::new()];
    for (key, value) in [
        ("listen", Value::Null),
        ("discovery", json!("here")),
        ("control", json!("there")),
        ("seed", json!("xyz")),
        ("seed", json!(-1)),
        ("limits.sockets", json!(8)),
        ("limits.memory_mb", json!(8)),
        ("peers", json!(["127.0.0.1:3", "x"])),
        ("settings", Value::Null),
        ("settings.classes", json!([])),
        ("settings.classes.0.name", json!("")),
        ("settings.classes.0.give_up", json!(0)),
        ("settings.ceilings.max_attempts", json!(0)),
    ] {
        let mut config = least();
        put(&mut config, key, value);
        texts.push(config.to_string());
    }
    let mut text = String::new();
    for config in texts {
        std::fs::write(&file, &config).unwrap();
        writeln!(text, "{config}").unwrap();
        text += &run(&["check-config", "-c", path], folder.path());
    }
    golden::check("check-config.txt", text.as_bytes());
}

/// Operator files: good ones, and a wrong one for each key. The fault for a key that is unknown names all that are known.
#[test]
fn keys_and_defaults_of_the_operator_file_stay() {
    let folder = tempfile::tempdir().unwrap();
    let (config, operator) = (folder.path().join("config.json"), folder.path().join("loomlb.toml"));
    std::fs::write(&config, least().to_string()).unwrap();
    let tier = "[tier]\nkey = \"sixteen letters.\"\n";
    let voters = "[[tier.voter]]\nname = \"a\"\nat = \"127.0.0.1:1\"\n";
    let whole = format!("{tier}{voters}");
    let in_tier = |line: &str| format!("{tier}{line}\n{voters}");
    let mut files = vec![
        String::new(),
        "[log]\nformat = \"json\"\nlevel = \"info,loomlb_scheduler=debug\"".into(),
        whole.clone(),
        in_tier("on_lapse = \"strict\"\nbound_s = 9\ndrift = 0.02\ndelay_s = 0.5\nrenew_s = 0.5"),
        "[quota]\n[[quota.node]]\nname = \"all\"\n".into(),
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/loomlb.toml")).unwrap(),
        "novel = 1".into(),
        "log = 7".into(),
        "tier = 7".into(),
        "quota = 7".into(),
        "[quota]\nnode = 7".into(),
        "[[quota.node]]\nname = \"all\"\nrequests = 7".into(),
        "[[quota.node]]\nname = \"all\"\nwindow = [7]".into(),
        "[quota]\nnode = [7]".into(),
        "[quota]\nover = 7".into(),
        "[tier]\nvoter = 7".into(),
        "[tier]\nvoter = [7]".into(),
        "[tier]\non_lapse = 7".into(),
        "[log]\nformat = 7".into(),
        "[log]\nnovel = 1".into(),
        "[log]\nformat = \"xml\"".into(),
        "[log]\nlevel = \"loud\"".into(),
        "[log]\nlevel = 1".into(),
        "[log".into(),
        "[tier]".into(),
        "[tier]\nkey = \"short\"\nvoter = []".into(),
        "[tier]\nkey = \"sixteen letters.\"\nvoter = []".into(),
        format!("{whole}{voters}{voters}"),
        format!("{tier}[[tier.voter]]\nname = \"a\"\nat = \"127.0.0.1:1\"\nnovel = 1"),
        "[quota]\nnovel = 1".into(),
        "[[quota.node]]\nname = \"all\"\nnovel = 1".into(),
        "[[quota.node]]\nname = \"all\"\nrequests = { novel = 1 }".into(),
        "[[quota.node]]\nname = \"all\"\n[[quota.node.window]]\nnovel = 1".into(),
        "[[quota.node]]\nname = \"all\"\n[[quota.node.window]]\nmeasure = \"novel\"".into(),
        "[quota]\nover = \"novel\"".into(),
        "[[quota.node]]\nname = \"all\"\n[[quota.node]]\nname = \"b\"".into(),
        "[[quota.node]]\nname = \"all\"\nweight = -1.0".into(),
    ];
    for line in [
        "novel = 1",
        "listen = 1",
        "store = 1",
        "found = 1",
        "bound_s = 1.2",
        "bound_s = 86401",
        "drift = \"x\"",
        "drift = 2.0",
        "delay_s = -1.0",
        "renew_s = -1.0",
        "on_lapse = \"novel\"",
        "history = 1",
        "trial_clock = 9.0",
    ] {
        files.push(in_tier(line));
    }
    let mut text = String::new();
    for file in files {
        std::fs::write(&operator, &file).unwrap();
        let args = ["check-config", "-c", config.to_str().unwrap(), "-o", operator.to_str().unwrap()];
        writeln!(text, "{file}").unwrap();
        text += &run(&args, folder.path());
    }
    golden::check("operator-file.txt", text.as_bytes());
}
