//! Determines how old the data in a store's response is.

use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::StoreTime;

/// Maps the store's clock to the process's clock, to determine the age of long-poll responses.
///
/// The data in a response was current at some moment between the sending of its call and the
/// arrival of the response. The store's clock narrows this down: a call with a short round trip
/// gives a precise reference point between the two clocks, from which the moment of a later, slow
/// response is computed. Every returned moment is a lower bound if the store's clock is steady.
///
/// A step of that clock backward, or forward by more than the response's delay, is detected. A
/// shorter step forward can't be told from a shorter delay; moments are then too late by the step
/// until a response arrives within that time.
///
/// # Examples
///
/// ```
/// use tanagerhub_clock::Moment;
/// use tanagerhub_table::{StoreClock, StoreTime};
///
/// let ms = Moment::from_millis;
/// let mut clock = StoreClock::default();
/// // A call with a short round trip: store time 500 was at local time 100 at the earliest.
/// assert_eq!(clock.as_of(ms(100), ms(104), StoreTime(500)), ms(100));
/// // A long poll sent at 110, with a response of store time 1,500; 1 ms is subtracted for drift.
/// assert_eq!(clock.as_of(ms(110), ms(1_105), StoreTime(1_500)), ms(1_099));
/// ```
#[derive(Debug, Clone, Default)]
pub struct StoreClock {
    reference: Option<ReferencePoint>,
}

/// The earliest local moment at which the store's clock can have shown a given time.
#[derive(Debug, Clone, Copy)]
struct ReferencePoint {
    local: Moment,
    store: StoreTime,
}

/// Maximum drift between the two clocks, as a divisor of the time since the reference point: 1/1000
/// of that time.
const MAX_DRIFT_DIVISOR: u32 = 1_000;

impl StoreClock {
    /// Returns the earliest local moment at which the data in a response can have been current.
    ///
    /// `sent` is when the call was sent, `received` when its response arrived, and `at` the store's
    /// time in the response. The result becomes the reference point for later responses.
    pub fn as_of(&mut self, sent: Moment, received: Moment, at: StoreTime) -> Moment {
        let estimate = self.reference.and_then(|reference| reference.local_at(at));
        // A moment after the arrival shows that the store's clock was set or restarted.
        let estimate = estimate.filter(|moment| *moment <= received);
        let moment = estimate.map_or(sent, |moment| moment.max(sent));
        self.reference = Some(ReferencePoint {
            local: moment,
            store: at,
        });
        moment
    }

    /// Returns the earliest local moment at which a response that another process relayed can have
    /// been current.
    ///
    /// `None` if there is no reference point yet, if the response is older than it, or if the
    /// store's clock was set or restarted since then.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_clock::Moment;
    /// use tanagerhub_table::{StoreClock, StoreTime};
    ///
    /// let ms = Moment::from_millis;
    /// let mut clock = StoreClock::default();
    /// assert_eq!(clock.as_of_relayed(ms(900), StoreTime(1_500)), None);
    /// clock.as_of(ms(100), ms(104), StoreTime(500));
    /// // The result depends on store time 1,500 only, however late the response arrives.
    /// assert_eq!(clock.as_of_relayed(ms(9_000), StoreTime(1_500)), Some(ms(1_099)));
    /// ```
    #[must_use]
    pub fn as_of_relayed(&self, received: Moment, at: StoreTime) -> Option<Moment> {
        let moment = self.reference?.local_at(at)?;
        (moment <= received).then_some(moment)
    }
}

impl ReferencePoint {
    fn local_at(self, at: StoreTime) -> Option<Moment> {
        let elapsed = Duration::from_millis(at.0.checked_sub(self.store.0)?);
        Some(self.local + elapsed.saturating_sub(elapsed / MAX_DRIFT_DIVISOR))
    }
}
