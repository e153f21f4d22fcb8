//! Tables for people.

use loomlb_simulation::Scenario;
use loomlb_simulation::simulate::SimulationResult;
use std::fmt::Write;

/// Lays out rows in columns, the first to the left and the others to the right.
pub fn columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| rows.iter().filter_map(|r| r.get(c)).map(|s| s.chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..count).map(width).collect();
    let mut out = String::new();
    for row in rows {
        let mut line = String::new();
        for (c, cell) in row.iter().enumerate() {
            let pad = " ".repeat(widths[c] - cell.chars().count());
            let _ = if c == 0 { write!(line, "{cell}{pad}") } else { write!(line, "  {pad}{cell}") };
        }
        out.push_str(line.trim_end());
        out.push('\n');
    }
    out
}

/// The figures of a day on sockets.
pub fn emulated(day: &Scenario, seed: u64, p: &loomlb_emulator::EmulationResult) -> String {
    let row = |a: &str, b: String| vec![a.to_string(), b];
    let mut rows = vec![
        row("taken", p.taken.to_string()),
        row("answered", p.answered.to_string()),
        row("requests", p.figures.requests.to_string()),
        row("served", p.served.to_string()),
        row("served in time", p.in_time.to_string()),
        row("refused", p.refused.to_string()),
        row("failed", p.failed.to_string()),
        row("left early", p.figures.left.to_string()),
        row("attempts", p.checker_counts.attempts.to_string()),
        row("p50", format!("{:.1} ms", p.p50_ms)),
        row("p99", format!("{:.1} ms", p.p99_ms)),
        row("service", format!("{:.3}", p.figures.service)),
        row("service, worst 10 s", format!("{:.3}", p.figures.worst_window)),
    ];
    for t in &day.faults {
        rows.push(row(&format!("trouble {}", t.kind.name()), p.counters.of(t.kind).to_string()));
    }
    rows.push(row("call-backs before their 202", p.early_callbacks.to_string()));
    rows.push(row("call-backs to a successor", p.callbacks_to_successor.to_string()));
    rows.push(row("crashes", p.crashes.to_string()));
    for (s, c) in p.scheduler_costs.iter().enumerate() {
        rows.push(row(
            &format!("scheduler {s}: CPU, peak memory"),
            format!("{:.2} s, {:.1} MB", c.cpu_s, c.peak_mb),
        ));
    }
    rows.push(row(
        "this host: CPU, peak memory",
        format!("{:.2} s, {:.1} MB", p.host_cost.cpu_s, p.host_cost.peak_mb),
    ));
    rows.push(row("this host late by, p99", format!("{:.1} ms", p.lag_p99_ms)));
    rows.push(row("breaches", p.violations.to_string()));
    let mut out = format!("{} (seed {seed}) on sockets, {:.1} s\n{}", day.name, p.duration_s, columns(&rows));
    if p.host_too_slow() {
        out += "this machine was too slow for the day: its figures say little\n";
    }
    if let Some(first) = p.first_violations.first() {
        out += &format!("first breach: {first}");
    }
    out
}

/// The figures of a day in virtual time.
pub fn played(day: &Scenario, seed: u64, p: &SimulationResult) -> String {
    let f = &p.figures;
    let mut out = format!(
        "{} (seed {seed}): {} workers, {} schedulers, {:.0} requests a second for {} s\n",
        day.name, day.fleet.workers, day.schedulers.count, p.rate, day.seconds
    );
    let row = |a: &str, b: String| vec![a.to_string(), b];
    let mut rows = vec![
        row("requests", f.requests.to_string()),
        row("tries taken", p.seen.taken.to_string()),
        row("served", f.served.to_string()),
        row("served in time", f.in_time.to_string()),
        row("refused", f.refused.to_string()),
        row("failed", f.failed.to_string()),
        row("no scheduler", f.unreachable.to_string()),
        row("left early", f.left.to_string()),
        row("attempts", p.seen.attempts.to_string()),
        row("p50", format!("{:.1} ms", f.p50_ms)),
        row("p99", format!("{:.1} ms", f.p99_ms)),
        row("service", format!("{:.3}", f.service)),
        row("service, worst 10 s", format!("{:.3}", f.worst_window)),
    ];
    rows.extend(
        day.classes
            .iter()
            .zip(&f.classes)
            .map(|(c, x)| row(&format!("service, class {}", c.name), format!("{x:.3}"))),
    );
    rows.extend(
        day.tenants
            .iter()
            .zip(&f.tenants)
            .map(|(t, x)| row(&format!("service, tenant {}", t.name), format!("{x:.3}"))),
    );
    rows.push(row("work wasted", format!("{:.1} %", p.wasted * 100.0)));
    for t in &day.faults {
        rows.push(row(&format!("trouble {}", t.kind.name()), p.counters.of(t.kind).to_string()));
    }
    rows.push(row("breaches", p.violations.to_string()));
    out += &columns(&rows);
    out += &format!("digest {}\n", p.digest);
    if let Some(first) = p.first_violations.first() {
        out += &format!("first breach: {first}");
    }
    out
}
