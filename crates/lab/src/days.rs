//! Day files: those that ship with the laboratory, and those of a user.

use loomlb_simulation::Scenario;
use std::path::Path;

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        /// The days that ship, by name: calm, one for each trouble, all troubles, and a large fleet.
        pub const SHIPPED: &[(&str, &str)] = &[$(($name, include_str!(concat!("../days/", $name, ".toml")))),*];
    };
}
shipped![
    "demo",
    "calm",
    "vanish",
    "crash",
    "fast_errors",
    "pauses",
    "report_late",
    "burst",
    "heavy_tail",
    "drain",
    "rolling_restart",
    "scheduler_kill",
    "scheduler_term",
    "discovery_down",
    "discovery_moved",
    "partition",
    "slow_reader",
    "stuck_connection",
    "all",
    "every",
    "surge",
    "herd",
    "zone",
    "join",
    "split",
    "orders-calm",
    "orders-overload",
    "orders-cut",
    "orders-burst",
    "large",
    "huge",
];

/// Reads a day: a file, or one that ships by its name (`calm` or `calm.toml`).
pub fn load(name: &Path) -> Result<Scenario, String> {
    let text = match std::fs::read_to_string(name) {
        Ok(text) => text,
        Err(e) => {
            let plain = name.to_string_lossy();
            let plain = plain.strip_suffix(".toml").unwrap_or(&plain);
            match SHIPPED.iter().find(|d| d.0 == plain) {
                Some(day) => day.1.to_string(),
                None => {
                    let names: Vec<&str> = SHIPPED.iter().map(|d| d.0).collect();
                    return Err(format!(
                        "{}: {e}; no day of that name ships either ({})",
                        name.display(),
                        names.join(", ")
                    ));
                }
            }
        }
    };
    Scenario::read(&text).map_err(|e| format!("{}: {e}", name.display()))
}
