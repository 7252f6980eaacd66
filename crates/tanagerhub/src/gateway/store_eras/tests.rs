use std::sync::Arc;
use std::time::Duration;

use tanagerhub_clock::{Clock, ManualClock};
use tanagerhub_table::StoreEra;
use yare::parameterized;

use super::{RESTORE_TIME, StoreEras};
use crate::gateway::GatewayMetrics;

fn eras() -> (Arc<StoreEras>, Clock, Arc<ManualClock>) {
    let (clock, manual) = Clock::manual();
    manual.advance(Duration::from_secs(1));
    let eras = StoreEras::new(clock.clone(), GatewayMetrics::default());
    (eras, clock, manual)
}

/// Guards against a late response of an era that has ended, and against one without an era, which
/// may be of any.
#[parameterized(
    unnamed = { &[], None, true },
    first = { &[], Some(1), true },
    same = { &[1], Some(1), true },
    newer = { &[1], Some(2), true },
    earlier = { &[1, 2], Some(1), false },
    unnamed_after_named = { &[1], None, false },
)]
fn observe_response(before: &[u64], era: Option<u64>, expected: bool) {
    let (eras, ..) = eras();
    for era in before {
        eras.observe(Some(StoreEra(*era)));
    }
    assert_eq!(eras.observe(era.map(StoreEra)), expected);
}

#[test]
fn restored_after_delay() {
    let (eras, clock, manual) = eras();
    assert!(eras.is_restored(clock.now()));
    eras.observe(Some(StoreEra(4)));
    assert_eq!(eras.returns(), 0);
    assert!(!eras.is_restored(clock.now()));
    manual.advance(RESTORE_TIME);
    assert!(eras.is_restored(clock.now()));
    eras.observe(Some(StoreEra(5)));
    assert_eq!(eras.returns(), 1);
    assert!(!eras.is_restored(clock.now()));
}

/// All feeds notice the return of a store that names no eras, one after the other.
#[test]
fn return_without_era_counted_once() {
    let (eras, clock, manual) = eras();
    eras.record_return();
    eras.record_return();
    assert_eq!(eras.returns(), 1);
    assert!(!eras.is_restored(clock.now()));
    manual.advance(RESTORE_TIME);
    assert!(eras.is_restored(clock.now()));
}
