//! How old the knowledge of the store is.

use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::StoreTime;

/// Relates the store's clock to the process's clock, to date answers of long polls.
///
/// An answer was true at some moment between the sending of its call and its arrival. The store's
/// clock narrows this down: what one quick call shows of the two clocks dates a later slow one.
/// Every date that is given is a lower bound.
///
/// # Examples
///
/// ```
/// use tanagerhub_clock::Moment;
/// use tanagerhub_table::{StoreClock, StoreTime};
///
/// let ms = Moment::from_millis;
/// let mut clock = StoreClock::default();
/// // A quick call: the store's 500 was at 100 at the earliest.
/// assert_eq!(clock.as_of(ms(100), ms(104), StoreTime(500)), ms(100));
/// // A long poll that was sent at 110 and answered at the store's 1,500; drift is allowed for.
/// assert_eq!(clock.as_of(ms(110), ms(1_105), StoreTime(1_500)), ms(1_099));
/// ```
#[derive(Debug, Clone, Default)]
pub struct StoreClock {
    reference: Option<ReferencePoint>,
}

/// The local moment at which the store's clock showed a time, at the earliest.
#[derive(Debug, Clone, Copy)]
struct ReferencePoint {
    local: Moment,
    store: StoreTime,
}

/// How far the two clocks may drift apart, as a share of the time since they were related.
const MAX_DRIFT_DIVISOR: u32 = 1_000;

impl StoreClock {
    /// The moment at which an answer was true, at the earliest.
    ///
    /// `sent` is when its call was sent, `received` when the answer arrived, `at` the store's time
    /// in it.
    pub fn as_of(&mut self, sent: Moment, received: Moment, at: StoreTime) -> Moment {
        let estimate = self.reference.and_then(|reference| reference.local_at(at));
        // A date later than the arrival shows that the store's clock was set or started anew.
        let estimate = estimate.filter(|moment| *moment <= received);
        let moment = estimate.map_or(sent, |moment| moment.max(sent));
        self.reference = Some(ReferencePoint {
            local: moment,
            store: at,
        });
        moment
    }

    /// The moment at which an answer that came by way of another process was true, at the earliest.
    ///
    /// `None` where the two clocks have not been related yet, or the store's clock was set since.
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
    /// // However late it arrives, it was true at the store's 1,500.
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
