//! Words on the tier link, each with its length and a code that only who knows the tier's key can make.
//!
//! Both ends say a number used once; the key of a connection follows from the tier's key and both numbers, and each word
//! is counted, so that none can be changed, left out, said again or carried over to another connection.

use crate::EffectiveRules;
use crate::state::{Command, ReplicatedState};
use crate::worker_lists::{ListReport, ListSummary};
use serde::{Deserialize, Serialize};

/// Version of the words; another one is not spoken to.
pub const PROTOCOL_VERSION: u32 = 1;
/// A longer word is none, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// A number used once.
pub type Nonce = [u8; 16];
/// What each end says first, before its number.
const GREETING_MAGIC: [u8; 4] = *b"LLT1";
/// Length of the greeting with the number.
pub const GREETING_BYTES: usize = 20;
const MAC_BYTES: usize = 16;

/// A word on the link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// The caller's first word.
    #[serde(rename = "Hello")]
    Hello {
        /// Its format.
        #[serde(rename = "format")]
        format: u32,
        /// Its scheduler's name.
        #[serde(rename = "name")]
        name: String,
        /// A number that no other process has.
        #[serde(rename = "process")]
        process: u64,
        /// Its number as a voter, if it is one.
        #[serde(rename = "voter")]
        voter: Option<u64>,
    },
    /// A scheduler asks to go on acting.
    #[serde(rename = "Ask")]
    LeaseRequest {
        /// Number of the question.
        #[serde(rename = "number")]
        number: u64,
        /// What it acts on, if it knows of a document.
        #[serde(rename = "acting")]
        rules: Option<EffectiveRules>,
        /// The state that it has.
        #[serde(rename = "index")]
        index: u64,
        /// Its list of workers.
        #[serde(rename = "list")]
        list: ListReport,
    },
    /// A voter's answer.
    #[serde(rename = "Answer")]
    LeaseResponse {
        /// To which question.
        #[serde(rename = "number")]
        number: u64,
        /// Whether it promised.
        #[serde(rename = "yes")]
        granted: bool,
        /// The state, if it is newer than the asker's.
        #[serde(rename = "news")]
        newer_state: Option<Box<ReplicatedState>>,
        /// The lists of all.
        #[serde(rename = "lists")]
        lists: ListSummary,
    },
    /// A scheduler proposes; it asks again until it sees the outcome.
    #[serde(rename = "Propose")]
    Propose(Command),
    /// A voter is ready for a version.
    #[serde(rename = "Ready")]
    Ready(u64),
    /// A message among voters, in the library's bytes.
    #[serde(rename = "Raft")]
    Raft(#[serde(with = "hex")] Vec<u8>),
}

/// Bytes as text.
mod hex {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        let digit = |d: u8| char::from_digit(u32::from(d), 16).unwrap_or('0');
        to.serialize_str(&bytes.iter().flat_map(|b| [digit(b >> 4), digit(b & 15)]).collect::<String>())
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(from)?;
        let digits: Option<Vec<u32>> = text.chars().map(|c| c.to_digit(16)).collect();
        let digits =
            digits.filter(|d| d.len() % 2 == 0).ok_or_else(|| D::Error::custom("no hexadecimal bytes"))?;
        Ok(digits.chunks(2).map(|pair| (pair[0] << 4 | pair[1]) as u8).collect())
    }
}

/// Why a link cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// It is no tier link.
    NotATierLink,
    /// A code is wrong: another key, or something on the way has changed a word.
    InvalidMac,
    /// A word that is too long.
    TooLong,
    /// A word that cannot be read.
    Malformed,
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            LinkError::NotATierLink => "no tier link",
            LinkError::InvalidMac => "a false code: another tier.key, or a changed word",
            LinkError::TooLong => "a word that is too long",
            LinkError::Malformed => "a word that cannot be read",
        })
    }
}

/// What an end says first.
pub fn greeting(nonce: &Nonce) -> Vec<u8> {
    [&GREETING_MAGIC[..], nonce].concat()
}

/// The number that the other end said first.
pub fn parse_greeting(bytes: &[u8; GREETING_BYTES]) -> Result<Nonce, LinkError> {
    let mut nonce = Nonce::default();
    nonce.copy_from_slice(&bytes[4..]);
    if bytes[..4] == GREETING_MAGIC { Ok(nonce) } else { Err(LinkError::NotATierLink) }
}

/// One direction of a link.
#[derive(Clone, Debug)]
pub struct Channel {
    key: [u8; 32],
    count: u64,
}

/// Both directions of a link: from the caller, and to it.
pub fn derive_channels(secret: &str, caller: &Nonce, called: &Nonce) -> (Channel, Channel) {
    let tier = blake3::derive_key("loomlb tier link 1", secret.as_bytes());
    let way = |to: u8| {
        let mut hasher = blake3::Hasher::new_keyed(&tier);
        hasher.update(caller).update(called).update(&[to]);
        Channel { key: *hasher.finalize().as_bytes(), count: 0 }
    };
    (way(0), way(1))
}

impl Channel {
    fn code(&self, payload: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_le_bytes()).update(payload);
        let mut code = [0; MAC_BYTES];
        code.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        code
    }

    /// The bytes of a word.
    pub fn seal(&mut self, word: &LinkMessage) -> Vec<u8> {
        let payload = serde_json::to_vec(word).unwrap_or_default();
        let mut out = Vec::with_capacity(4 + MAC_BYTES + payload.len());
        out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        out.extend_from_slice(&self.code(&payload));
        out.extend_from_slice(&payload);
        self.count += 1;
        out
    }

    /// Takes the next word off the bytes; none until it is whole.
    pub fn open(&mut self, bytes: &mut Vec<u8>) -> Result<Option<LinkMessage>, LinkError> {
        let Some(head) = bytes.get(..4 + MAC_BYTES) else { return Ok(None) };
        let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(LinkError::TooLong);
        }
        let Some(payload) = bytes.get(4 + MAC_BYTES..4 + MAC_BYTES + length) else { return Ok(None) };
        // Compared in constant time.
        if blake3::Hash::from(widened(&self.code(payload))) != blake3::Hash::from(widened(&head[4..])) {
            return Err(LinkError::InvalidMac);
        }
        let word = serde_json::from_slice(payload).map_err(|_| LinkError::Malformed)?;
        self.count += 1;
        bytes.drain(..4 + MAC_BYTES + length);
        Ok(Some(word))
    }
}

fn widened(code: &[u8]) -> [u8; 32] {
    let mut wide = [0; 32];
    wide[..MAC_BYTES].copy_from_slice(&code[..MAC_BYTES]);
    wide
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_come_through_in_pieces_and_nothing_changed_repeated_or_foreign_does() {
        let word = LinkMessage::Raft(vec![0, 1, 254, 255]);
        let (mut to, _) = derive_channels("secret", &[1; 16], &[2; 16]);
        let (mut from, _) = derive_channels("secret", &[1; 16], &[2; 16]);
        let sealed: Vec<u8> = [to.seal(&word), to.seal(&LinkMessage::Ready(3))].concat();
        let (mut bytes, mut heard) = (Vec::new(), Vec::new());
        for byte in &sealed {
            bytes.push(*byte);
            heard.extend(from.clone().open(&mut bytes.clone()).unwrap().map(|_| ()));
            if from.clone().open(&mut bytes.clone()).unwrap().is_some() {
                assert!(from.open(&mut bytes).unwrap().is_some());
            }
        }
        assert_eq!((heard.len(), bytes.len()), (2, 0));
        // The first word again, a bit changed, another key, another connection.
        let once = sealed[..sealed.len() / 2].to_vec();
        assert!(from.open(&mut sealed.clone()).is_err(), "said again");
        for at in 4..once.len().min(40) {
            let (mut fresh, _) = derive_channels("secret", &[1; 16], &[2; 16]);
            let mut changed = sealed.clone();
            changed[at] ^= 1;
            assert_eq!(fresh.open(&mut changed), Err(LinkError::InvalidMac));
        }
        for (key, nonce) in [("other", [2; 16]), ("secret", [3; 16])] {
            let (mut fresh, mut back) = derive_channels(key, &[1; 16], &nonce);
            assert_eq!(fresh.open(&mut sealed.clone()), Err(LinkError::InvalidMac));
            assert_eq!(back.open(&mut sealed.clone()), Err(LinkError::InvalidMac));
        }
        let mut long = vec![255; 40];
        assert_eq!(from.open(&mut long), Err(LinkError::TooLong));
        assert_eq!(parse_greeting(&[7; GREETING_BYTES]), Err(LinkError::NotATierLink));
    }
}
