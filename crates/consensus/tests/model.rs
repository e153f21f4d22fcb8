//! A model check of leases and promises: the real cores, over every interleaving of asking, answering, losing, delaying,
//! agreeing, crashing and time, in a small tier. That the voters agree is taken from the library; each sees it late.

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

/// A question on its way to a voter. Its answer comes at once: a later one would only count for less.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Question {
    holder: usize,
    voter: usize,
    number: u64,
    acting: EffectiveRules,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Tier {
    time: Nanos,
    /// Commands agreed, of those below, and how many each voter has seen.
    agreed: usize,
    seen: [usize; VOTERS],
    promises: Vec<LeaseGrants>,
    holders: Vec<LeaseHolder>,
    asked: Vec<u8>,
    ready: BTreeSet<usize>,
    flying: BTreeSet<Question>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Time,
    Propose,
    Activate,
    Learn(usize),
    /// A scheduler hears what a voter has seen.
    Hear(usize, usize),
    Ask(usize),
    Deliver(Question),
    Ready(usize),
    Crash(usize),
}

/// What is looked at, and what is taken away.
#[derive(Clone)]
struct Small {
    holders: usize,
    asks: u8,
    end: Nanos,
    crashes: u8,
    /// A voter that starts anew does not wait.
    hasty: bool,
    /// A scheduler counts its lease from one unit later than it asked.
    generous: bool,
}

/// What has been agreed after so many commands.
fn state(commands: usize) -> &'static ReplicatedState {
    static STATES: LazyLock<Vec<ReplicatedState>> = LazyLock::new(|| (0..4).map(build).collect());
    &STATES[commands]
}

fn build(commands: usize) -> ReplicatedState {
    let body = |effect: &str| DocumentBody {
        settings: json!({"classes": [{"name": "c", "effect": effect}]}),
        workers_out: BTreeSet::new(),
    };
    let propose = |token, base, effect| Command::Propose {
        token,
        proposer: "p".into(),
        base_version: base,
        body: body(effect),
    };
    let all = [propose(1, 0, "idempotent"), propose(2, 1, "at_most_once"), Command::Activate(2)];
    let mut state = ReplicatedState::default();
    for (i, command) in all.into_iter().take(commands).enumerate() {
        state.apply(i as u64 + 1, command);
    }
    state
}

impl Small {
    fn timing(&self) -> LeaseTiming {
        LeaseTiming {
            grant_duration: 2,
            lease_duration: if self.generous { 3 } else { 2 },
            renewal_interval: 1,
        }
    }

    fn ask(&self, tier: &mut Tier, holder: usize) {
        let (number, acting) = tier.holders[holder].start_renewal(tier.time);
        if let Some(acting) = acting {
            tier.asked[holder] += 1;
            tier.flying.extend((0..VOTERS).map(|voter| Question { holder, voter, number, acting }));
        }
    }
}

impl Model for Small {
    type State = Tier;
    type Action = Step;

    fn init_states(&self) -> Vec<Tier> {
        let mut holders = vec![LeaseHolder::new(self.timing(), VOTERS); self.holders];
        holders.iter_mut().for_each(|h| _ = h.handle_response(0, 0, 0, false, Some(state(1).clone())));
        // The voters have been up for long.
        let promises = vec![LeaseGrants::new(self.timing(), 0); VOTERS];
        let mut tier = Tier {
            time: 2,
            agreed: 1,
            seen: [1; VOTERS],
            promises,
            holders,
            asked: vec![0; self.holders],
            ready: BTreeSet::new(),
            flying: BTreeSet::new(),
            crashes: 0,
        };
        // The first asks at once, on the earlier version; the other when it likes.
        self.ask(&mut tier, 0);
        vec![tier]
    }

    fn actions(&self, tier: &Tier, actions: &mut Vec<Step>) {
        if tier.time < self.end {
            actions.push(Step::Time);
        }
        if tier.agreed == 1 {
            actions.push(Step::Propose);
        }
        if tier.agreed == 2 && tier.ready.len() > VOTERS / 2 {
            actions.push(Step::Activate);
        }
        for voter in 0..VOTERS {
            let news = |h: &usize| state(tier.seen[voter]).index > tier.holders[*h].state().index;
            actions.extend((1..self.holders).filter(news).map(|h| Step::Hear(h, voter)));
            if tier.seen[voter] < tier.agreed {
                actions.push(Step::Learn(voter));
            }
            if !tier.ready.contains(&voter)
                && tier.promises[voter].ready_version(tier.time, state(tier.seen[voter])).is_some()
            {
                actions.push(Step::Ready(voter));
            }
            if tier.crashes < self.crashes {
                actions.push(Step::Crash(voter));
            }
        }
        actions.extend((1..self.holders).filter(|h| tier.asked[*h] < self.asks).map(Step::Ask));
        actions.extend(tier.flying.iter().cloned().map(Step::Deliver));
    }

    fn next_state(&self, tier: &Tier, step: Step) -> Option<Tier> {
        let mut next = tier.clone();
        match step {
            Step::Time => next.time += 1,
            Step::Propose | Step::Activate => next.agreed += 1,
            Step::Learn(voter) => next.seen[voter] += 1,
            Step::Hear(holder, voter) => {
                let news = Some(state(next.seen[voter]).clone());
                next.holders[holder].handle_response(next.time, voter, 0, false, news);
            }
            Step::Ask(holder) => self.ask(&mut next, holder),
            Step::Ready(voter) => _ = next.ready.insert(voter),
            Step::Crash(voter) => {
                // What was agreed is on its disk; what it promised is not.
                let since = if self.hasty { 0 } else { next.time };
                next.promises[voter] = LeaseGrants::new(self.timing(), since);
                next.crashes += 1;
            }
            Step::Deliver(question) => {
                next.flying.remove(&question);
                let Question { holder, voter, number, acting } = question;
                let (who, seen) = ((format!("h{holder}"), 1), state(next.seen[voter]));
                let yes = next.promises[voter].try_grant(next.time, &who, number, acting, seen);
                next.holders[holder].handle_response(next.time, voter, number, yes, None);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two act on contradicting versions", |_, tier| {
                !(on(tier, EffectiveRules::On(1)) && on(tier, EffectiveRules::On(2)))
            }),
            Property::sometimes("the later version is acted on", |_, tier| on(tier, EffectiveRules::On(2))),
        ]
    }
}

/// Whether a scheduler that may act now acts on this.
fn on(tier: &Tier, acting: EffectiveRules) -> bool {
    tier.holders.iter().any(|h| h.has_valid_lease(tier.time) && h.rules() == Some(acting))
}

fn check(small: Small) -> (usize, Vec<&'static str>) {
    let faulty = small.hasty || small.generous;
    let all = small.checker().threads(4);
    // A fault is found sooner by depth; all of a sound tier takes less room by breadth.
    if faulty { told(&all.spawn_dfs().join()) } else { told(&all.spawn_bfs().join()) }
}

fn told(checker: &impl Checker<Small>) -> (usize, Vec<&'static str>) {
    let wrong: Vec<_> = checker.discoveries().into_keys().filter(|name| name.starts_with("no two")).collect();
    assert!(checker.discovery("the later version is acted on").is_some() || !wrong.is_empty());
    (checker.unique_state_count(), wrong)
}

const SMALL: Small = Small { holders: 2, asks: 1, end: 4, crashes: 0, hasty: false, generous: false };

#[test]
fn no_interleaving_of_a_small_tier_has_two_act_on_contradicting_versions() {
    let (states, wrong) = check(SMALL);
    println!("{states} states");
    assert!(wrong.is_empty() && states > 10_000, "{states} {wrong:?}");
}

#[test]
fn a_lease_counted_too_long_or_a_hasty_start_is_found() {
    for small in [Small { generous: true, ..SMALL }, Small { hasty: true, crashes: 1, ..SMALL }] {
        let (states, wrong) = check(small);
        assert_eq!(wrong, ["no two act on contradicting versions"], "{states} states");
    }
}
