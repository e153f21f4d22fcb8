//! Tests of the comparison between pages and files, with one page for each kind of difference.

use loomlb_capacity::page::{
    MEASURED_END, MEASURED_START, PageError, check_figure, format_number, format_rounded, linked_figures,
    lookup, unlinked_figures,
};
use serde_json::json;

fn page_errors(page: &str) -> Vec<PageError> {
    let file = json!({"series": [{"key": "a", "points": [4.26, 19000.4]}, {"key": "b", "at": -1234567.0}]});
    match linked_figures(page) {
        Ok(figures) => figures.iter().filter_map(|s| check_figure(s, &file).err()).collect(),
        Err(e) => vec![e],
    }
}

#[test]
fn a_page_that_matches_its_files_has_no_errors() {
    let page = "x [4.26](f.json#/series/key=a/points/0) and [4.3](f.json#/series/0/points/0) of\n\
        [19,000](f.json#/series/key=a/points/1) or [19.0004](f.json?per=1000#/series/key=a/points/1), \
        [-1,234,567](f.json#/series/key=b/at), [a page](other.md#part)";
    assert_eq!(linked_figures(page).unwrap().len(), 5);
    assert!(page_errors(page).is_empty(), "{:?}", page_errors(page));
}

#[test]
fn differences_and_invalid_paths_are_reported_with_their_line() {
    let mismatches = page_errors("\n[4.27](f.json#/series/key=a/points/0)");
    assert_eq!(
        mismatches[0].to_string(),
        "line 2: f.json#/series/key=a/points/0: the page says 4.27, the file 4.26; correct the page"
    );
    for path in ["/series/key=c/at", "/series/9", "/series/key=a", "/series/key=a/points/x", "/none"] {
        assert!(
            matches!(
                &page_errors(&format!("[1](f.json#{path})"))[..],
                [PageError::MissingValue { line: 1, .. }]
            ),
            "{path}"
        );
    }
    for link in ["f.json", "f.json#series", "f.json?per=x#/series"] {
        assert!(
            matches!(&page_errors(&format!("[1]({link})"))[..], [PageError::MalformedLink { line: 1, .. }]),
            "{link}"
        );
    }
}

#[test]
fn figures_without_links_in_measured_tables_are_reported() {
    let table = "| 1 what | 2 |\n| --- | --- |\n| 3 | [4](f.json#/a) | missing | 5 |\n";
    assert!(unlinked_figures(table).is_empty(), "figures outside of measured parts need no links");
    let page = format!("{MEASURED_START}\n{table}\n7 in a sentence\n\n{table}{MEASURED_END}\n{table}");
    assert_eq!(
        unlinked_figures(&page),
        [
            PageError::Unlinked { line: 4, text: "5".into() },
            PageError::Unlinked { line: 10, text: "5".into() }
        ]
    );
}

#[test]
fn numbers_are_formatted_with_separators_and_three_significant_digits() {
    let formatted: Vec<String> =
        [0.0, 0.00123, 0.5, 4.256, 45.67, 999.4, 1234.5, -1234567.0].map(format_rounded).into();
    assert_eq!(formatted, ["0", "0.00123", "0.500", "4.26", "45.7", "999", "1,234", "-1,234,567"]);
    assert_eq!(format_number(1e6, 1), "1,000,000.0");
    assert_eq!(lookup(&json!([1, [2]]), "/1/0"), Some(2.0));
}
