//! The node's own shares of start limits, and their loans.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{EntryId, VmId};
use tanagerhub_clock::Moment;

use super::link::Received;
use crate::message::{Heard, LentShare, Released, ShareRest};
use crate::shard::Shard;
use crate::timing::{LOAN, START_WINDOW};

/// This node's share of the start limit of a coordinated backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedServer {
    /// The VM of the backend server.
    pub server: VmId,
    /// The catalogue entry that it serves.
    pub entry: EntryId,
    /// The shard whose coordinator grants its starts.
    pub shard: Shard,
    /// Starts in any second.
    pub starts: u32,
}

/// The shares by server.
#[derive(Debug, Default)]
pub(super) struct OwnShares {
    shares: BTreeMap<VmId, OwnShare>,
    /// The node uses no share itself before this moment.
    rest_until: Moment,
}

#[derive(Debug)]
struct OwnShare {
    shard: Shard,
    starts: u32,
    loan: Option<Loan>,
    /// When the node may use the share itself.
    usable_at: Moment,
    /// What the coordinator that has released the share hands over to the next one.
    handed_over: Option<HandedOver>,
}

/// Starts that a coordinator has released.
#[derive(Debug, Clone, Copy)]
struct HandedOver {
    starts: u32,
    /// When the next coordinator may grant on them.
    free_at: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Loan {
    /// The shard whose coordinator has the share. A process may coordinate several shards, so its
    /// boot id alone does not tell them apart.
    shard: Shard,
    heard: Heard,
    starts: u32,
    /// The number of the first request that named the share.
    first_number: u64,
    /// What a former coordinator has handed over to this one.
    handed_over: Option<HandedOver>,
    /// When the loan has ended for sure.
    until: Moment,
}

impl Loan {
    /// Whether the coordinator of this shard in the process with this boot id has the share.
    fn is_to(&self, shard: Shard, boot: u64) -> bool {
        self.shard == shard && self.heard.boot == boot
    }
}

impl OwnShare {
    /// Lends the share until `until`. Returns when its starts may be granted, if a former
    /// coordinator has handed them over.
    fn lend(
        &mut self,
        now: Moment,
        shard: Shard,
        heard: Heard,
        number: u64,
        until: Moment,
    ) -> Option<Moment> {
        let renewed = self
            .loan
            .filter(|loan| loan.is_to(shard, heard.boot) && loan.until > now);
        let first_number = renewed.map_or(number, |loan| loan.first_number);
        let free_at = self.take_free_at(now, renewed);
        self.loan = Some(Loan {
            shard,
            heard,
            starts: self.starts,
            first_number,
            handed_over: free_at.map(|free_at| HandedOver {
                starts: self.starts,
                free_at,
            }),
            until,
        });
        self.usable_at = self.usable_at.max(until + START_WINDOW);
        free_at
    }

    /// Returns when the coordinator of a loan that is `renewed`, or of a new one, may grant on the
    /// share, if a former one has handed it over and nobody may have used it since. Starts that
    /// were not handed over rest for a whole start window.
    fn take_free_at(&mut self, now: Moment, renewed: Option<Loan>) -> Option<Moment> {
        let handed_over = self.handed_over.take();
        let handed_over = match renewed {
            Some(loan) => loan.handed_over,
            None => handed_over.filter(|_| self.loan.is_none() && self.usable_at > now),
        };
        let handed_over = handed_over.filter(|it| it.starts >= self.starts)?;
        Some(handed_over.free_at)
    }
}

impl OwnShares {
    /// Replaces the shares. A share that is no longer listed is kept until its loan is over, in
    /// case it is listed again.
    pub(super) fn set(&mut self, now: Moment, servers: &[SharedServer]) {
        for share in self.shares.values_mut() {
            share.starts = 0;
        }
        for server in servers {
            let share = self.shares.entry(server.server).or_insert(OwnShare {
                shard: server.shard,
                starts: 0,
                loan: None,
                usable_at: Moment::ZERO,
                handed_over: None,
            });
            share.shard = server.shard;
            share.starts = server.starts;
        }
        let listed = |id: &VmId| servers.iter().any(|server| server.server == *id);
        self.shares
            .retain(|id, share| share.usable_at > now || listed(id));
    }

    /// Lets all shares rest until a moment.
    pub(super) const fn rest(&mut self, until: Moment) {
        self.rest_until = until;
    }

    pub(super) fn may_start(&self, now: Moment, server: VmId) -> bool {
        let is_usable = |share: &OwnShare| share.usable_at <= now && self.rest_until <= now;
        self.shares.get(&server).is_none_or(is_usable)
    }

    /// Lends at most `max_count` shares of a shard to the process that sent a reply, with the
    /// request of that number. Returns them, with the rests of those that were handed over.
    pub(super) fn lend(
        &mut self,
        now: Moment,
        shard: Shard,
        reply: Received,
        number: u64,
        max_count: usize,
    ) -> (Vec<LentShare>, Vec<ShareRest>) {
        let until = reply.at + LOAN;
        let (mut lent, mut rests) = (Vec::new(), Vec::new());
        if until <= now {
            return (lent, rests);
        }
        for (server, share) in &mut self.shares {
            let elsewhere = share
                .loan
                .is_some_and(|loan| !loan.is_to(shard, reply.heard.boot) && loan.until > now);
            if share.shard != shard || share.starts == 0 || elsewhere || lent.len() >= max_count {
                continue;
            }
            if let Some(free_at) = share.lend(now, shard, reply.heard, number, until) {
                rests.push(ShareRest::until(now, *server, free_at));
            }
            lent.push(LentShare {
                server: *server,
                starts: share.starts,
            });
        }
        (lent, rests)
    }

    /// Ends the loans of a shard to a process, unless they were renewed by a reply newer than its
    /// release.
    pub(super) fn release(&mut self, now: Moment, shard: Shard, sent: Heard, released: &Released) {
        for (server, share) in &mut self.shares {
            let Some(loan) = share.loan else {
                continue;
            };
            if !loan.is_to(shard, sent.boot) || loan.heard.sent_at > sent.sent_at {
                continue;
            }
            // A release that repeats an earlier one says nothing about a loan that was made since.
            let is_counted = released.counted >= loan.first_number;
            let mut rests = released.rests.iter();
            let handed_over = rests.find(|it| is_counted && it.server == *server);
            share.loan = None;
            share.usable_at = now + START_WINDOW;
            share.handed_over = handed_over.map(|it| HandedOver {
                starts: loan.starts,
                free_at: now + it.rest(),
            });
        }
    }

    /// Returns the number of shares that are listed, and of those that are lent.
    pub(super) fn counts(&self, now: Moment, shard: Shard) -> (usize, usize) {
        let listed = || {
            let shares = self.shares.values();
            shares.filter(|share| share.shard == shard && share.starts > 0)
        };
        let lent = |share: &&OwnShare| share.loan.is_some_and(|loan| loan.until > now);
        (listed().count(), listed().filter(lent).count())
    }
}
