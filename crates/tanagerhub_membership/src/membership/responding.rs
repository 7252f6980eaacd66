//! Responses to the probes of peers.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{CatalogueVersion, NodeId};
use tanagerhub_clock::Moment;
use xxhash_rust::xxh3::xxh3_64;

use super::Membership;
use crate::{
    BeaconBody, DirectoryDigest, FactBatch, Probe, ProbeResponse, ProbeResponseHead, ShortAge,
    Standing,
};

impl Membership {
    pub(super) fn respond_to_probe(
        &mut self,
        now: Moment,
        to: SocketAddr,
        prober: NodeId,
        probe: &Probe,
    ) {
        let region = self.settings.region.clone();
        let slots = self.slots.digest(&region);
        let same_region = probe.region == xxh3_64(region.as_bytes());
        let same_slots = same_region && slots == probe.slots;
        if same_region && !same_slots {
            self.request_slots(to, now);
        }
        let response = ProbeResponse {
            nonce: probe.nonce,
            standing: self.standing,
            head: self.response_head(probe.version),
            store_age: self.store_age(now),
            prober: self.slots.identity(prober),
            slots,
            ages: if same_slots {
                self.slot_ages(now)
            } else {
                Vec::new()
            },
            leaving: if same_slots {
                self.leaving_indices(now)
            } else {
                Vec::new()
            },
            load: self.load,
            facts: self.fact_batch(same_region, &probe.digest, now),
        };
        self.counters.answers += 1;
        self.send_beacon(to, BeaconBody::Response(Box::new(response)));
    }

    fn response_head(&self, prober: CatalogueVersion) -> ProbeResponseHead {
        if self.version() > prober {
            ProbeResponseHead::Newer(self.current.head())
        } else {
            ProbeResponseHead::Version(self.version())
        }
    }

    fn fact_batch(
        &mut self,
        same_region: bool,
        digest: &DirectoryDigest,
        now: Moment,
    ) -> FactBatch {
        if same_region {
            self.facts.batch(digest, now)
        } else {
            self.facts.remote_batch(now)
        }
    }

    fn store_age(&self, now: Moment) -> ShortAge {
        let seen = self.confirmations.store_confirmation();
        let seen = seen.filter(|seen| seen.max_version <= self.version());
        seen.map_or(ShortAge::UNKNOWN, |seen| ShortAge::of(now.since(seen.at)))
    }

    /// Returns, for each slot of the region, the time since it was last confirmed to hold no
    /// version newer than this node's.
    fn slot_ages(&self, now: Moment) -> Vec<ShortAge> {
        let slots = self.slots.nodes(&self.settings.region).iter();
        slots.map(|slot| self.slot_age(*slot, now)).collect()
    }

    fn slot_age(&self, node: NodeId, now: Moment) -> ShortAge {
        if node == self.settings.node {
            return if self.standing == Standing::Member {
                ShortAge::of(Duration::ZERO)
            } else {
                ShortAge::UNKNOWN
            };
        }
        let seen = self.confirmations.slot_confirmation(node);
        let seen = seen.filter(|seen| seen.max_version <= self.version());
        seen.map_or(ShortAge::UNKNOWN, |seen| ShortAge::of(now.since(seen.at)))
    }

    fn leaving_indices(&self, now: Moment) -> Vec<u16> {
        let slots = self.slots.nodes(&self.settings.region).iter();
        let leaves = slots.map(|slot| self.is_node_leaving(*slot, now));
        let indices = leaves.enumerate().filter(|(_, leaves)| *leaves);
        indices
            .filter_map(|(index, _)| u16::try_from(index).ok())
            .collect()
    }

    pub(super) fn is_node_leaving(&self, node: NodeId, now: Moment) -> bool {
        if node == self.settings.node {
            return self.leaving;
        }
        let seen = self.leaving_reported_at.get(&node);
        seen.is_some_and(|at| now.since(*at) < self.settings.freshness_limit)
    }
}
