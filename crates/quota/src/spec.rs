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
        let scale = |limit: &mut Limit, min_ceiling: f64| {
            limit.guarantee = limit.guarantee.map(|guarantee| guarantee * factor);
            limit.ceiling = limit.ceiling.map(|ceiling| (ceiling * factor).max(min_ceiling));
        };
        for node in &mut self.nodes {
            scale(&mut node.requests, 0.0);
            scale(&mut node.work, 0.0);
            scale(&mut node.concurrency, 1.0);
            node.windows.iter_mut().for_each(|window| window.limit *= factor);
        }
        self
    }

    /// Validates the tree. Returns the index of each node's parent, or the first error.
    pub fn check(&self) -> Result<Vec<Option<usize>>, SpecError> {
        let tree_error =
            |key: &str, reason: &str| SpecError { node: None, key: key.into(), reason: reason.into() };
        let node_error =
            |node: usize, key: &str, reason: String| SpecError { node: Some(node), key: key.into(), reason };
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        let is_fraction = |value: f64| (0.0..=1.0).contains(&value);
        if !is_positive(self.burst_s) || self.burst_s > 3600.0 {
            return Err(tree_error("burst_s", "must be above 0 and at most 3600 seconds"));
        }
        if !is_positive(self.fade_s) {
            return Err(tree_error("fade_s", "must be above 0 seconds"));
        }
        if !is_fraction(self.repay) || self.repay > 0.9 {
            return Err(tree_error("repay", "must be a fraction from 0 to 0.9"));
        }
        if !is_fraction(self.reserve) {
            return Err(tree_error("reserve", "must be a fraction from 0 to 1"));
        }
        if self.nodes.len() > MAX_NODES {
            return Err(tree_error("node", "more than 1000000 nodes"));
        }
        let mut node_indices: FxHashMap<&str, usize> = FxHashMap::default();
        for (i, node) in self.nodes.iter().enumerate() {
            if node.name.is_empty() {
                return Err(node_error(i, "name", "must not be empty".into()));
            }
            if let Some(other) = node_indices.insert(&node.name, i) {
                return Err(node_error(
                    i,
                    "name",
                    format!("{:?} is also the name of node[{other}]", node.name),
                ));
            }
        }
        let mut parents = Vec::with_capacity(self.nodes.len());
        for (i, node) in self.nodes.iter().enumerate() {
            let parent =
                match &node.parent {
                    None => None,
                    Some(parent_name) => Some(*node_indices.get(parent_name.as_str()).ok_or_else(|| {
                        node_error(i, "parent", format!("no node is named {parent_name:?}"))
                    })?),
                };
            parents.push(parent);
            if !is_positive(node.weight) {
                return Err(node_error(i, "weight", "must be above 0".into()));
            }
            for (key, limit) in
                [("requests", node.requests), ("work", node.work), ("concurrency", node.concurrency)]
            {
                let is_valid =
                    |value: Option<f64>| value.is_none_or(|value| value.is_finite() && value >= 0.0);
                if !is_valid(limit.guarantee) || !is_valid(limit.ceiling) {
                    return Err(node_error(
                        i,
                        key,
                        "guarantee and ceiling must be finite and not negative".into(),
                    ));
                }
                if let (Some(guarantee), Some(ceiling)) = (limit.guarantee, limit.ceiling)
                    && ceiling < guarantee
                {
                    return Err(node_error(
                        i,
                        key,
                        format!("the ceiling {ceiling} is below the guarantee {guarantee}"),
                    ));
                }
            }
            if node.windows.len() > MAX_WINDOWS {
                return Err(node_error(i, "window", format!("more than {MAX_WINDOWS} windows")));
            }
            for (w, window) in node.windows.iter().enumerate() {
                if !is_positive(window.seconds) || window.seconds > 31.0 * 86_400.0 {
                    return Err(node_error(
                        i,
                        &format!("window[{w}].seconds"),
                        "must be above 0 and at most 31 days".into(),
                    ));
                }
                if !is_positive(window.limit) {
                    return Err(node_error(i, &format!("window[{w}].most"), "must be above 0".into()));
                }
            }
        }
        let roots: Vec<usize> = (0..parents.len()).filter(|i| parents[*i].is_none()).collect();
        match (roots.as_slice(), self.nodes.len()) {
            (_, 0) => return Ok(parents),
            ([], _) => {
                return Err(node_error(0, "parent", "no node is the root: the parents form a cycle".into()));
            }
            ([_], _) => {}
            ([_, second, ..], _) => {
                return Err(node_error(
                    *second,
                    "parent",
                    "second node without a parent; only the root has none".into(),
                ));
            }
        }
        for i in 0..parents.len() {
            let (mut ancestor, mut steps) = (parents[i], 0);
            while let Some(p) = ancestor {
                steps += 1;
                if p == i || steps > self.nodes.len() {
                    return Err(node_error(
                        i,
                        "parent",
                        format!("{:?} is its own ancestor", self.nodes[i].name),
                    ));
                }
                if steps > MAX_DEPTH {
                    return Err(node_error(
                        i,
                        "parent",
                        format!("more than {MAX_DEPTH} levels below the root"),
                    ));
                }
                ancestor = parents[p];
            }
        }
        for measure in 0..3 {
            let limit =
                |i: usize| [self.nodes[i].requests, self.nodes[i].work, self.nodes[i].concurrency][measure];
            let key = ["requests", "work", "concurrency"][measure];
            let mut sums = vec![0.0; self.nodes.len()];
            for (i, p) in parents.iter().enumerate() {
                if let (Some(parent), Some(guarantee)) = (p, limit(i).guarantee) {
                    sums[*parent] += guarantee;
                }
            }
            for (i, sum) in sums.iter().enumerate() {
                let guarantee = limit(i).guarantee.unwrap_or(0.0);
                // A node without a guarantee has nothing to assign to its children.
                if *sum > guarantee * (1.0 + 1e-9) {
                    let reason =
                        format!("the guarantees of its children sum to {sum}, more than its own {guarantee}");
                    return Err(node_error(i, key, reason));
                }
            }
        }
        Ok(parents)
    }
}
