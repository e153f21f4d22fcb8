//! The words between two processes, and their framing: a length of four bytes, a mark whether a descriptor comes with the
//! word, and the word as JSON.

use super::Nanos;
use serde::{Deserialize, Serialize};

/// The version of the words. Another one is refused: its process starts from the configuration.
pub const PROTOCOL_VERSION: u32 = 1;
/// The longest word, in bytes: the snapshot of 10,000 workers takes some 5 MB.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;
const HEADER_BYTES: usize = 5;

/// What one process says to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RestartMessage {
    /// The new process is there, and speaks this version.
    #[serde(rename = "Hello")]
    Hello {
        /// See [`PROTOCOL_VERSION`].
        #[serde(rename = "version")]
        version: u32,
    },
    /// The old process gives nothing, and why.
    #[serde(rename = "Refused")]
    Refused(String),
    /// All that the old process knows; the peers' socket comes with it, if there is one.
    #[serde(rename = "Snapshot")]
    Snapshot(serde_json::Value),
    /// The new process is ready to accept.
    #[serde(rename = "Ready")]
    Ready,
    /// The old process accepts no more.
    #[serde(rename = "Committed")]
    Committed,
    /// An idle connection of a client or of call-backs, with its descriptor.
    #[serde(rename = "Client")]
    ClientConnection {
        /// Its last request was a call-back.
        #[serde(rename = "calls_back")]
        calls_back: bool,
        /// It has said nothing yet.
        #[serde(rename = "fresh")]
        fresh: bool,
    },
    /// An idle connection to a target, with its descriptor.
    #[serde(rename = "Target")]
    TargetConnection {
        /// The target's name.
        #[serde(rename = "host")]
        host: String,
        /// Since when it is idle, on the sender's clock, which its snapshot relates to the machine's.
        #[serde(rename = "since")]
        since: Nanos,
    },
    /// What the sender holds now.
    #[serde(rename = "Holds")]
    Usage(ResourceUsage),
    /// Something to be done by whoever can, and to be answered under the same number.
    #[serde(rename = "Ask")]
    Request(u64, ForwardedRequest),
    /// The answer: whether it was for the other process.
    #[serde(rename = "Answer")]
    Response(u64, bool),
    /// The sender has nothing more to say, and ends.
    #[serde(rename = "Bye")]
    Bye,
}

/// What a process holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceUsage {
    /// Slots at targets, by their names.
    #[serde(rename = "slots")]
    pub slots: Vec<(String, f64)>,
    /// Connections at its listener.
    #[serde(rename = "inbound")]
    pub inbound: usize,
    /// Connections to targets.
    #[serde(rename = "outbound")]
    pub outbound: usize,
}

/// What is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardedRequest {
    /// The body of a call-back for a flow that the sender does not have.
    #[serde(rename = "CallBack")]
    CallBack(String),
    /// Method and path of a call of staff, which the sender has carried out on its side.
    #[serde(rename = "Order")]
    Admin(String, String),
}

/// Why what came is no word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Longer than [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// No word of this version.
    Unknown(String),
}

impl RestartMessage {
    /// The word in its frame; an error if it is too long for one.
    pub fn encode(&self, with_descriptor: bool) -> Result<Vec<u8>, FrameError> {
        let text = serde_json::to_vec(self).map_err(|e| FrameError::Unknown(e.to_string()))?;
        if text.len() > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong);
        }
        let mut out = Vec::with_capacity(HEADER_BYTES + text.len());
        out.extend_from_slice(&(text.len() as u32).to_le_bytes());
        out.push(u8::from(with_descriptor));
        out.extend_from_slice(&text);
        Ok(out)
    }
}

/// Puts words together from pieces of any size.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
}

impl FrameDecoder {
    /// Takes in a piece.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// The next word, and whether a descriptor comes with it; none until it is whole.
    pub fn next_message(&mut self) -> Result<Option<(RestartMessage, bool)>, FrameError> {
        let Some(&[a, b, c, d, mark]) = self.buffer.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong);
        }
        let Some(text) = self.buffer.get(HEADER_BYTES..HEADER_BYTES + length) else { return Ok(None) };
        let word = serde_json::from_slice(text).map_err(|e| FrameError::Unknown(e.to_string()))?;
        self.buffer.drain(..HEADER_BYTES + length);
        Ok(Some((word, mark == 1)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_come_whole_from_pieces_of_any_size_and_strange_ones_are_refused() {
        let words = [
            (RestartMessage::Hello { version: PROTOCOL_VERSION }, false),
            (RestartMessage::ClientConnection { calls_back: true, fresh: false }, true),
            (RestartMessage::Request(7, ForwardedRequest::CallBack("{\"id\":\"é\"}".into())), false),
        ];
        let bytes: Vec<u8> = words.iter().flat_map(|(w, fd)| w.encode(*fd).unwrap()).collect();
        for size in 1..bytes.len() {
            let (mut frames, mut came) = (FrameDecoder::default(), Vec::new());
            for piece in bytes.chunks(size) {
                frames.push(piece);
                while let Some(word) = frames.next_message().unwrap() {
                    came.push(word);
                }
            }
            assert_eq!(came, words, "pieces of {size}");
        }
        let mut frames = FrameDecoder::default();
        frames.push(&[0xff; 5]);
        assert_eq!(frames.next_message(), Err(FrameError::TooLong));
        let mut frames = FrameDecoder::default();
        frames.push(b"\x06\0\0\0\0\"Wave\"");
        assert!(matches!(frames.next_message(), Err(FrameError::Unknown(_))));
    }
}
