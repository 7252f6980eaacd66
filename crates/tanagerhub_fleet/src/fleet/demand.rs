//! Replica demand: how many replicas each entry holds and how many it may hold.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use tanagerhub_catalogue::{Class, DataCentreId, Entry, EntryId};

use super::Fleet;
use super::job::JobKind;

impl Fleet {
    /// Returns the replica demand of all models, in the catalogue's order.
    pub(super) fn demands(&self) -> Vec<ReplicaDemand> {
        let mut demands: Vec<ReplicaDemand> = self
            .catalogue
            .entries
            .iter()
            .filter_map(ReplicaDemand::of)
            .collect();
        let index: BTreeMap<EntryId, usize> = demands
            .iter()
            .enumerate()
            .map(|(position, demand)| (demand.entry, position))
            .collect();
        let held = self
            .groups
            .values()
            .filter(|group| group.has_row() && group.is_held())
            .map(|group| (group.row.entry, group.row.data_centre));
        let forming = self.jobs.kinds().filter_map(|kind| match kind {
            JobKind::Form {
                entry,
                placement,
                standby: false,
            } => Some((*entry, placement.data_centre)),
            JobKind::Promote { group } => {
                let group = self.groups.get(group)?;
                Some((group.row.entry, group.row.data_centre))
            }
            _ => None,
        });
        for (entry, data_centre) in held.chain(forming) {
            if let Some(position) = index.get(&entry) {
                demands[*position].add(data_centre);
            }
        }
        demands
    }
}

/// The number of replicas that an entry holds, with the entry's limits.
#[derive(Debug, Clone)]
pub(super) struct ReplicaDemand {
    pub(super) entry: EntryId,
    class: Class,
    pub(super) span: usize,
    min: u32,
    pub(super) max: u32,
    pub(super) held: u32,
    /// The number of replicas held in each data centre.
    pub(super) replicas_by_data_centre: BTreeMap<DataCentreId, u32>,
}

impl ReplicaDemand {
    fn of(entry: &Entry) -> Option<Self> {
        Some(Self {
            entry: entry.id(),
            class: entry.class,
            span: usize::from(entry.model()?.span),
            min: entry.limits.replicas_min,
            max: entry.limits.replicas_max,
            held: 0,
            replicas_by_data_centre: BTreeMap::new(),
        })
    }

    pub(super) fn add(&mut self, centre: DataCentreId) {
        self.held += 1;
        *self.replicas_by_data_centre.entry(centre).or_default() += 1;
    }

    /// Returns the sort key of formations: entries below their minimum first, then by class, then
    /// the smallest fraction held, then the larger span.
    pub(super) fn urgency(&self) -> (bool, Class, u64, Reverse<usize>, EntryId) {
        let enough = self.held >= self.min;
        let wanted = if enough { self.max } else { self.min };
        let part = u64::from(self.held) * 1_000_000 / u64::from(wanted.max(1));
        (enough, self.class, part, Reverse(self.span), self.entry)
    }
}
