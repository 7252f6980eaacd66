//! The requests to coordinators.

use tanagerhub_catalogue::NodeId;
use tanagerhub_clock::Moment;

use super::Borrower;
use super::link::Link;
use crate::message::{AskId, GroupRunning, MAX_DATAGRAM_BYTES, Request, encode};
use crate::shard::Shard;

/// Maximum number of shares in a request, which leaves room for asks.
const MAX_LENT: usize = 40;
/// Maximum number of groups in a request, which leaves room for asks.
const MAX_RUNNING: usize = 20;
/// Maximum size of a request with rests before asks are added. A rest that has no room is left out,
/// so that its share rests for a whole start window.
const MAX_BYTES_WITH_RESTS: usize = 900;
/// Maximum number of datagrams sent to a coordinator at once.
const MAX_DATAGRAMS: usize = 8;
/// Bytes by which the encoded lengths of the lists of a request may grow, and the tag of the
/// message.
const LENGTHS_BYTES: usize = 9;

impl Borrower {
    /// Returns the requests that are due, with their coordinators.
    ///
    /// `running` returns the requests of this node at the groups of a shard. They include those
    /// whose grant was passed on.
    pub fn take_requests(
        &mut self,
        now: Moment,
        running: impl Fn(Shard) -> Vec<GroupRunning>,
    ) -> Vec<(NodeId, Request)> {
        self.notice_pause(now);
        self.choose_coordinators(now);
        self.place_asks(now);
        let mut requests = Vec::new();
        let shards: Vec<Shard> = self.links.keys().copied().collect();
        for shard in shards {
            let link = &self.links[&shard];
            let Some(node) = link.coordinator() else {
                continue;
            };
            let asks = || self.asks.values().filter(|ask| ask.shard == Some(shard));
            let due = link.next_request().is_some_and(|at| at <= now);
            if !due && !asks().any(|ask| ask.is_due(now)) {
                continue;
            }
            let mut running = running(shard);
            running.truncate(MAX_RUNNING);
            for request in self.fill_requests(now, shard, &running) {
                requests.push((node, request));
            }
        }
        requests
    }

    /// Builds as many requests as the shard's asks, cancellations and samples fill.
    ///
    /// All of them list the same loans and running requests, since each may be the only one that
    /// arrives.
    fn fill_requests(
        &mut self,
        now: Moment,
        shard: Shard,
        running: &[GroupRunning],
    ) -> Vec<Request> {
        let heard = self.links.get(&shard).and_then(Link::heard);
        let (mut lent, mut rests) = (Vec::new(), Vec::new());
        if let Some(reply) = heard.filter(|_| !self.leaving) {
            (lent, rests) = self
                .shares
                .lend(now, shard, reply, self.number + 1, MAX_LENT);
        }
        // Asks that no reply answers yet are sent again with each request, the due ones first.
        let mut asks = self.ids(|ask| ask.shard == Some(shard) && ask.is_open(now));
        asks.sort_by_key(|id| !self.asks[id].is_due(now));
        let mut asks = asks.into_iter().peekable();
        let common = Request {
            heard: heard.map(|reply| reply.heard),
            lent,
            rests,
            running: running.to_vec(),
            ..self.empty_request(shard)
        };
        let mut requests = Vec::new();
        while requests.len() < MAX_DATAGRAMS {
            self.number += 1;
            let mut request = Request {
                number: self.number,
                ..common.clone()
            };
            while !request.rests.is_empty() && encode(&request).len() > MAX_BYTES_WITH_RESTS {
                request.rests.pop();
            }
            let complete = self.fill(now, &mut request, &mut asks);
            if let Some(link) = self.links.get_mut(&shard) {
                link.record_sent(now, request.number, !request.asks.is_empty());
            }
            requests.push(request);
            if complete {
                break;
            }
        }
        requests
    }

    const fn empty_request(&self, shard: Shard) -> Request {
        Request {
            shard,
            node: self.node,
            boot: self.boot,
            number: self.number,
            heard: None,
            lent: Vec::new(),
            rests: Vec::new(),
            running: Vec::new(),
            samples: Vec::new(),
            first_bytes: Vec::new(),
            asks: Vec::new(),
            cancelled: Vec::new(),
            leaving: self.leaving,
        }
    }

    /// Adds what fits. Returns whether nothing is left.
    fn fill(
        &mut self,
        now: Moment,
        request: &mut Request,
        asks: &mut std::iter::Peekable<std::vec::IntoIter<AskId>>,
    ) -> bool {
        let Some(link) = self.links.get_mut(&request.shard) else {
            return true;
        };
        let mut space = MAX_DATAGRAM_BYTES.saturating_sub(encode(request).len() + LENGTHS_BYTES);
        while let Some(pending) = asks.peek().and_then(|id| self.asks.get_mut(id)) {
            let ask = pending.message(now, self.boot);
            if !reserve_space(&mut space, &ask) {
                return false;
            }
            pending.record_sent(now, request.number);
            request.asks.push(ask);
            asks.next();
        }
        while let Some(id) = link.cancelled.front() {
            if !reserve_space(&mut space, id) {
                return false;
            }
            request.cancelled.extend(link.cancelled.pop_front());
        }
        while let Some(first_byte) = link.first_bytes.front() {
            if !reserve_space(&mut space, first_byte) {
                return false;
            }
            request.first_bytes.extend(link.first_bytes.pop_front());
        }
        while let Some(sample) = link.samples.front() {
            if !reserve_space(&mut space, sample) {
                return false;
            }
            request.samples.extend(link.samples.pop_front());
        }
        true
    }
}

/// Reserves the bytes of an item. Returns whether there is space for it.
fn reserve_space<T: serde::Serialize>(space: &mut usize, item: &T) -> bool {
    // The first byte of an encoded message is not part of an item.
    let length = encode(item).len() - 1;
    let fits = length <= *space;
    if fits {
        *space -= length;
    }
    fits
}
