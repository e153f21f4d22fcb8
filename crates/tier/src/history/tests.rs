//! Lines that are written after a partial line.

use super::*;
use loomlb_consensus::history_check::HistoryEvent;

fn line(at: u64) -> HistoryRecord {
    HistoryRecord { at, scheduler: "n0".into(), process: 7, event: HistoryEvent::LeaseAcquired }
}

fn lines(path: &Path) -> Vec<HistoryRecord> {
    let text = std::fs::read_to_string(path).unwrap();
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

#[test]
fn a_partial_line_of_a_killed_process_corrupts_no_other_line() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("history");
    History::open(&path).unwrap().write(&line(1)).unwrap();
    let complete_line = std::fs::read(&path).unwrap();
    for cut in 0..=complete_line.len() {
        std::fs::write(&path, [&complete_line[..], &complete_line[..cut]].concat()).unwrap();
        let mut history = History::open(&path).unwrap();
        history.write(&line(2)).unwrap();
        history.write(&line(3)).unwrap();
        let earlier_lines =
            if cut + 1 >= complete_line.len() { vec![line(1), line(1)] } else { vec![line(1)] };
        assert_eq!(lines(&path), [earlier_lines, vec![line(2), line(3)]].concat(), "cut at {cut}");
    }
}
