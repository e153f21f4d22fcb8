//! The target put to the slopes: what each role costs at its sizes, and which limit breaks first.

use loomlb_capacity::plan::{EvaluatedPlan, Plan};
use loomlb_capacity::report::Report;
use std::path::Path;

/// Puts the figures of a report to a plan, and writes the outcome as JSON where `out` says so.
pub fn plan(plan: &Path, from: &Path, out: Option<&Path>) -> Result<EvaluatedPlan, String> {
    let read = |file: &Path| std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()));
    let named = |e: String| format!("{}: {e}", plan.display());
    let words: Plan = loomlb_config_file::parse(&read(plan)?).map_err(|e| named(e.to_string()))?;
    let report = Report::parse(&read(from)?).map_err(|e| format!("{}: {e}", from.display()))?;
    let planned = words.evaluate(&report).map_err(|e| named(e.to_string()))?;
    if let Some(file) = out {
        let json = serde_json::to_string_pretty(&planned).map_err(|e| e.to_string())? + "\n";
        std::fs::write(file, json).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(planned)
}
