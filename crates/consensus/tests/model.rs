//! A model check of leases and their grants in a small tier, over every interleaving of requests, responses,
//! message loss and delay, commits, crashes and time. Agreement among the voters is assumed: each voter
//! learns of a commit at any later time.

use loomlb_consensus::document::DocumentBody;
use loomlb_consensus::lease_grants::LeaseGrants;
use loomlb_consensus::lease_holder::LeaseHolder;
use loomlb_consensus::state::{Command, ReplicatedState};
use loomlb_consensus::timing::LeaseTiming;
use loomlb_consensus::{EffectiveRules, Nanos};
use serde_json::json;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::sync::LazyLock;

const VOTERS: usize = 3;

/// A lease request in flight to a voter. The response arrives at once: a later one would extend the lease
/// less.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Request {
    holder: usize,
    voter: usize,
    number: u64,
    rules: EffectiveRules,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Tier {
    time: Nanos,
    /// The number of committed commands, and how many of them each voter has applied.
    committed: usize,
    applied: [usize; VOTERS],
    grants: Vec<LeaseGrants>,
    holders: Vec<LeaseHolder>,
    renewals: Vec<u8>,
    ready_voters: BTreeSet<usize>,
    in_flight: BTreeSet<Request>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    AdvanceTime,
    Propose,
    Activate,
    /// A voter applies the next committed command.
    Apply(usize),
    /// A scheduler receives the state of a voter.
    ReceiveState(usize, usize),
    Renew(usize),
    Deliver(Request),
    ReportReady(usize),
    Crash(usize),
}

/// The size of the model, and the safeguards that are disabled in it.
#[derive(Clone)]
struct TierModel {
    holders: usize,
    max_renewals: u8,
    end: Nanos,
    max_crashes: u8,
    /// A restarted voter does not wait for its earlier grants to expire.
    skips_startup_wait: bool,
    /// A scheduler counts its lease from one unit after its request.
    overestimates_lease: bool,
}

/// Returns the replicated state after this number of commands.
fn state(commands: usize) -> &'static ReplicatedState {
    static STATES: LazyLock<Vec<ReplicatedState>> = LazyLock::new(|| (0..4).map(build_state).collect());
    &STATES[commands]
}

fn build_state(commands: usize) -> ReplicatedState {
    let body = |effect: &str| DocumentBody {
        settings: json!({"classes": [{"name": "c", "effect": effect}]}),
        workers_out: BTreeSet::new(),
    };
    let propose = |token, base_version, effect| Command::Propose {
        token,
        proposer: "p".into(),
        base_version,
        body: body(effect),
    };
    let all = [propose(1, 0, "idempotent"), propose(2, 1, "at_most_once"), Command::Activate(2)];
    let mut state = ReplicatedState::default();
    for (i, command) in all.into_iter().take(commands).enumerate() {
        state.apply(i as u64 + 1, command);
    }
    state
}

impl TierModel {
    fn timing(&self) -> LeaseTiming {
        LeaseTiming {
            grant_duration: 2,
            lease_duration: if self.overestimates_lease { 3 } else { 2 },
            renewal_interval: 1,
        }
    }

    fn renew(&self, tier: &mut Tier, holder: usize) {
        let (number, rules) = tier.holders[holder].start_renewal(tier.time);
        if let Some(rules) = rules {
            tier.renewals[holder] += 1;
            tier.in_flight.extend((0..VOTERS).map(|voter| Request { holder, voter, number, rules }));
        }
    }
}

impl Model for TierModel {
    type State = Tier;
    type Action = Step;

    fn init_states(&self) -> Vec<Tier> {
        let mut holders = vec![LeaseHolder::new(self.timing(), VOTERS); self.holders];
        holders.iter_mut().for_each(|h| _ = h.handle_response(0, 0, 0, false, Some(state(1).clone())));
        // The voters started long enough ago to be past their startup wait.
        let grants = vec![LeaseGrants::new(self.timing(), 0); VOTERS];
        let mut tier = Tier {
            time: 2,
            committed: 1,
            applied: [1; VOTERS],
            grants,
            holders,
            renewals: vec![0; self.holders],
            ready_voters: BTreeSet::new(),
            in_flight: BTreeSet::new(),
            crashes: 0,
        };
        // The first scheduler requests a lease on the earlier version at once; the others do so at any time.
        self.renew(&mut tier, 0);
        vec![tier]
    }

    fn actions(&self, tier: &Tier, actions: &mut Vec<Step>) {
        if tier.time < self.end {
            actions.push(Step::AdvanceTime);
        }
        if tier.committed == 1 {
            actions.push(Step::Propose);
        }
        if tier.committed == 2 && tier.ready_voters.len() > VOTERS / 2 {
            actions.push(Step::Activate);
        }
        for voter in 0..VOTERS {
            let is_behind = |h: &usize| state(tier.applied[voter]).index > tier.holders[*h].state().index;
            actions.extend((1..self.holders).filter(is_behind).map(|h| Step::ReceiveState(h, voter)));
            if tier.applied[voter] < tier.committed {
                actions.push(Step::Apply(voter));
            }
            if !tier.ready_voters.contains(&voter)
                && tier.grants[voter].ready_version(tier.time, state(tier.applied[voter])).is_some()
            {
                actions.push(Step::ReportReady(voter));
            }
            if tier.crashes < self.max_crashes {
                actions.push(Step::Crash(voter));
            }
        }
        actions.extend((1..self.holders).filter(|h| tier.renewals[*h] < self.max_renewals).map(Step::Renew));
        actions.extend(tier.in_flight.iter().cloned().map(Step::Deliver));
    }

    fn next_state(&self, tier: &Tier, step: Step) -> Option<Tier> {
        let mut next = tier.clone();
        match step {
            Step::AdvanceTime => next.time += 1,
            Step::Propose | Step::Activate => next.committed += 1,
            Step::Apply(voter) => next.applied[voter] += 1,
            Step::ReceiveState(holder, voter) => {
                let newer_state = Some(state(next.applied[voter]).clone());
                next.holders[holder].handle_response(next.time, voter, 0, false, newer_state);
            }
            Step::Renew(holder) => self.renew(&mut next, holder),
            Step::ReportReady(voter) => _ = next.ready_voters.insert(voter),
            Step::Crash(voter) => {
                // The committed commands are on the voter's disk, its grants are not.
                let started_at = if self.skips_startup_wait { 0 } else { next.time };
                next.grants[voter] = LeaseGrants::new(self.timing(), started_at);
                next.crashes += 1;
            }
            Step::Deliver(request) => {
                next.in_flight.remove(&request);
                let Request { holder, voter, number, rules } = request;
                let (process, voter_state) = ((format!("h{holder}"), 1), state(next.applied[voter]));
                let granted = next.grants[voter].try_grant(next.time, &process, number, rules, voter_state);
                next.holders[holder].handle_response(next.time, voter, number, granted, None);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two schedulers act on conflicting versions", |_, tier| {
                !(is_applied(tier, EffectiveRules::On(1)) && is_applied(tier, EffectiveRules::On(2)))
            }),
            Property::sometimes("the later version is acted on", |_, tier| {
                is_applied(tier, EffectiveRules::On(2))
            }),
        ]
    }
}

/// Whether a scheduler with a valid lease applies these rules.
fn is_applied(tier: &Tier, rules: EffectiveRules) -> bool {
    tier.holders.iter().any(|h| h.has_valid_lease(tier.time) && h.rules() == Some(rules))
}

/// Explores the model. Returns the number of states and the violated invariants.
fn check(model: TierModel) -> (usize, Vec<&'static str>) {
    let has_fault = model.skips_startup_wait || model.overestimates_lease;
    let checker = model.checker().threads(4);
    // Depth-first search finds a violation sooner; breadth-first search takes less memory for all states.
    if has_fault { result(&checker.spawn_dfs().join()) } else { result(&checker.spawn_bfs().join()) }
}

fn result(checker: &impl Checker<TierModel>) -> (usize, Vec<&'static str>) {
    let violations: Vec<_> =
        checker.discoveries().into_keys().filter(|name| name.starts_with("no two")).collect();
    assert!(checker.discovery("the later version is acted on").is_some() || !violations.is_empty());
    (checker.unique_state_count(), violations)
}

const SMALL_TIER: TierModel = TierModel {
    holders: 2,
    max_renewals: 1,
    end: 4,
    max_crashes: 0,
    skips_startup_wait: false,
    overestimates_lease: false,
};

#[test]
fn no_interleaving_lets_two_schedulers_act_on_conflicting_versions() {
    let (states, violations) = check(SMALL_TIER);
    println!("{states} states");
    assert!(violations.is_empty() && states > 10_000, "{states} {violations:?}");
}

#[test]
fn overestimated_lease_or_skipped_startup_wait_is_detected() {
    for model in [
        TierModel { overestimates_lease: true, ..SMALL_TIER },
        TierModel { skips_startup_wait: true, max_crashes: 1, ..SMALL_TIER },
    ] {
        let (states, violations) = check(model);
        assert_eq!(violations, ["no two schedulers act on conflicting versions"], "{states} states");
    }
}
