//! The specification of a quota tree in the operator file, and its validation.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Maximum number of levels below the root.
pub const MAX_DEPTH: usize = 8;
/// Maximum number of nodes of a tree.
pub const MAX_NODES: usize = 1_000_000;
/// Maximum number of windows of a node.
pub const MAX_WINDOWS: usize = 8;

/// A quantity that is limited by rate.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Requests.
    Requests,
    /// Work, in slot seconds.
    Work,
}

/// A quota tree and the settings that apply to all of its nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
#[serde(expecting = "struct Spec")]
pub struct Spec {
    /// Bucket capacity of each node, in seconds of its guaranteed rate.
    pub burst_s: f64,
    /// Time in seconds in which a debt decays to 1/e.
    pub fade_s: f64,
    /// Fraction of its guaranteed rate that a borrower repays while its lender needs it. It keeps the rest.
    pub repay: f64,
    /// Fraction of the idle guaranteed concurrency that isn't lent, so that it is available to its owners at once.
    pub reserve: f64,
    /// How requests that no share covers are handled.
    pub over: OverSharePolicy,
    /// The nodes. Exactly one of them, the root, has no parent.
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

/// How requests that no share covers are handled.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case", expecting = "enum Over")]
pub enum OverSharePolicy {
    /// Admitted with lower priority than requests within their shares. No capacity stays unused, and shares are
    /// enforced only by that priority.
    #[default]
    Pass,
    /// Refused with the time after which the share covers it. Shares are enforced, but capacity may stay unused.
    Refuse,
}

/// A node of the tree: the installation, an organisation, a department, or a tenant.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct NodeSpec")]
pub struct NodeSpec {
    /// Unique name. For a tenant, the name that its requests carry.
    pub name: String,
    /// Name of the parent; `None` for the root.
    #[serde(default)]
    pub parent: Option<String>,
    /// Weight by which borrowers share what is lent.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Requests per second.
    #[serde(default)]
    pub requests: Limit,
    /// Slot seconds per second.
    #[serde(default)]
    pub work: Limit,
    /// Number of slots in use.
    #[serde(default)]
    pub concurrency: Limit,
    /// Ceilings over sliding windows.
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
    /// Amount that the node may always use. If `None`, the measure isn't limited by shares.
    pub guarantee: Option<f64>,
    /// Maximum use, including borrowed share. If `None`, there is no ceiling.
    pub ceiling: Option<f64>,
}

/// A ceiling over a sliding window of time.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct WindowSpec")]
pub struct WindowSpec {
    /// The measure that is counted.
    pub measure: Measure,
    /// Length of the window in seconds.
    pub seconds: f64,
    /// Maximum amount within the window.
    #[serde(rename = "most")]
    pub limit: f64,
}

/// A validation error of a quota tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpecError {
    /// Index of the node in the list; `None` if the error concerns a setting of the whole tree.
    pub node: Option<usize>,
    /// The invalid key.
    pub key: String,
    /// What is wrong, and which values are valid.
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
    /// Multiplies guarantees, ceilings and windows by `factor`, for one of several schedulers. A ceiling on slots stays
    /// at least 1.
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

    /// Validates the tree. Returns the index of each node's parent, or the first error.
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
                // A node without a guarantee has nothing to assign to its children.
                if *sum > most * (1.0 + 1e-9) {
                    let reason = format!("the guarantees below it sum to {sum}, more than its own {most}");
                    return Err(at(i, key, reason));
                }
            }
        }
        Ok(parents)
    }
}
