//! Messages on the links between the schedulers of a tier and its voters, and their authentication.
//!
//! Both ends begin with a greeting that carries a nonce. The keys of a connection are derived from the tier's
//! key and both nonces. Each message carries a message authentication code (MAC) over a counter and its
//! payload: a message that is altered, left out, repeated or taken from another connection is detected.

use crate::EffectiveRules;
use crate::state::{Command, ReplicatedState};
use crate::worker_lists::{ListReport, ListSummary};
use serde::{Deserialize, Serialize};

/// The version of the protocol; a peer with another version is rejected.
pub const PROTOCOL_VERSION: u32 = 1;
/// The largest payload of a message that is accepted.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// A random number that is used for one connection only.
pub type Nonce = [u8; 16];
/// The start of a greeting; the nonce follows.
const GREETING_MAGIC: [u8; 4] = *b"LLT1";
/// Length of a greeting, nonce included.
pub const GREETING_BYTES: usize = 20;
const MAC_BYTES: usize = 16;

/// A message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// The first message of the caller.
    #[serde(rename = "Hello")]
    Hello {
        /// The caller's [`PROTOCOL_VERSION`].
        #[serde(rename = "format")]
        format: u32,
        /// The caller's scheduler name.
        #[serde(rename = "name")]
        name: String,
        /// A random number that identifies the caller's process.
        #[serde(rename = "process")]
        process: u64,
        /// The caller's voter number, if it is a voter.
        #[serde(rename = "voter")]
        voter: Option<u64>,
    },
    /// A scheduler requests a lease or its renewal.
    #[serde(rename = "Ask")]
    LeaseRequest {
        /// The number of the request.
        #[serde(rename = "number")]
        number: u64,
        /// The rules that the scheduler applies; none before it has a document.
        #[serde(rename = "acting")]
        rules: Option<EffectiveRules>,
        /// The index of the replicated state that it has.
        #[serde(rename = "index")]
        index: u64,
        /// The version of its list of workers.
        #[serde(rename = "list")]
        list: ListReport,
    },
    /// A voter's response to a lease request.
    #[serde(rename = "Answer")]
    LeaseResponse {
        /// The number of the request.
        #[serde(rename = "number")]
        number: u64,
        /// Whether the voter granted the lease.
        #[serde(rename = "yes")]
        granted: bool,
        /// The replicated state, if it is newer than the requester's.
        #[serde(rename = "news")]
        newer_state: Option<Box<ReplicatedState>>,
        /// A summary of all schedulers' lists of workers.
        #[serde(rename = "lists")]
        lists: ListSummary,
    },
    /// A scheduler proposes a document, and repeats the proposal until it sees the outcome.
    #[serde(rename = "Propose")]
    Propose(Command),
    /// A voter reports to the leader that it is ready for a version.
    #[serde(rename = "Ready")]
    Ready(u64),
    /// An encoded Raft message between voters.
    #[serde(rename = "Raft")]
    Raft(#[serde(with = "hex")] Vec<u8>),
}

/// Encodes bytes as hexadecimal text.
mod hex {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        let digit = |d: u8| char::from_digit(u32::from(d), 16).unwrap_or('0');
        serializer
            .serialize_str(&bytes.iter().flat_map(|b| [digit(b >> 4), digit(b & 15)]).collect::<String>())
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        let digits: Option<Vec<u32>> = text.chars().map(|c| c.to_digit(16)).collect();
        let digits = digits
            .filter(|d| d.len() % 2 == 0)
            .ok_or_else(|| D::Error::custom("expected hexadecimal bytes"))?;
        Ok(digits.chunks(2).map(|pair| (pair[0] << 4 | pair[1]) as u8).collect())
    }
}

/// An error of the peer that ends a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// The greeting is not that of a tier link.
    NotATierLink,
    /// The authentication code does not match: the peer has another key, or the message was altered.
    InvalidMac,
    /// The message exceeds [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// The message cannot be decoded.
    Malformed,
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            LinkError::NotATierLink => "the greeting is not that of a tier link",
            LinkError::InvalidMac => {
                "invalid message authentication code: tier.key differs, or the message was altered"
            }
            LinkError::TooLong => "the message is too long",
            LinkError::Malformed => "the message cannot be decoded",
        })
    }
}

/// Returns the greeting with this nonce.
pub fn greeting(nonce: &Nonce) -> Vec<u8> {
    [&GREETING_MAGIC[..], nonce].concat()
}

/// Returns the nonce of the peer's greeting.
pub fn parse_greeting(bytes: &[u8; GREETING_BYTES]) -> Result<Nonce, LinkError> {
    let mut nonce = Nonce::default();
    nonce.copy_from_slice(&bytes[4..]);
    if bytes[..4] == GREETING_MAGIC { Ok(nonce) } else { Err(LinkError::NotATierLink) }
}

/// One direction of a link: seals messages at the sender, or opens them at the receiver.
#[derive(Clone, Debug)]
pub struct Channel {
    key: [u8; 32],
    /// Messages sealed or opened so far.
    count: u64,
}

/// Derives both directions of a link: from the caller, and to the caller.
pub fn derive_channels(secret: &str, caller: &Nonce, called: &Nonce) -> (Channel, Channel) {
    let tier_key = blake3::derive_key("loomlb tier link 1", secret.as_bytes());
    let channel = |direction: u8| {
        let mut hasher = blake3::Hasher::new_keyed(&tier_key);
        hasher.update(caller).update(called).update(&[direction]);
        Channel { key: *hasher.finalize().as_bytes(), count: 0 }
    };
    (channel(0), channel(1))
}

impl Channel {
    /// Returns the authentication code of the next message.
    fn mac(&self, payload: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_le_bytes()).update(payload);
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Encodes a message: length, authentication code and payload.
    pub fn seal(&mut self, message: &LinkMessage) -> Vec<u8> {
        let payload = serde_json::to_vec(message).unwrap_or_default();
        let mut out = Vec::with_capacity(4 + MAC_BYTES + payload.len());
        out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        out.extend_from_slice(&self.mac(&payload));
        out.extend_from_slice(&payload);
        self.count += 1;
        out
    }

    /// Decodes the next message and removes it from `bytes`; none while it is incomplete.
    pub fn open(&mut self, bytes: &mut Vec<u8>) -> Result<Option<LinkMessage>, LinkError> {
        let Some(header) = bytes.get(..4 + MAC_BYTES) else { return Ok(None) };
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(LinkError::TooLong);
        }
        let Some(payload) = bytes.get(4 + MAC_BYTES..4 + MAC_BYTES + length) else { return Ok(None) };
        // `blake3::Hash` compares in constant time.
        if blake3::Hash::from(zero_padded(&self.mac(payload)))
            != blake3::Hash::from(zero_padded(&header[4..]))
        {
            return Err(LinkError::InvalidMac);
        }
        let message = serde_json::from_slice(payload).map_err(|_| LinkError::Malformed)?;
        self.count += 1;
        bytes.drain(..4 + MAC_BYTES + length);
        Ok(Some(message))
    }
}

/// Pads an authentication code to the length of a [`blake3::Hash`].
fn zero_padded(mac: &[u8]) -> [u8; 32] {
    let mut padded = [0; 32];
    padded[..MAC_BYTES].copy_from_slice(&mac[..MAC_BYTES]);
    padded
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_read_from_partial_input_and_altered_repeated_or_foreign_ones_are_rejected() {
        let message = LinkMessage::Raft(vec![0, 1, 254, 255]);
        let (mut sender, _) = derive_channels("secret", &[1; 16], &[2; 16]);
        let (mut receiver, _) = derive_channels("secret", &[1; 16], &[2; 16]);
        let sealed: Vec<u8> = [sender.seal(&message), sender.seal(&LinkMessage::Ready(3))].concat();
        let (mut bytes, mut received) = (Vec::new(), Vec::new());
        for byte in &sealed {
            bytes.push(*byte);
            received.extend(receiver.clone().open(&mut bytes.clone()).unwrap().map(|_| ()));
            if receiver.clone().open(&mut bytes.clone()).unwrap().is_some() {
                assert!(receiver.open(&mut bytes).unwrap().is_some());
            }
        }
        assert_eq!((received.len(), bytes.len()), (2, 0));
        // A repeated message, an altered bit, another key, another connection.
        let first = sealed[..sealed.len() / 2].to_vec();
        assert!(receiver.open(&mut sealed.clone()).is_err(), "repeated message");
        for position in 4..first.len().min(40) {
            let (mut fresh, _) = derive_channels("secret", &[1; 16], &[2; 16]);
            let mut altered = sealed.clone();
            altered[position] ^= 1;
            assert_eq!(fresh.open(&mut altered), Err(LinkError::InvalidMac));
        }
        for (key, nonce) in [("other", [2; 16]), ("secret", [3; 16])] {
            let (mut fresh, mut opposite) = derive_channels(key, &[1; 16], &nonce);
            assert_eq!(fresh.open(&mut sealed.clone()), Err(LinkError::InvalidMac));
            assert_eq!(opposite.open(&mut sealed.clone()), Err(LinkError::InvalidMac));
        }
        let mut long = vec![255; 40];
        assert_eq!(receiver.open(&mut long), Err(LinkError::TooLong));
        assert_eq!(parse_greeting(&[7; GREETING_BYTES]), Err(LinkError::NotATierLink));
    }
}
