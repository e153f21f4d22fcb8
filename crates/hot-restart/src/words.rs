//! The words between two processes, and their framing: a length of four bytes, a mark whether a descriptor comes with the
//! word, and the word as JSON.

use super::Nanos;
use serde::{Deserialize, Serialize};

/// The version of the words. Another one is refused: its process starts from the configuration.
pub const VERSION: u32 = 1;
/// The longest word, in bytes: the snapshot of 10,000 workers takes some 5 MB.
pub const MOST: usize = 32 << 20;
const HEAD: usize = 5;

/// What one process says to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// The new process is there, and speaks this version.
    #[serde(rename = "Hello")]
    Hello {
        /// See [`VERSION`].
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
    Client {
        /// Its last request was a call-back.
        #[serde(rename = "calls_back")]
        calls_back: bool,
        /// It has said nothing yet.
        #[serde(rename = "fresh")]
        fresh: bool,
    },
    /// An idle connection to a target, with its descriptor.
    #[serde(rename = "Target")]
    Target {
        /// The target's name.
        #[serde(rename = "host")]
        host: String,
        /// Since when it is idle, on the sender's clock, which its snapshot relates to the machine's.
        #[serde(rename = "since")]
        since: Nanos,
    },
    /// What the sender holds now.
    #[serde(rename = "Holds")]
    Holds(Holds),
    /// Something to be done by whoever can, and to be answered under the same number.
    #[serde(rename = "Ask")]
    Ask(u64, Ask),
    /// The answer: whether it was for the other process.
    #[serde(rename = "Answer")]
    Answer(u64, bool),
    /// The sender has nothing more to say, and ends.
    #[serde(rename = "Bye")]
    Bye,
}

/// What a process holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Holds {
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
pub enum Ask {
    /// The body of a call-back for a flow that the sender does not have.
    #[serde(rename = "CallBack")]
    CallBack(String),
    /// Method and path of a call of staff, which the sender has carried out on its side.
    #[serde(rename = "Order")]
    Order(String, String),
}

/// Why what came is no word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Longer than [`MOST`].
    TooLong,
    /// No word of this version.
    Unknown(String),
}

impl Word {
    /// The word in its frame; an error if it is too long for one.
    pub fn frame(&self, with_descriptor: bool) -> Result<Vec<u8>, Fault> {
        let text = serde_json::to_vec(self).map_err(|e| Fault::Unknown(e.to_string()))?;
        if text.len() > MOST {
            return Err(Fault::TooLong);
        }
        let mut out = Vec::with_capacity(HEAD + text.len());
        out.extend_from_slice(&(text.len() as u32).to_le_bytes());
        out.push(u8::from(with_descriptor));
        out.extend_from_slice(&text);
        Ok(out)
    }
}

/// Puts words together from pieces of any size.
#[derive(Debug, Default)]
pub struct Frames {
    buf: Vec<u8>,
}

impl Frames {
    /// Takes in a piece.
    pub fn put(&mut self, piece: &[u8]) {
        self.buf.extend_from_slice(piece);
    }

    /// The next word, and whether a descriptor comes with it; none until it is whole.
    pub fn take(&mut self) -> Result<Option<(Word, bool)>, Fault> {
        let Some(&[a, b, c, d, mark]) = self.buf.first_chunk::<HEAD>() else { return Ok(None) };
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        if length > MOST {
            return Err(Fault::TooLong);
        }
        let Some(text) = self.buf.get(HEAD..HEAD + length) else { return Ok(None) };
        let word = serde_json::from_slice(text).map_err(|e| Fault::Unknown(e.to_string()))?;
        self.buf.drain(..HEAD + length);
        Ok(Some((word, mark == 1)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_come_whole_from_pieces_of_any_size_and_strange_ones_are_refused() {
        let words = [
            (Word::Hello { version: VERSION }, false),
            (Word::Client { calls_back: true, fresh: false }, true),
            (Word::Ask(7, Ask::CallBack("{\"id\":\"é\"}".into())), false),
        ];
        let bytes: Vec<u8> = words.iter().flat_map(|(w, fd)| w.frame(*fd).unwrap()).collect();
        for size in 1..bytes.len() {
            let (mut frames, mut came) = (Frames::default(), Vec::new());
            for piece in bytes.chunks(size) {
                frames.put(piece);
                while let Some(word) = frames.take().unwrap() {
                    came.push(word);
                }
            }
            assert_eq!(came, words, "pieces of {size}");
        }
        let mut frames = Frames::default();
        frames.put(&[0xff; 5]);
        assert_eq!(frames.take(), Err(Fault::TooLong));
        let mut frames = Frames::default();
        frames.put(b"\x06\0\0\0\0\"Wave\"");
        assert!(matches!(frames.take(), Err(Fault::Unknown(_))));
    }
}
