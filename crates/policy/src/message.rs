//! What dispatchers say to each other, and its bytes.

use crate::api::{WorkerId, ZoneId};

/// A message to a peer: 8 bytes, or 2 and one for each kind of worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// I have started, in this zone; who is there?
    Hello(ZoneId),
    /// I am here, in this zone; workers of the kinds, in their order, have so many slots in eighths, 0 where
    /// nothing has shown it.
    HelloReply(ZoneId, Vec<u8>),
    /// What I hold at a worker has changed.
    SlotUsage(SlotUsage),
}

/// What a dispatcher holds at a worker. It is all of it rather than the change: a word may be lost or
/// overtaken by the next one, and what is added up of changes would never be right again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotUsage {
    /// The worker.
    pub worker: WorkerId,
    /// The slots that the sender's jobs take there.
    pub slots: u8,
    /// Grows by one with every word of the sender.
    pub sequence: u16,
    /// A job of the sender has just ended there, and badly.
    pub failed: bool,
}

/// The most kinds whose size one message tells.
const KINDS: usize = 64;

impl Message {
    /// The bytes of the message. Zones beyond 255 and worker ids beyond 32 bits are cut short: what is then
    /// taken for another's news is load that soon fades.
    pub fn encode(self) -> Vec<u8> {
        let SlotUsage { worker, slots, sequence: turn, failed } = match self {
            Message::Hello(zone) => return vec![0, zone.0 as u8],
            Message::HelloReply(zone, sizes) => {
                return [1, zone.0 as u8].into_iter().chain(sizes.into_iter().take(KINDS)).collect();
            }
            Message::SlotUsage(holds) => holds,
        };
        let [low, high] = turn.to_le_bytes();
        let head = [if failed { 6 } else { 5 }, slots, low, high];
        head.into_iter().chain((worker.0 as u32).to_le_bytes()).collect()
    }

    /// Reads a message; `None` if these bytes are none, or of a version that told changes.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match *bytes {
            [0, zone] => Some(Message::Hello(ZoneId(zone.into()))),
            [1, zone, ref sizes @ ..] if sizes.len() <= KINDS => {
                Some(Message::HelloReply(ZoneId(zone.into()), sizes.to_vec()))
            }
            [word @ (5 | 6), slots, low, high, a, b, c, d] => Some(Message::SlotUsage(SlotUsage {
                worker: WorkerId(u32::from_le_bytes([a, b, c, d]).into()),
                slots,
                sequence: u16::from_le_bytes([low, high]),
                failed: word == 6,
            })),
            _ => None,
        }
    }
}
