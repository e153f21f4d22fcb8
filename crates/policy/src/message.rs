//! Messages between dispatchers and their encoding.

use crate::api::{WorkerId, ZoneId};

/// A message to a peer. It takes 8 bytes, or 2 and one for each kind of machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender has started in this zone and asks its peers to reply.
    Hello(ZoneId),
    /// The sender runs in this zone; the slots of a worker of each kind in eighths, 0 if unknown.
    HelloReply(ZoneId, Vec<u8>),
    /// The slots that the sender's jobs take at a worker have changed.
    SlotUsage(SlotUsage),
}

/// The slots that a dispatcher's jobs take at a worker. Messages carry the total rather than the change: they
/// may be lost or reordered, and a sum of changes would stay wrong for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotUsage {
    /// The worker.
    pub worker: WorkerId,
    /// The slots that the sender's jobs take there.
    pub slots: u8,
    /// Incremented with every message of the sender; wraps around.
    pub sequence: u16,
    /// Whether a job of the sender has just failed there.
    pub failed: bool,
}

/// Kinds in a [`Message::HelloReply`] at most.
const MAX_KINDS: usize = 64;

impl Message {
    /// Encodes the message. Zones are truncated to 8 bits and worker ids to 32 bits; a usage that is thereby
    /// attributed to another worker decays soon.
    pub fn encode(self) -> Vec<u8> {
        let SlotUsage { worker, slots, sequence, failed } = match self {
            Message::Hello(zone) => return vec![0, zone.0 as u8],
            Message::HelloReply(zone, slots_by_kind) => {
                return [1, zone.0 as u8]
                    .into_iter()
                    .chain(slots_by_kind.into_iter().take(MAX_KINDS))
                    .collect();
            }
            Message::SlotUsage(usage) => usage,
        };
        let [low, high] = sequence.to_le_bytes();
        let head = [if failed { 6 } else { 5 }, slots, low, high];
        head.into_iter().chain((worker.0 as u32).to_le_bytes()).collect()
    }

    /// Decodes a message. Returns `None` for other bytes, such as messages of an earlier version that carried
    /// changes.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match *bytes {
            [0, zone] => Some(Message::Hello(ZoneId(zone.into()))),
            [1, zone, ref slots_by_kind @ ..] if slots_by_kind.len() <= MAX_KINDS => {
                Some(Message::HelloReply(ZoneId(zone.into()), slots_by_kind.to_vec()))
            }
            [tag @ (5 | 6), slots, low, high, a, b, c, d] => Some(Message::SlotUsage(SlotUsage {
                worker: WorkerId(u32::from_le_bytes([a, b, c, d]).into()),
                slots,
                sequence: u16::from_le_bytes([low, high]),
                failed: tag == 6,
            })),
            _ => None,
        }
    }
}
