//! Parts: which part of each node's share a scheduler holds, by what its peers tell of their traffic.
//!
//! Without a word from a peer, that peer's equal part stays reserved for it: a share is never held twice, neither by
//! schedulers that start nor across a partition. What a dead scheduler held is used by nobody until it is back.

use crate::Nanos;
use rustc_hash::FxHashMap;

/// First byte of a digest; the module's own messages begin with smaller ones.
pub const DIGEST_MARK: u8 = 16;
/// The platform's longest datagram.
const LONGEST: usize = 256;
/// Bytes of a digest before its entries, and of an entry: a node's number, and its traffic.
const HEAD: usize = 3;
/// See `HEAD`.
const ENTRY: usize = 8;
/// Datagrams of one digest at most: some 250 nodes; further ones take turns.
const DATAGRAMS: usize = 8;
/// Time over which traffic is averaged.
const SPAN: f64 = 2e9;
/// A peer that has said nothing for so long counts as silent.
const SILENT: Nanos = 1_500_000_000;
/// This part of a share is always held in equal parts, so that traffic may move at once.
const EVEN: f64 = 0.2;
/// Nodes of which traffic is remembered; the least busy are forgotten first.
const NODES: usize = 65_536;
/// Traffic that counts as none, in slot seconds a second.
const NONE: f64 = 1e-3;

#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    rate: f64,
    at: Nanos,
}

impl Traffic {
    fn now(&self, now: Nanos) -> f64 {
        self.rate * (-(now.saturating_sub(self.at) as f64) / SPAN).exp()
    }
}

/// What a scheduler knows of its own traffic and of its peers'.
#[derive(Clone, Debug)]
pub struct ShareSplit {
    schedulers: usize,
    own: FxHashMap<u32, Traffic>,
    /// By peer: when it was last heard, and its traffic by node.
    peers: FxHashMap<usize, (Nanos, FxHashMap<u32, Traffic>)>,
    turn: usize,
    /// Digests that were none, or of peers that there are not.
    pub invalid_digests: u64,
}

/// The number of a node, the same at every scheduler.
pub fn node_number(name: &str) -> u32 {
    // FNV-1a: short, and the same for every build.
    name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

impl ShareSplit {
    /// For one of so many schedulers.
    pub fn new(schedulers: usize) -> Self {
        ShareSplit {
            schedulers: schedulers.max(1),
            own: FxHashMap::default(),
            peers: FxHashMap::default(),
            turn: 0,
            invalid_digests: 0,
        }
    }

    /// A request asks for so much work at a node, whether it is let through or not.
    pub fn record_demand(&mut self, now: Nanos, node: u32, work: f64) {
        if self.own.len() >= NODES && !self.own.contains_key(&node) {
            self.own.retain(|_, t| t.now(now) > NONE);
            if self.own.len() >= NODES {
                return;
            }
        }
        let traffic = self.own.entry(node).or_default();
        *traffic = Traffic { rate: traffic.now(now) + work / (SPAN / 1e9), at: now };
    }

    /// The nodes that have traffic here.
    pub fn active_nodes(&self) -> Vec<u32> {
        let mut nodes: Vec<u32> = self.own.keys().copied().collect();
        nodes.sort_unstable();
        nodes
    }

    /// What the peers are to be told now: datagrams of at most 256 bytes. Nodes without traffic are not told.
    pub fn digests(&mut self, now: Nanos) -> Vec<Vec<u8>> {
        self.own.retain(|_, t| t.now(now) > NONE);
        let mut nodes: Vec<(u32, f64)> = self.own.iter().map(|(n, t)| (*n, t.now(now))).collect();
        nodes.sort_by_key(|n| n.0);
        let each = (LONGEST - HEAD) / ENTRY;
        let all = nodes.chunks(each).count().max(1);
        let chunks: Vec<&[(u32, f64)]> = nodes.chunks(each).collect();
        let told = all.min(DATAGRAMS);
        let first = self.turn % all;
        self.turn = (self.turn + told) % all.max(1);
        (0..told)
            .map(|i| {
                let entries = chunks.get((first + i) % all).copied().unwrap_or(&[]);
                let mut bytes = vec![DIGEST_MARK, 0, entries.len() as u8];
                for (node, rate) in entries {
                    bytes.extend(node.to_le_bytes());
                    bytes.extend((*rate as f32).to_le_bytes());
                }
                bytes
            })
            .collect()
    }

    /// Takes in a peer's digest; false if it is none.
    pub fn apply_digest(&mut self, now: Nanos, peer: usize, bytes: &[u8]) -> bool {
        let [DIGEST_MARK, 0, count, entries @ ..] = bytes else { return false };
        if peer >= self.schedulers || entries.len() != usize::from(*count) * ENTRY {
            self.invalid_digests += 1;
            return false;
        }
        let (heard, nodes) = self.peers.entry(peer).or_default();
        *heard = now;
        if nodes.len() > NODES {
            nodes.retain(|_, t| t.now(now) > NONE);
        }
        for entry in entries.chunks_exact(ENTRY) {
            let node = u32::from_le_bytes([entry[0], entry[1], entry[2], entry[3]]);
            let rate = f64::from(f32::from_le_bytes([entry[4], entry[5], entry[6], entry[7]]));
            if rate.is_finite() && (0.0..1e9).contains(&rate) && nodes.len() <= NODES {
                nodes.insert(node, Traffic { rate, at: now });
            }
        }
        true
    }

    /// The part of a node's share that this scheduler holds, from 0 to 1. Parts of schedulers that hear each other
    /// sum to 1, but for the age of their news; a silent one's equal part is left to it.
    pub fn share(&self, now: Nanos, node: u32) -> f64 {
        let equal = 1.0 / self.schedulers as f64;
        let own = self.own.get(&node).map_or(0.0, |t| t.now(now));
        let (mut heard, mut others) = (0usize, 0.0);
        for (at, nodes) in self.peers.values() {
            if now.saturating_sub(*at) < SILENT {
                heard += 1;
                // News counts in full until the next: were it to fade, both sides of a cut would grow before they know.
                others +=
                    nodes.get(&node).filter(|t| now.saturating_sub(t.at) < SILENT).map_or(0.0, |t| t.rate);
            }
        }
        let all = own + others;
        if heard == 0 || all < NONE {
            return equal;
        }
        // What those that hear each other hold together, shared by their traffic.
        let together = (heard + 1) as f64 * equal;
        EVEN * equal + (1.0 - EVEN) * together * own / all
    }
}
