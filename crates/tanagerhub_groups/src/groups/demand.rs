//! What is known of the demand of each model.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_catalogue::{DataCentreId, EntryId};
use tanagerhub_clock::Moment;

use crate::Demand;

/// Age from which on demand is no longer used.
const MAX_AGE: Duration = Duration::from_secs(3);
/// The time in which the weight of a measurement of the requests in use falls to 1/e.
const DECAY: Duration = Duration::from_secs(3);
/// The number of asks in 3 s below which nothing follows from the share of missed ones.
const MIN_ASKS: u32 = 20;
/// The share of missed asks from which on a model is short.
pub(super) const SHORTAGE: f64 = 0.15;
/// The share of missed asks below which a model is no longer short, so that a share near
/// [`SHORTAGE`] does not change the model of each further load.
const SHORTAGE_END: f64 = 0.05;

/// The demand of each entry, as last reported.
#[derive(Debug, Default)]
pub(super) struct DemandView {
    received_at: Option<Moment>,
    centres: Option<Vec<DataCentreId>>,
    entries: BTreeMap<EntryId, EntryView>,
}

#[derive(Debug, Clone, Copy, Default)]
struct EntryView {
    asks: u32,
    missed: u32,
    /// Smoothed number of requests in use.
    running: f64,
    /// Smoothed limit of the groups, in requests.
    limit: f64,
    is_short: bool,
}

impl DemandView {
    /// Applies a report. Returns the entries that began or ceased to be short, with whether they
    /// are.
    pub(super) fn apply(&mut self, now: Moment, demand: Demand) -> Vec<(EntryId, bool)> {
        let age = self.received_at.map(|at| now.since(at));
        let former = std::mem::take(&mut self.entries);
        let mut changed = Vec::new();
        for reported in &demand.entries {
            let known = former.get(&reported.entry).copied();
            let (running, limit) = (f64::from(reported.running), f64::from(reported.limit));
            let mut view = match (known, age) {
                (Some(known), Some(age)) => known.smoothed(age, running, limit),
                _ => EntryView {
                    running,
                    limit,
                    ..EntryView::default()
                },
            };
            view.asks = reported.asks;
            view.missed = reported.missed;
            let share = view.missed_share();
            view.is_short = share >= SHORTAGE || view.is_short && share >= SHORTAGE_END;
            if view.is_short != known.is_some_and(|known| known.is_short) {
                changed.push((reported.entry, view.is_short));
            }
            self.entries.insert(reported.entry, view);
        }
        self.received_at = Some(now);
        self.centres = demand.centres;
        changed
    }

    /// Returns whether the demand of an entry was ever reported and is not left out since.
    pub(super) fn is_known(&self, entry: EntryId) -> bool {
        self.entries.contains_key(&entry)
    }

    /// Returns whether the last report may be used.
    pub(super) fn is_current(&self, now: Moment) -> bool {
        self.received_at.is_some_and(|at| now.since(at) <= MAX_AGE)
    }

    /// Returns whether the report covers the groups of a data centre.
    pub(super) fn covers(&self, centre: DataCentreId) -> bool {
        let centres = self.centres.as_ref();
        centres.is_none_or(|centres| centres.contains(&centre))
    }

    /// Returns whether a model is short; it remains so until few asks are missed.
    pub(super) fn is_short(&self, entry: EntryId) -> bool {
        self.entries.get(&entry).is_some_and(|view| view.is_short)
    }

    /// Returns the share of the last asks that were overdue or refused.
    pub(super) fn missed_share(&self, entry: EntryId) -> f64 {
        self.entries
            .get(&entry)
            .map_or(0.0, EntryView::missed_share)
    }

    /// Returns the requests in use per request of the limit; `None` without a limit.
    pub(super) fn usage(&self, entry: EntryId) -> Option<f64> {
        let view = self.entries.get(&entry)?;
        (view.limit > 0.0).then(|| view.running / view.limit)
    }

    /// Returns the asks of the last 3 s.
    pub(super) fn asks(&self, entry: EntryId) -> u32 {
        self.entries.get(&entry).map_or(0, |view| view.asks)
    }
}

impl EntryView {
    fn smoothed(self, age: Duration, running: f64, limit: f64) -> Self {
        let weight = (-age.as_secs_f64() / DECAY.as_secs_f64()).exp();
        Self {
            running: self.running.mul_add(weight, running * (1.0 - weight)),
            limit: self.limit.mul_add(weight, limit * (1.0 - weight)),
            ..self
        }
    }

    fn missed_share(&self) -> f64 {
        if self.asks < MIN_ASKS {
            return 0.0;
        }
        f64::from(self.missed) / f64::from(self.asks)
    }
}
