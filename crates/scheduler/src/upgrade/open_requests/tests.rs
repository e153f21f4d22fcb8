use super::*;

fn request(id: &str, deadline: Nanos, at_most_once: bool) -> OpenRequest {
    OpenRequest { id: id.into(), deadline, at_most_once }
}

#[test]
fn a_predecessor_that_ends_leaves_only_requests_that_must_not_run_twice() {
    let mut elsewhere = RequestsElsewhere::default();
    elsewhere.replace(vec![
        request("once", 10, true),
        request("repeatable", 10, false),
        request("late", 5, true),
    ]);
    elsewhere.insert(request("granted", 10, true));
    assert!(["once", "repeatable", "late", "granted"].iter().all(|id| elsewhere.is_listed(4, id)));
    assert!(!elsewhere.is_listed(5, "late"), "its deadline has passed");
    elsewhere.end_predecessor(5);
    assert!(
        ["once", "granted"].iter().all(|id| elsewhere.is_left_behind(5, id) && !elsewhere.is_listed(5, id))
    );
    assert!(["repeatable", "late"].iter().all(|id| !elsewhere.is_left_behind(5, id)));
    // The list of another predecessor does not replace what was left behind.
    elsewhere.replace(Vec::new());
    assert!(elsewhere.is_left_behind(5, "once"));
}

#[test]
fn requests_left_behind_are_forgotten_at_their_deadlines() {
    let mut elsewhere = RequestsElsewhere::default();
    elsewhere.leave_behind(0, [request("a", 5, true), request("b", 9, true), request("c", 9, false)]);
    assert_eq!(elsewhere.remove_expired(4), Some(5));
    assert_eq!(elsewhere.remove_expired(5), Some(9));
    assert!(!elsewhere.is_left_behind(5, "a") && elsewhere.is_left_behind(5, "b"));
    assert_eq!(elsewhere.remove_expired(9), None);
    assert_eq!(elsewhere.requests(0).count(), 0);
}

#[test]
fn a_claim_counts_as_open_until_it_is_answered() {
    let mut elsewhere = RequestsElsewhere::default();
    elsewhere.start_claim(request("a", 5, false));
    assert!(elsewhere.is_claimed("a"));
    assert_eq!(elsewhere.requests(0).cloned().collect::<Vec<_>>(), [request("a", 5, false)]);
    elsewhere.end_claim("a");
    assert!(!elsewhere.is_claimed("a"));
    assert_eq!(elsewhere.requests(0).count(), 0);
}
