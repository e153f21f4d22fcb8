//! What an operator writes: a tree of nodes with their shares, and its checks.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Levels of a tree below its root.
pub const MAX_DEPTH: usize = 8;
/// Nodes of a tree at most.
pub const MAX_NODES: usize = 1_000_000;
/// Windows of a node at most.
pub const MAX_WINDOWS: usize = 8;

/// A measure that flows: it is refilled with time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Requests.
    Requests,
    /// Units of work: slot seconds.
    Work,
}

/// The quotas of an installation.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
#[serde(expecting = "struct Spec")]
pub struct Spec {
    /// What a node may use at once of its guaranteed share, in seconds of it.
    pub burst_s: f64,
    /// A loan is forgotten but for 1/e in this time, in seconds.
    pub fade_s: f64,
    /// The part of its guaranteed share that a borrower pays back while its lender wants it; the rest is its floor.
    pub repay: f64,
    /// The part of the idle guaranteed concurrency that is never lent, so that a lender that comes back finds room.
    pub reserve: f64,
    /// What becomes of a request that no share pays for.
    pub over: OverSharePolicy,
    /// The nodes. One without a parent is a root; there is one root.
    #[serde(rename = "node")]
    pub nodes: Vec<NodeSpec>,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            burst_s: 1.0,
            fade_s: 60.0,
            repay: 0.05,
            reserve: 0.1,
            over: OverSharePolicy::Pass,
            nodes: Vec::new(),
        }
    }
}

/// What becomes of a request that no share pays for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case", expecting = "enum Over")]
pub enum OverSharePolicy {
    /// It passes, behind those within their shares: nothing is left unused, and shares hold as far as that order goes.
    #[default]
    Pass,
    /// It is refused, with the time at which its share may pay for it: shares hold, and some room may stay unused.
    Refuse,
}

/// One node: the installation, an organisation, a part of one, or a tenant.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct NodeSpec")]
pub struct NodeSpec {
    /// Its name; a tenant's is the name in its requests.
    pub name: String,
    /// The node above it; none for the root.
    #[serde(default)]
    pub parent: Option<String>,
    /// Its part of what is lent, against others that borrow.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Requests a second.
    #[serde(default)]
    pub requests: Limit,
    /// Slot seconds a second.
    #[serde(default)]
    pub work: Limit,
    /// Slots in use at once.
    #[serde(default)]
    pub concurrency: Limit,
    /// Ceilings over longer or shorter times.
    #[serde(default, rename = "window")]
    pub windows: Vec<WindowSpec>,
}

fn default_weight() -> f64 {
    1.0
}

/// The limits of a node for one measure.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
#[serde(expecting = "struct Limit")]
pub struct Limit {
    /// What it may always use; none where it is not given: the measure is then not limited by shares.
    pub guarantee: Option<f64>,
    /// What it may use at most, lent room included; none for no ceiling.
    pub ceiling: Option<f64>,
}

/// A ceiling over a window of time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct WindowSpec")]
pub struct WindowSpec {
    /// What is counted.
    pub measure: Measure,
    /// The window's length, in seconds: 1, 10, 60, 3600 or 86400, say.
    pub seconds: f64,
    /// What may be used within any window of that length.
    #[serde(rename = "most")]
    pub limit: f64,
}

/// A fault in a tree: the node's place in the list, the key, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpecError {
    /// Which node; none where the fault is the tree's own.
    pub node: Option<usize>,
    /// Which key of it.
    pub key: String,
    /// What is wrong, and what would do.
    pub reason: String,
}

impl std::fmt::Display for SpecError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.node {
            Some(i) => write!(f, "node[{i}].{}: {}", self.key, self.reason),
            None => write!(f, "{}: {}", self.key, self.reason),
        }
    }
}

impl std::error::Error for SpecError {}

impl Spec {
    /// The part of the tree that one of several schedulers holds: shares, ceilings and windows times `part`. No ceiling
    /// on slots falls below one job of one slot.
    pub fn scaled(mut self, factor: f64) -> Spec {
        let limit = |l: &mut Limit, least: f64| {
            l.guarantee = l.guarantee.map(|g| g * factor);
            l.ceiling = l.ceiling.map(|c| (c * factor).max(least));
        };
        for n in &mut self.nodes {
            limit(&mut n.requests, 0.0);
            limit(&mut n.work, 0.0);
            limit(&mut n.concurrency, 1.0);
            n.windows.iter_mut().for_each(|w| w.limit *= factor);
        }
        self
    }

    /// The first fault, if there is one. On success, each node's parent by place.
    pub fn check(&self) -> Result<Vec<Option<usize>>, SpecError> {
        let own = |key: &str, reason: &str| SpecError { node: None, key: key.into(), reason: reason.into() };
        let at =
            |node: usize, key: &str, reason: String| SpecError { node: Some(node), key: key.into(), reason };
        let above = |x: f64| x.is_finite() && x > 0.0;
        let part = |x: f64| (0.0..=1.0).contains(&x);
        if !above(self.burst_s) || self.burst_s > 3600.0 {
            return Err(own("burst_s", "a time above 0 and at most 3600 s"));
        }
        if !above(self.fade_s) {
            return Err(own("fade_s", "a time above 0"));
        }
        if !part(self.repay) || self.repay > 0.9 {
            return Err(own("repay", "a part from 0 to 0.9: a borrower keeps a floor"));
        }
        if !part(self.reserve) {
            return Err(own("reserve", "a part from 0 to 1"));
        }
        if self.nodes.len() > MAX_NODES {
            return Err(own("node", "more than 1000000 nodes"));
        }
        let mut places: FxHashMap<&str, usize> = FxHashMap::default();
        for (i, n) in self.nodes.iter().enumerate() {
            if n.name.is_empty() {
                return Err(at(i, "name", "a node needs a name".into()));
            }
            if let Some(other) = places.insert(&n.name, i) {
                return Err(at(i, "name", format!("{:?} is the name of node[{other}] as well", n.name)));
            }
        }
        let mut parents = Vec::with_capacity(self.nodes.len());
        for (i, n) in self.nodes.iter().enumerate() {
            let parent = match &n.parent {
                None => None,
                Some(p) => Some(
                    *places
                        .get(p.as_str())
                        .ok_or_else(|| at(i, "parent", format!("no node is named {p:?}")))?,
                ),
            };
            parents.push(parent);
            if !above(n.weight) {
                return Err(at(i, "weight", "a weight is above 0".into()));
            }
            for (key, limit) in [("requests", n.requests), ("work", n.work), ("concurrency", n.concurrency)] {
                let good = |x: Option<f64>| x.is_none_or(|x| x.is_finite() && x >= 0.0);
                if !good(limit.guarantee) || !good(limit.ceiling) {
                    return Err(at(i, key, "guarantee and ceiling are 0 or more".into()));
                }
                if let (Some(g), Some(c)) = (limit.guarantee, limit.ceiling)
                    && c < g
                {
                    return Err(at(i, key, format!("the ceiling {c} is below the guarantee {g}")));
                }
            }
            if n.windows.len() > MAX_WINDOWS {
                return Err(at(i, "window", format!("more than {MAX_WINDOWS} windows")));
            }
            for (w, window) in n.windows.iter().enumerate() {
                if !above(window.seconds) || window.seconds > 31.0 * 86_400.0 {
                    return Err(at(
                        i,
                        &format!("window[{w}].seconds"),
                        "a window is above 0 and at most 31 days".into(),
                    ));
                }
                if !above(window.limit) {
                    return Err(at(i, &format!("window[{w}].most"), "what may be used is above 0".into()));
                }
            }
        }
        let roots: Vec<usize> = (0..parents.len()).filter(|i| parents[*i].is_none()).collect();
        match (roots.as_slice(), self.nodes.len()) {
            (_, 0) => return Ok(parents),
            ([], _) => {
                return Err(at(0, "parent", "no node is a root: the parents go round in a circle".into()));
            }
            ([_], _) => {}
            ([_, second, ..], _) => {
                return Err(at(*second, "parent", "a second root; only one node has no parent".into()));
            }
        }
        for i in 0..parents.len() {
            let (mut up, mut steps) = (parents[i], 0);
            while let Some(p) = up {
                steps += 1;
                if p == i || steps > self.nodes.len() {
                    return Err(at(i, "parent", format!("{:?} is its own ancestor", self.nodes[i].name)));
                }
                if steps > MAX_DEPTH {
                    return Err(at(i, "parent", format!("more than {MAX_DEPTH} levels below the root")));
                }
                up = parents[p];
            }
        }
        for measure in 0..3 {
            let limit =
                |i: usize| [self.nodes[i].requests, self.nodes[i].work, self.nodes[i].concurrency][measure];
            let key = ["requests", "work", "concurrency"][measure];
            let mut sums = vec![0.0; self.nodes.len()];
            for (i, p) in parents.iter().enumerate() {
                if let (Some(p), Some(g)) = (p, limit(i).guarantee) {
                    sums[*p] += g;
                }
            }
            for (i, sum) in sums.iter().enumerate() {
                let most = limit(i).guarantee.unwrap_or(0.0);
                // A node that guarantees nothing itself cannot promise anything to those below it.
                if *sum > most * (1.0 + 1e-9) {
                    let reason = format!("the guarantees below it sum to {sum}, more than its own {most}");
                    return Err(at(i, key, reason));
                }
            }
        }
        Ok(parents)
    }
}
