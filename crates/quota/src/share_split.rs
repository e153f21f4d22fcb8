//! Splits each node's share among the schedulers in proportion to the traffic that they report to each other.
//!
//! An equal part stays reserved for a peer that sends no digests, so that no share is used twice after a start or
//! during a network partition. The part of a failed scheduler stays unused until it returns.

use crate::Nanos;
use rustc_hash::FxHashMap;

/// First byte of a digest. The messages of the decision module begin with smaller values.
pub const DIGEST_MARK: u8 = 16;
/// Maximum datagram length of the platform, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Length of a digest's header, in bytes.
const HEADER_BYTES: usize = 3;
/// Length of an entry, in bytes: the node number and its traffic.
const ENTRY_BYTES: usize = 8;
/// Maximum number of datagrams that are sent at a time, for some 250 nodes. With more nodes, the datagrams rotate.
const MAX_DATAGRAMS: usize = 8;
/// Time constant of the traffic average, in nanoseconds.
const AVERAGING_TIME_NS: f64 = 2e9;
/// A peer that sent no digest for this long is considered silent.
const SILENCE_TIMEOUT: Nanos = 1_500_000_000;
/// Fraction of a share that is always split equally, so that a scheduler without recent traffic has some of it.
const EQUAL_FRACTION: f64 = 0.2;
/// Maximum number of nodes whose traffic is recorded. When it is reached, nodes without traffic are removed.
const MAX_NODES: usize = 65_536;
/// Lower traffic is treated as none, in slot seconds per second.
const MIN_TRAFFIC: f64 = 1e-3;

#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    rate: f64,
    updated_at: Nanos,
}

impl Traffic {
    fn decayed_rate(&self, now: Nanos) -> f64 {
        self.rate * (-(now.saturating_sub(self.updated_at) as f64) / AVERAGING_TIME_NS).exp()
    }
}

/// Traffic of this scheduler and of its peers, by node.
#[derive(Clone, Debug)]
pub struct ShareSplit {
    schedulers: usize,
    own: FxHashMap<u32, Traffic>,
    /// By peer: time of the last digest, and traffic by node number.
    peers: FxHashMap<usize, (Nanos, FxHashMap<u32, Traffic>)>,
    next_datagram: usize,
    /// Number of malformed digests and of digests from unknown peers.
    pub invalid_digests: u64,
}

/// Returns the number of a node in digests, which is the same at every scheduler.
pub fn node_number(name: &str) -> u32 {
    // FNV-1a, which is the same in every build.
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

impl ShareSplit {
    /// Creates the state of one of `schedulers` schedulers, without traffic.
    pub fn new(schedulers: usize) -> Self {
        ShareSplit {
            schedulers: schedulers.max(1),
            own: FxHashMap::default(),
            peers: FxHashMap::default(),
            next_datagram: 0,
            invalid_digests: 0,
        }
    }

    /// Records the work of a request at a node, whether the request is admitted or not.
    pub fn record_demand(&mut self, now: Nanos, node: u32, work: f64) {
        if self.own.len() >= MAX_NODES && !self.own.contains_key(&node) {
            self.own.retain(|_, traffic| traffic.decayed_rate(now) > MIN_TRAFFIC);
            if self.own.len() >= MAX_NODES {
                return;
            }
        }
        let traffic = self.own.entry(node).or_default();
        *traffic =
            Traffic { rate: traffic.decayed_rate(now) + work / (AVERAGING_TIME_NS / 1e9), updated_at: now };
    }

    /// Returns the numbers of the nodes with recorded traffic, sorted.
    pub fn active_nodes(&self) -> Vec<u32> {
        let mut nodes: Vec<u32> = self.own.keys().copied().collect();
        nodes.sort_unstable();
        nodes
    }

    /// Returns the datagrams that report this scheduler's traffic to its peers, each of at most 256 bytes. Nodes
    /// without traffic are left out.
    pub fn digests(&mut self, now: Nanos) -> Vec<Vec<u8>> {
        self.own.retain(|_, traffic| traffic.decayed_rate(now) > MIN_TRAFFIC);
        let mut nodes: Vec<(u32, f64)> =
            self.own.iter().map(|(node, traffic)| (*node, traffic.decayed_rate(now))).collect();
        nodes.sort_by_key(|entry| entry.0);
        let entries_per_datagram = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / ENTRY_BYTES;
        let chunk_count = nodes.chunks(entries_per_datagram).count().max(1);
        let chunks: Vec<&[(u32, f64)]> = nodes.chunks(entries_per_datagram).collect();
        let datagram_count = chunk_count.min(MAX_DATAGRAMS);
        let first = self.next_datagram % chunk_count;
        self.next_datagram = (self.next_datagram + datagram_count) % chunk_count.max(1);
        (0..datagram_count)
            .map(|i| {
                let entries = chunks.get((first + i) % chunk_count).copied().unwrap_or(&[]);
                let mut bytes = vec![DIGEST_MARK, 0, entries.len() as u8];
                for (node, rate) in entries {
                    bytes.extend(node.to_le_bytes());
                    bytes.extend((*rate as f32).to_le_bytes());
                }
                bytes
            })
            .collect()
    }

    /// Applies a digest from a peer. Returns false if it is malformed or the peer is unknown.
    pub fn apply_digest(&mut self, now: Nanos, peer: usize, bytes: &[u8]) -> bool {
        let [DIGEST_MARK, 0, count, entries @ ..] = bytes else { return false };
        if peer >= self.schedulers || entries.len() != usize::from(*count) * ENTRY_BYTES {
            self.invalid_digests += 1;
            return false;
        }
        let (last_digest, nodes) = self.peers.entry(peer).or_default();
        *last_digest = now;
        if nodes.len() > MAX_NODES {
            nodes.retain(|_, traffic| traffic.decayed_rate(now) > MIN_TRAFFIC);
        }
        for entry in entries.chunks_exact(ENTRY_BYTES) {
            let node = u32::from_le_bytes([entry[0], entry[1], entry[2], entry[3]]);
            let rate = f64::from(f32::from_le_bytes([entry[4], entry[5], entry[6], entry[7]]));
            if rate.is_finite() && (0.0..1e9).contains(&rate) && nodes.len() <= MAX_NODES {
                nodes.insert(node, Traffic { rate, updated_at: now });
            }
        }
        true
    }

    /// Returns this scheduler's part of a node's share, from 0 to 1. The parts of schedulers that receive each other's
    /// digests sum to 1, except for the delay of the digests. A silent peer keeps its equal part.
    pub fn share(&self, now: Nanos, node: u32) -> f64 {
        let equal = 1.0 / self.schedulers as f64;
        let own = self.own.get(&node).map_or(0.0, |traffic| traffic.decayed_rate(now));
        let (mut reachable, mut peer_traffic) = (0usize, 0.0);
        for (digest_at, nodes) in self.peers.values() {
            if now.saturating_sub(*digest_at) < SILENCE_TIMEOUT {
                reachable += 1;
                // Reported traffic doesn't decay until the peer is silent. Otherwise both sides of a partition would
                // increase their parts before they detect it.
                peer_traffic += nodes
                    .get(&node)
                    .filter(|traffic| now.saturating_sub(traffic.updated_at) < SILENCE_TIMEOUT)
                    .map_or(0.0, |traffic| traffic.rate);
            }
        }
        let total = own + peer_traffic;
        if reachable == 0 || total < MIN_TRAFFIC {
            return equal;
        }
        // The reachable schedulers split the sum of their equal parts in proportion to their traffic.
        let combined = (reachable + 1) as f64 * equal;
        EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * combined * own / total
    }
}
