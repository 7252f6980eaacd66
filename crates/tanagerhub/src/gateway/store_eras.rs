//! The era of the store, as this node has observed it on any path.
//!
//! A store that returns from an older copy begins a new era. Until its writers have written again
//! what it lost, its rows may be older than what this node knows: they confirm nothing, and what
//! binds a node stays in force.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::Event;
use futures_lite::future;
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_table::StoreEra;

use crate::gateway::GatewayMetrics;

/// The time after the start of an era within which operators and VMs write again what the store
/// lost.
const RESTORE_TIME: Duration = Duration::from_millis(2_500);

/// The era of the store. All parts of a node that call the store share it.
#[derive(Debug)]
pub(crate) struct StoreEras {
    clock: Clock,
    metrics: GatewayMetrics,
    known: Mutex<Known>,
    changed: Event,
}

#[derive(Debug, Default, Clone, Copy)]
struct Known {
    era: Option<StoreEra>,
    /// How often the store has returned from a copy.
    returns: u64,
    /// The moment from which on the rows are complete; `None` if they always were.
    restored_at: Option<Moment>,
}

impl StoreEras {
    pub(crate) fn new(clock: Clock, metrics: GatewayMetrics) -> Arc<Self> {
        Arc::new(Self {
            clock,
            metrics,
            known: Mutex::default(),
            changed: Event::new(),
        })
    }

    /// Records the era that a response of the store names. Returns whether the response is of the
    /// newest known era; an older one, and one without an era after others with it, says nothing
    /// about the store's rows.
    pub(crate) fn observe(&self, era: Option<StoreEra>) -> bool {
        let mut known = self.lock();
        let newer = era.filter(|_| era > known.era);
        let Some(newer) = newer else {
            return era == known.era;
        };
        let before = known.era.replace(newer);
        self.begin_era(&mut known, before.is_some());
        log::info!(
            era = newer.0, before = before.map(|era| era.0),
            restore_ms = RESTORE_TIME.as_millis();
            "the store names a new era; its rows confirm nothing until they are written again"
        );
        true
    }

    /// Records that a store that names no eras has returned from an older copy.
    pub(crate) fn record_return(&self) {
        let mut known = self.lock();
        let now = self.clock.now();
        if known.restored_at.is_some_and(|restored| now < restored) {
            return;
        }
        self.begin_era(&mut known, true);
        log::warn!(
            restore_ms = RESTORE_TIME.as_millis();
            "the store's version fell without a new era; its rows confirm nothing until they are written again"
        );
    }

    fn begin_era(&self, known: &mut Known, has_returned: bool) {
        known.restored_at = Some(self.clock.now() + RESTORE_TIME);
        if has_returned {
            known.returns += 1;
            self.metrics.store_returned();
        }
        self.changed.notify(usize::MAX);
    }

    /// Returns the newest era that the store named.
    pub(crate) fn current(&self) -> Option<StoreEra> {
        self.lock().era
    }

    /// Returns how often the store has returned from a copy.
    pub(crate) fn returns(&self) -> u64 {
        self.lock().returns
    }

    /// Returns the moment from which on the rows of the current era are complete; `None` if they
    /// always were.
    pub(crate) fn restored_at(&self) -> Option<Moment> {
        self.lock().restored_at
    }

    /// Returns whether rows that were current at `at` are complete.
    pub(crate) fn is_restored(&self, at: Moment) -> bool {
        self.restored_at().is_none_or(|restored| at >= restored)
    }

    /// Completes once the newest era is another than `known`, or rows from before `restored` are
    /// complete.
    pub(crate) async fn wait_for_renewal(&self, known: Option<StoreEra>, restored: Option<Moment>) {
        let restored = async {
            match restored {
                Some(at) => self.clock.sleep(at.since(self.clock.now())).await,
                None => future::pending().await,
            }
        };
        let renewed = async {
            loop {
                let changed = self.changed.listen();
                if self.current() != known {
                    return;
                }
                changed.await;
            }
        };
        future::or(restored, renewed).await;
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
