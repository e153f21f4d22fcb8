//! What dispatchers say to each other, and its bytes.

use crate::api::{WorkerId, ZoneId};

/// A message to a peer: 2 or 6 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// I have started, in this zone; who is there?
    Hello(ZoneId),
    /// I am here, in this zone.
    Here(ZoneId),
    /// I have sent a job of so many slots to this worker.
    Took(WorkerId, u8),
    /// A job of mine there has ended.
    Left(WorkerId, u8),
    /// A job of mine there has ended, and badly.
    Failed(WorkerId, u8),
}

impl Message {
    /// The bytes of the message. Zones beyond 255 and worker ids beyond 32 bits are cut short: what is then
    /// taken for another's news is load that soon fades.
    pub fn bytes(self) -> Vec<u8> {
        let (word, worker, slots) = match self {
            Message::Hello(zone) => return vec![0, zone.0 as u8],
            Message::Here(zone) => return vec![1, zone.0 as u8],
            Message::Took(worker, slots) => (2, worker, slots),
            Message::Left(worker, slots) => (3, worker, slots),
            Message::Failed(worker, slots) => (4, worker, slots),
        };
        std::iter::once(word).chain((worker.0 as u32).to_le_bytes()).chain([slots]).collect()
    }

    /// Reads a message; `None` if these bytes are none.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        let zone = |&z: &u8| ZoneId(z.into());
        let worker = |id: &[u8]| Some(WorkerId(u32::from_le_bytes(id.try_into().ok()?).into()));
        // Peers of the last version do not say how many slots; they run beside this one while it is rolled out.
        let (bytes, slots) = match bytes {
            [head @ .., slots] if bytes.len() == 6 => (head, *slots),
            _ => (bytes, 1),
        };
        match bytes {
            [0, z] => Some(Message::Hello(zone(z))),
            [1, z] => Some(Message::Here(zone(z))),
            [2, id @ ..] => worker(id).map(|w| Message::Took(w, slots)),
            [3, id @ ..] => worker(id).map(|w| Message::Left(w, slots)),
            [4, id @ ..] => worker(id).map(|w| Message::Failed(w, slots)),
            _ => None,
        }
    }
}
