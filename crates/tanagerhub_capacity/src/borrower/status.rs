//! The borrower's part of the state dump.

use std::time::Duration;

use serde::Serialize;
use tanagerhub_catalogue::NodeId;
use tanagerhub_clock::Moment;

use super::Borrower;
use crate::shard::{Shard, as_text};

/// Counters since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct BorrowerCounters {
    /// Asks for starts.
    pub asks: u64,
    /// Grants that were passed on.
    pub grants: u64,
    /// Asks that all shards refused.
    pub refusals: u64,
    /// Grants that were not used.
    pub unused: u64,
    /// Grants that were not used because they may have been too old.
    pub too_old: u64,
    /// Asks that waited as long as they may.
    pub expired: u64,
    /// Asks that went from one shard to another.
    pub moved: u64,
    /// Asks that were sent anew to the same shard because their grant may have been lost.
    pub renewed: u64,
    /// Coordinators that were replaced because they did not answer or are no candidates any more.
    pub replaced: u64,
    /// Releases by coordinators.
    pub released: u64,
    /// Replies of other nodes than the coordinators in use, or of former processes.
    pub ignored: u64,
}

/// The state of a node's loans and asks.
#[derive(Debug, Clone, Serialize)]
pub struct BorrowerStatus {
    /// Asks that are not decided yet.
    pub waiting: usize,
    /// Status of each shard, ordered by id.
    pub shards: Vec<LinkStatus>,
    /// Counters since the process started.
    pub counters: BorrowerCounters,
}

/// The state of the link to the coordinator of a shard.
#[derive(Debug, Clone, Serialize)]
pub struct LinkStatus {
    /// The shard.
    #[serde(serialize_with = "as_text")]
    pub shard: Shard,
    /// The coordinator in use.
    pub coordinator: Option<NodeId>,
    /// The boot id of its process, if it has answered.
    pub boot: Option<u64>,
    /// Age of its newest reply.
    #[serde(rename = "reply_age_ms", serialize_with = "as_millis")]
    pub reply_age: Option<Duration>,
    /// Coordinators that are skipped because they did not answer or have released this node.
    pub skipped: Vec<NodeId>,
    /// Number of this node's own shares.
    pub shares: usize,
    /// Number of these shares that are lent.
    pub lent: usize,
}

impl Borrower {
    /// Returns the counters since the process started.
    #[must_use]
    pub const fn counters(&self) -> &BorrowerCounters {
        &self.counters
    }

    /// Returns the state for the dump.
    #[must_use]
    pub fn status(&self, now: Moment) -> BorrowerStatus {
        let shards = self.links.iter().map(|(shard, link)| {
            let (shares, lent) = self.shares.counts(now, *shard);
            LinkStatus {
                shard: *shard,
                coordinator: link.coordinator(),
                boot: link.heard().map(|reply| reply.heard.boot),
                reply_age: link.heard().map(|reply| now.since(reply.at)),
                skipped: link.skipped().collect(),
                shares,
                lent,
            }
        });
        BorrowerStatus {
            waiting: self.asks.len(),
            shards: shards.collect(),
            counters: self.counters,
        }
    }
}

#[expect(clippy::ref_option, reason = "the signature that serde requires")]
fn as_millis<S: serde::Serializer>(
    age: &Option<Duration>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    age.map(|age| age.as_millis()).serialize(serializer)
}
