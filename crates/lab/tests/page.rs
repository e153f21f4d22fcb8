//! docs/CAPACITY.md is held to what the runs wrote: each figure to its file, the tables to the plan, the plan to the slopes,
//! and the constants that it names to the program.

use loomlb_capacity::page::{MEASURED_END, MEASURED_START, check_figure, linked_figures, unlinked_figures};
use loomlb_capacity::plan::{BreakingPoint, EvaluatedPlan, cost_table, limit_table};
use loomlb_lab::capacity::target;
use serde_json::Value;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|e| panic!("{path}: {e}"))
}

fn planned() -> EvaluatedPlan {
    let docs = root().join("docs/capacity");
    target::plan(&docs.join("target.toml"), &docs.join("slopes.json"), None).unwrap()
}

#[test]
fn each_figure_of_the_page_is_what_its_file_says() {
    let page = read("docs/CAPACITY.md");
    let shown = linked_figures(&page).unwrap();
    assert!(shown.len() > 100, "{} figures", shown.len());
    let wrong: Vec<String> = shown
        .iter()
        .filter_map(|figure| {
            let file: Value = serde_json::from_str(&read(&format!("docs/{}", figure.file))).unwrap();
            check_figure(figure, &file).err().map(|e| e.to_string())
        })
        .collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    let bare: Vec<String> = unlinked_figures(&page).iter().map(ToString::to_string).collect();
    assert!(bare.is_empty(), "{}", bare.join("\n"));
    assert_eq!(page.matches(MEASURED_START).count(), page.matches(MEASURED_END).count());
    assert!(page.matches(MEASURED_START).count() >= 3);
}

#[test]
fn the_plan_follows_from_the_slopes_and_the_pages_tables_from_the_plan() {
    let planned = planned();
    // Through text, as it was written: a number may lose its last digit on the way.
    let written: EvaluatedPlan = serde_json::from_str(&read("docs/capacity/plan.json")).unwrap();
    let again: EvaluatedPlan = serde_json::from_str(&serde_json::to_string(&planned).unwrap()).unwrap();
    assert_eq!(again, written, "write docs/capacity/plan.json anew: loomlb-lab capacity --plan");
    let page = read("docs/CAPACITY.md");
    for table in [cost_table(&planned, "capacity/plan.json"), limit_table(&planned, "capacity/plan.json")] {
        assert!(page.contains(&table), "the page lacks this table:\n{table}");
    }
}

#[test]
fn the_constants_that_the_ranking_names_are_those_of_the_program() {
    let mut seen = 0;
    for ranked in planned().limits {
        let BreakingPoint::Constant { file, name, value, .. } = ranked.limit.breaks else { continue };
        let text = read(&file);
        let plain = |line: &str| line.replace('_', "");
        let at = text
            .lines()
            .position(|l| l.contains(&format!("const {name}:")) || l.contains(&format!("fn {name}()")));
        let at = at.unwrap_or_else(|| panic!("{file} has no {name}"));
        // A constant stands on its line, perhaps as a product; a default in the line after its name.
        let numbers = |line: &str| -> Vec<f64> {
            let words = line.split(|c: char| !c.is_ascii_digit() && c != '.');
            words.filter_map(|n| n.parse().ok()).collect()
        };
        let said: Vec<Vec<f64>> = text.lines().skip(at).take(2).map(|l| numbers(&plain(l))).collect();
        let is = |n: &Vec<f64>| n.contains(&value) || n.iter().product::<f64>() == value;
        assert!(said.iter().any(is), "{file}: {name} is no longer {value}: {said:?}");
        seen += 1;
    }
    assert!(seen >= 4);
}

#[test]
fn what_goes_first_is_what_the_page_says() {
    let planned = planned();
    let first = planned.first_blocker().unwrap();
    assert!(first.limit.carried_by.contains("edits by key"), "{}", first.limit.key);
    assert!(read("docs/CAPACITY.md").contains("**the changes go first**"));
}
