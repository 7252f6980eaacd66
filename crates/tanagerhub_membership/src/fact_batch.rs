//! Shared facts as they travel.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{Epoch, GroupId, Health};

use crate::{AgedFact, Fact};

/// An age of up to four seconds in one byte, rounded up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Short(u8);

/// The unit of a [`Short`] age.
const SHORT_MILLIS: u64 = 16;

impl Short {
    /// The age that stands for "too old" and "unknown".
    pub const UNKNOWN: Self = Self(u8::MAX);

    /// Rounds an age up.
    #[must_use]
    pub fn of(age: Duration) -> Self {
        let units = age
            .as_nanos()
            .div_ceil(u128::from(SHORT_MILLIS) * 1_000_000);
        Self(u8::try_from(units).unwrap_or(u8::MAX))
    }

    /// The age, unless it is unknown.
    #[must_use]
    pub fn span(self) -> Option<Duration> {
        let millis = u64::from(self.0) * SHORT_MILLIS;
        (self != Self::UNKNOWN).then(|| Duration::from_millis(millis))
    }
}

/// The age and health of an attestation in one byte, the age rounded up.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_catalogue::Health;
/// use tanagerhub_membership::Attestation;
///
/// let sent = Attestation::of(Duration::from_millis(90), Health::Cold);
/// assert_eq!(sent.open(), Some((Duration::from_millis(120), Health::Cold)));
/// assert_eq!(Attestation::of(Duration::from_secs(9), Health::Warm).open(), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attestation(u8);

/// The unit of an attestation's age.
const ATTESTED_MILLIS: u64 = 40;
/// The age, in units, that stands for "too old".
const ATTESTED_TOO_OLD: u8 = 63;

impl Attestation {
    /// Packs an age, rounded up, and a health.
    #[must_use]
    pub fn of(age: Duration, health: Health) -> Self {
        let unit = u128::from(ATTESTED_MILLIS) * 1_000_000;
        let units = u8::try_from(age.as_nanos().div_ceil(unit)).unwrap_or(u8::MAX);
        let health = match health {
            Health::Warm => 0,
            Health::Cold => 1,
            Health::Leaving => 2,
        };
        Self(units.min(ATTESTED_TOO_OLD) << 2 | health)
    }

    /// The age and health, unless the attestation is too old or malformed.
    #[must_use]
    pub fn open(self) -> Option<(Duration, Health)> {
        let units = self.0 >> 2;
        let health = match self.0 & 3 {
            0 => Health::Warm,
            1 => Health::Cold,
            2 => Health::Leaving,
            _ => return None,
        };
        let age = Duration::from_millis(u64::from(units) * ATTESTED_MILLIS);
        (units < ATTESTED_TOO_OLD).then_some((age, health))
    }
}

/// Attestations in a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttestedPart {
    /// Ages only, in the order of a directory that both ends have.
    Ages {
        /// The hash of the directory.
        directory: u64,
        /// One for each group.
        ages: Vec<Attestation>,
    },
    /// A part of the groups in full.
    Listed(Vec<(GroupId, Epoch, Attestation)>),
}

impl Default for AttestedPart {
    fn default() -> Self {
        Self::Listed(Vec::new())
    }
}

/// A fact other than an attestation, with its age in units that suit its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFact {
    fact: Fact,
    age: u8,
}

/// Units of age in the life of a fact.
const LIFE_UNITS: u32 = 250;

impl WireFact {
    /// Rounds the age up.
    #[must_use]
    pub fn new(fact: Fact, age: Duration) -> Self {
        let unit = fact.life() / LIFE_UNITS;
        let units = age.as_nanos().div_ceil(unit.as_nanos());
        Self {
            fact,
            age: u8::try_from(units).unwrap_or(u8::MAX),
        }
    }

    /// The fact and its age.
    #[must_use]
    pub fn aged(&self) -> AgedFact {
        AgedFact {
            fact: self.fact,
            age: self.fact.life() / LIFE_UNITS * u32::from(self.age),
        }
    }
}

/// What one answer to a probe tells of the shared facts.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FactBatch {
    /// Attestations.
    pub attested: AttestedPart,
    /// Some of the other facts, a different part each time.
    pub other: Vec<WireFact>,
}
