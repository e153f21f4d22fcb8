//! Messages between the two processes of a hot restart and their framing: a length of four bytes in little-endian order, a
//! byte that is 1 if a file descriptor is attached, and the message as JSON.

use super::Nanos;
use serde::{Deserialize, Serialize};

/// Version of the protocol. A successor with another version is refused and starts from its configuration.
pub const PROTOCOL_VERSION: u32 = 1;
/// Longest message. The snapshot of 10,000 workers has about 5 MB.
pub const MAX_MESSAGE_BYTES: usize = 32 << 20;
const HEADER_BYTES: usize = 5;

/// A message from one process to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RestartMessage {
    /// Sent first by the successor.
    #[serde(rename = "Hello")]
    Hello {
        /// Protocol version of the successor, see [`PROTOCOL_VERSION`].
        #[serde(rename = "version")]
        version: u32,
        /// Whether the successor reads [`RestartMessage::OpenRequests`] and answers [`ForwardedRequest::ClaimId`]. Missing
        /// from earlier builds.
        #[serde(rename = "shares_ids", default, skip_serializing_if = "std::ops::Not::not")]
        shares_ids: bool,
    },
    /// The predecessor refuses to hand over, for this reason.
    #[serde(rename = "Refused")]
    Refused(String),
    /// The state of the predecessor. The socket for messages to peers is attached, if there is one.
    #[serde(rename = "Snapshot")]
    Snapshot(serde_json::Value),
    /// The successor is ready to accept connections.
    #[serde(rename = "Ready")]
    Ready,
    /// The requests that the sender has open, in place of those sent before. Sent to a process that shares ids whenever they
    /// have changed, and by the predecessor before [`RestartMessage::Committed`] and [`RestartMessage::Bye`]. The
    /// successor sends at-most-once requests alone.
    #[serde(rename = "Open")]
    OpenRequests(Vec<OpenRequest>),
    /// The predecessor has stopped accepting connections.
    #[serde(rename = "Committed")]
    Committed,
    /// An idle connection of a client or of a worker that calls back. Its descriptor is attached.
    #[serde(rename = "Client")]
    ClientConnection {
        /// Whether the last request on it was a call-back.
        #[serde(rename = "calls_back")]
        calls_back: bool,
        /// Whether no request has been received on it yet.
        #[serde(rename = "fresh")]
        fresh: bool,
    },
    /// An idle connection to a target. Its descriptor is attached.
    #[serde(rename = "Target")]
    TargetConnection {
        /// Name of the target.
        #[serde(rename = "host")]
        host: String,
        /// Time since when it is idle, on the sender's clock. The snapshot relates that clock to the machine's.
        #[serde(rename = "since")]
        since: Nanos,
    },
    /// Resources that the sender uses now.
    #[serde(rename = "Holds")]
    Usage(ResourceUsage),
    /// A request that the receiver handles if it can; the response has the same number.
    #[serde(rename = "Ask")]
    Request(u64, ForwardedRequest),
    /// The response: whether the responding process has handled the request.
    #[serde(rename = "Answer")]
    Response(u64, bool),
    /// The sender is done and exits.
    #[serde(rename = "Bye")]
    Bye,
}

/// A request that a process has open, so that no other one may admit its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// The client's id.
    #[serde(rename = "id")]
    pub id: String,
    /// When its client stops waiting, on the sender's clock.
    #[serde(rename = "deadline")]
    pub deadline: Nanos,
    /// Whether it must not run a second time even if the process that has it dies.
    #[serde(rename = "at_most_once")]
    pub at_most_once: bool,
}

/// Resources that a process uses.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceUsage {
    /// Slots used at targets, by target name.
    #[serde(rename = "slots")]
    pub slots: Vec<(String, f64)>,
    /// Connections accepted by its listener.
    #[serde(rename = "inbound")]
    pub inbound: usize,
    /// Connections to targets.
    #[serde(rename = "outbound")]
    pub outbound: usize,
    /// Size of its open requests, in bytes. Missing from earlier builds.
    #[serde(rename = "request_bytes", default, skip_serializing_if = "is_zero")]
    pub request_bytes: usize,
    /// Memory of requests that its clients are still sending and of answers that they do not receive, in bytes. Missing from
    /// earlier builds.
    #[serde(rename = "receive_bytes", default, skip_serializing_if = "is_zero")]
    pub receive_bytes: usize,
}

fn is_zero(value: &usize) -> bool {
    *value == 0
}

/// A request that one process forwards to the other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardedRequest {
    /// Body of a call-back for a flow that the sender does not have.
    #[serde(rename = "CallBack")]
    CallBack(String),
    /// Method and path of an admin request that the sender has already applied to itself.
    #[serde(rename = "Order")]
    Admin(String, String),
    /// Asks a process whether it has a request with this id open. Only for a predecessor that has sent
    /// [`RestartMessage::OpenRequests`] or a snapshot with them.
    #[serde(rename = "IsOpen")]
    IsOpen(String),
    /// Asks the successor, which accepts connections, for the right to admit a request that came on a connection of the
    /// sender. Granted unless the id is in use. Only for a successor that shares ids.
    #[serde(rename = "Claim")]
    ClaimId(OpenRequest),
}

impl ForwardedRequest {
    /// Whether only processes that share the ids of their requests can decode it.
    pub fn needs_shared_ids(&self) -> bool {
        matches!(self, ForwardedRequest::IsOpen(_) | ForwardedRequest::ClaimId(_))
    }
}

/// Why a message cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    TooLong,
    /// The bytes are no message of this protocol version; contains the error of the JSON library.
    Unknown(String),
}

impl RestartMessage {
    /// Returns the message in its frame, marked if a descriptor is attached.
    pub fn encode(&self, with_descriptor: bool) -> Result<Vec<u8>, FrameError> {
        let payload = serde_json::to_vec(self).map_err(|e| FrameError::Unknown(e.to_string()))?;
        if payload.len() > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong);
        }
        let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
        frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        frame.push(u8::from(with_descriptor));
        frame.extend_from_slice(&payload);
        Ok(frame)
    }
}

/// Decodes messages from chunks of any size.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns the next message and whether a descriptor is attached to it, or `None` until the message is complete.
    pub fn next_message(&mut self) -> Result<Option<(RestartMessage, bool)>, FrameError> {
        let Some(&[a, b, c, d, has_descriptor]) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong);
        }
        let Some(payload) = self.buffer.get(HEADER_BYTES..HEADER_BYTES + length) else { return Ok(None) };
        let message = serde_json::from_slice(payload).map_err(|e| FrameError::Unknown(e.to_string()))?;
        self.buffer.drain(..HEADER_BYTES + length);
        Ok(Some((message, has_descriptor == 1)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_decoded_from_chunks_of_any_size_and_invalid_ones_are_rejected() {
        let messages = [
            (RestartMessage::Hello { version: PROTOCOL_VERSION, shares_ids: true }, false),
            (RestartMessage::ClientConnection { calls_back: true, fresh: false }, true),
            (RestartMessage::Request(7, ForwardedRequest::CallBack("{\"id\":\"é\"}".into())), false),
        ];
        let bytes: Vec<u8> = messages
            .iter()
            .flat_map(|(message, has_descriptor)| message.encode(*has_descriptor).unwrap())
            .collect();
        for size in 1..bytes.len() {
            let (mut decoder, mut decoded) = (FrameDecoder::default(), Vec::new());
            for chunk in bytes.chunks(size) {
                decoder.push(chunk);
                while let Some(message) = decoder.next_message().unwrap() {
                    decoded.push(message);
                }
            }
            assert_eq!(decoded, messages, "chunks of {size} bytes");
        }
        let mut decoder = FrameDecoder::default();
        decoder.push(&[0xff; 5]);
        assert_eq!(decoder.next_message(), Err(FrameError::TooLong));
        let mut decoder = FrameDecoder::default();
        decoder.push(b"\x06\0\0\0\0\"Wave\"");
        assert!(matches!(decoder.next_message(), Err(FrameError::Unknown(_))));
    }
}
