//! The messages between nodes and the coordinators of shards.

use std::time::Duration;

use bincode::config::standard;
use bincode::serde::{decode_from_slice, encode_into_std_write};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{DataCentreId, EntryId, Epoch, GroupId, NodeId, VmId};
use tanagerhub_clock::Moment;

use crate::shard::Shard;
use crate::timing::START_WINDOW;

/// The format of the messages, which is the first byte of each datagram.
pub const FORMAT: u8 = 1;
/// The maximum size of a datagram, which fits into one packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The id of an ask, unique among the asks of a node's process.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct AskId(pub u64);

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A message to the coordinator of a shard.
    Request(Request),
    /// A message from the coordinator of a shard.
    Reply(Reply),
}

/// A message from a node to the coordinator of a shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The shard whose backend servers the coordinator grants.
    pub shard: Shard,
    /// The node that sends the message.
    pub node: NodeId,
    /// The boot id of its process.
    pub boot: u64,
    /// Rises with each message of the process. Of a message older than the last one received, only
    /// the asks and cancellations count.
    pub number: u64,
    /// The newest reply of this coordinator that the node has received, from which the loans run.
    pub heard: Option<Heard>,
    /// The shares of start limits that the node lends; empty without `heard`.
    pub lent: Vec<LentShare>,
    /// Lent shares that another coordinator has handed over and that rest for less than
    /// [`START_WINDOW`](crate::START_WINDOW).
    pub rests: Vec<ShareRest>,
    /// All requests that the node has at the shard's groups now.
    pub running: Vec<GroupRunning>,
    /// The attempts that have ended since the last message.
    pub samples: Vec<Sample>,
    /// The first bytes of granted requests since the last message.
    pub first_bytes: Vec<FirstByte>,
    /// New asks.
    pub asks: Vec<Ask>,
    /// Asks that need no grant any more, and grants that were not used.
    pub cancelled: Vec<AskId>,
    /// Whether the node takes its loans back, which end with this message.
    pub leaving: bool,
}

/// Identifies a reply by its sender and the sender's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Heard {
    /// The boot id of the coordinator's process.
    pub boot: u64,
    /// When the reply was sent, on the coordinator's clock, in nanoseconds.
    pub sent_at: u64,
}

impl Heard {
    /// Returns when the reply was sent, on the coordinator's clock.
    #[must_use]
    pub const fn moment(self) -> Moment {
        Moment::from_nanos(self.sent_at)
    }
}

/// A node's share of the start limit of a backend server, which it lends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentShare {
    /// The VM of the backend server.
    pub server: VmId,
    /// Starts in any second.
    pub starts: u32,
}

/// How long no start may be granted on a node's share of a server, because of the last one granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRest {
    /// The VM of the backend server.
    pub server: VmId,
    /// The time from the sending of the message on, in milliseconds.
    pub rest_ms: u32,
}

impl ShareRest {
    /// Returns the rest of a share until a moment, rounded up; at most a start window, after which
    /// any share is free.
    pub(crate) fn until(now: Moment, server: VmId, free_at: Moment) -> Self {
        let rest = free_at.since(now).min(START_WINDOW);
        let rest_ms = rest.as_nanos().div_ceil(1_000_000);
        Self {
            server,
            rest_ms: u32::try_from(rest_ms).unwrap_or(u32::MAX),
        }
    }

    pub(crate) const fn rest(self) -> Duration {
        Duration::from_millis(self.rest_ms as u64)
    }
}

/// The requests of a node at one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRunning {
    /// The group.
    pub group: GroupId,
    /// The epoch of the group.
    pub epoch: Epoch,
    /// Number of requests in flight, including granted ones that are about to be sent.
    pub requests: u32,
    /// Their prompt tokens and the maximum number of their output tokens.
    pub tokens: u64,
    /// Number of these requests that have no first byte yet.
    pub reading: u32,
    /// The prompt tokens of those.
    pub reading_tokens: u64,
}

/// The first byte of the response to a granted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstByte {
    /// The ask that was granted.
    pub ask: AskId,
    /// The wait for the first byte, in microseconds.
    pub wait_us: u32,
    /// Whether it missed its objective at the backend server.
    pub late: bool,
}

/// Measurements of an attempt that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The group.
    pub group: GroupId,
    /// The epoch of the group.
    pub epoch: Epoch,
    /// The wait for the first byte, in microseconds; `None` if there was none.
    pub first_byte_us: Option<u32>,
    /// Whether the first byte, or a later event, missed its objective at the backend server.
    pub late: bool,
    /// Whether a [`FirstByte`] has told already that it was late.
    pub reported_late: bool,
    /// Whether the attempt failed or was refused by the backend server.
    pub failed: bool,
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The number of output tokens received after the first byte.
    pub tokens: u32,
    /// The time from the first byte to the end, in microseconds.
    pub rest_us: u32,
}

/// Asks for one start at a group that serves an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The id, by which the reply refers to it.
    pub id: AskId,
    /// The catalogue entry.
    pub entry: EntryId,
    /// The urgency from 0, the highest, to 9.
    pub urgency: u8,
    /// The hash by which equal requests are recognised; a repeated request has the same.
    pub fingerprint: u64,
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The maximum number of output tokens.
    pub max_tokens: u32,
    /// How long the ask may wait at the coordinator, in milliseconds.
    pub wait_ms: u32,
    /// The time left until the objective of the first event, in milliseconds: 0 if it has passed,
    /// [`NO_OBJECTIVE`](Self::NO_OBJECTIVE) without an objective.
    pub objective_ms: u32,
    /// The data centre of the node, whose groups are preferred.
    pub data_centre: DataCentreId,
    /// Groups at which an attempt of the request failed or still runs.
    pub excluded: Vec<GroupId>,
}

impl Ask {
    /// The value of `objective_ms` for a request without an objective.
    pub const NO_OBJECTIVE: u32 = u32::MAX;

    /// Returns the time left until the objective of the first event, if it has one.
    #[must_use]
    pub fn objective(&self) -> Option<Duration> {
        let has_objective = self.objective_ms != Self::NO_OBJECTIVE;
        has_objective.then(|| Duration::from_millis(u64::from(self.objective_ms)))
    }

    /// Returns the tokens that the request may hold in a group's memory.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_tokens)
    }

    /// Returns how long the ask may wait at the coordinator.
    #[must_use]
    pub const fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms as u64)
    }
}

/// A message from the coordinator of a shard to a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The shard whose backend servers the coordinator grants.
    pub shard: Shard,
    /// The coordinator's node.
    pub node: NodeId,
    /// The boot id of the coordinator's process, and when it sent the reply.
    pub sent: Heard,
    /// The boot id of the process that it is meant for; a later process of the node ignores it.
    pub to: u64,
    /// The number of the newest request received from that process.
    pub answers: u64,
    /// Which of the 64 requests before that one were received: bit 0 is the last one before it.
    pub received: u64,
    /// Granted asks.
    pub grants: Vec<Grant>,
    /// Refused asks.
    pub refusals: Vec<RefusedAsk>,
    /// The load of each entry in the shard.
    pub load: Vec<EntryLoad>,
    /// Whether the coordinator has ended all loans of the node.
    pub released: Option<Released>,
}

impl Reply {
    /// Whether the coordinator had received a request of the process when it sent the reply.
    #[must_use]
    pub const fn has_received(&self, number: u64) -> bool {
        match self.answers.checked_sub(number) {
            None => false,
            Some(0) => true,
            Some(before) => before <= 64 && self.received >> (before - 1) & 1 == 1,
        }
    }
}

/// Grants one start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The ask.
    pub ask: AskId,
    /// The group to which the request must be sent.
    pub group: GroupId,
    /// The epoch of the group.
    pub epoch: Epoch,
}

/// Refuses an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedAsk {
    /// The ask.
    pub ask: AskId,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// When the caller may come back, in milliseconds.
    pub retry_ms: u32,
}

/// Why a coordinator refused an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The expected wait exceeds the time that the ask may wait.
    Overloaded,
    /// More urgent requests took the place of the ask.
    Displaced,
    /// The ask has waited as long as it may.
    TimedOut,
    /// No group of the shard serves the entry.
    NoGroup,
    /// No group has enough memory for the request.
    TooLarge,
    /// The process has no loans for the entry yet, or is about to stop.
    NotReady,
}

/// The load of an entry in a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLoad {
    /// The catalogue entry.
    pub entry: EntryId,
    /// Requests at its groups.
    pub running: u32,
    /// The sum of the groups' limits.
    pub limit: u32,
    /// Waiting asks.
    pub waiting: u32,
    /// Asks of the last 3 s that a group could have served.
    pub asks: u32,
    /// Those of them that were overdue, or were refused for want of capacity.
    pub missed: u32,
}

impl EntryLoad {
    /// Returns the sum of the loads of the same entry in two shards.
    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            entry: self.entry,
            running: self.running.saturating_add(other.running),
            limit: self.limit.saturating_add(other.limit),
            waiting: self.waiting.saturating_add(other.waiting),
            asks: self.asks.saturating_add(other.asks),
            missed: self.missed.saturating_add(other.missed),
        }
    }
}

/// Tells a node that a coordinator has ended its loans.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// The node that coordinates the shard next, if it is known.
    pub next: Option<NodeId>,
    /// The number of the newest request whose shares the coordinator has counted.
    pub counted: u64,
    /// The shares of that request. The next coordinator may grant on them after their rests, unless
    /// the node has begun a new loan since that request.
    pub rests: Vec<ShareRest>,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is empty or of another format.
    #[error("unknown format")]
    Format,
    /// The content can't be decoded.
    #[error("invalid content: {0}")]
    Content(String),
    /// Bytes are left over.
    #[error("{0} bytes too many")]
    Surplus(usize),
}

/// Encodes a [`Message`] as a datagram.
///
/// # Panics
///
/// Never: all messages can be encoded.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut datagram = Vec::new();
    encode_into(message, &mut datagram);
    datagram
}

/// Encodes a [`Message`] as a datagram in place of the content of `buffer`.
///
/// # Panics
///
/// Never: all messages can be encoded.
///
/// # Examples
///
/// ```
/// use tanagerhub_capacity::{AskId, encode, encode_into};
///
/// let mut buffer = vec![9, 9];
/// encode_into(&AskId(7), &mut buffer);
/// assert_eq!(buffer, encode(&AskId(7)));
/// ```
pub fn encode_into<T: Serialize>(message: &T, buffer: &mut Vec<u8>) {
    buffer.clear();
    buffer.push(FORMAT);
    encode_into_std_write(message, buffer, standard()).expect("messages can always be encoded");
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns why the datagram is invalid.
///
/// # Examples
///
/// ```
/// use tanagerhub_capacity::{AskId, DecodeError, decode, encode};
///
/// assert_eq!(decode(&encode(&AskId(7))), Ok(AskId(7)));
/// assert_eq!(decode::<AskId>(&[9, 9]), Err(DecodeError::Format));
/// ```
pub fn decode<T: DeserializeOwned>(datagram: &[u8]) -> Result<T, DecodeError> {
    let Some((&FORMAT, content)) = datagram.split_first() else {
        return Err(DecodeError::Format);
    };
    let (message, used) = decode_from_slice(content, standard())
        .map_err(|error| DecodeError::Content(error.to_string()))?;
    if used != content.len() {
        return Err(DecodeError::Surplus(content.len() - used));
    }
    Ok(message)
}
