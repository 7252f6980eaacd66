//! The wire encoding of the age and health of an attestation.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::Health;

/// The unit of an encoded age, in milliseconds.
const UNIT_MILLIS: u64 = 40;
/// The encoded age, in units, that stands for "too old".
const TOO_OLD: u8 = 63;
/// Number of low bits of the byte that hold the health.
const HEALTH_BITS: u32 = 2;

/// The age and health of an attestation in one byte; the age is rounded up.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_catalogue::Health;
/// use tanagerhub_membership::AttestedAge;
///
/// let sent = AttestedAge::new(Duration::from_millis(90), Health::Cold);
/// assert_eq!(sent.unpack(), Some((Duration::from_millis(120), Health::Cold)));
/// assert_eq!(AttestedAge::new(Duration::from_secs(9), Health::Warm).unpack(), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttestedAge(u8);

impl AttestedAge {
    /// Packs `age`, rounded up, and `health`.
    #[must_use]
    pub fn new(age: Duration, health: Health) -> Self {
        let unit = u128::from(UNIT_MILLIS) * 1_000_000;
        let units = u8::try_from(age.as_nanos().div_ceil(unit)).unwrap_or(u8::MAX);
        let health = match health {
            Health::Warm => 0,
            Health::Cold => 1,
            Health::Leaving => 2,
        };
        Self(units.min(TOO_OLD) << HEALTH_BITS | health)
    }

    /// Returns the age and health, or `None` if the attestation is too old or malformed.
    #[must_use]
    pub fn unpack(self) -> Option<(Duration, Health)> {
        let units = self.0 >> HEALTH_BITS;
        let health = match self.0 & 3 {
            0 => Health::Warm,
            1 => Health::Cold,
            2 => Health::Leaving,
            _ => return None,
        };
        let age = Duration::from_millis(u64::from(units) * UNIT_MILLIS);
        (units < TOO_OLD).then_some((age, health))
    }
}
