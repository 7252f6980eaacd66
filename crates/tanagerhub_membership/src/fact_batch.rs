//! Shared facts as they travel.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AgedFact, AttestationBatch, Fact};

/// An age of up to four seconds in one byte, rounded up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShortAge(u8);

/// The unit of a [`ShortAge`] age.
const SHORT_MILLIS: u64 = 16;

impl ShortAge {
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
    pub fn to_duration(self) -> Option<Duration> {
        let millis = u64::from(self.0) * SHORT_MILLIS;
        (self != Self::UNKNOWN).then(|| Duration::from_millis(millis))
    }
}

/// A fact other than an attestation, with its age in units that suit its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFact {
    fact: Fact,
    age: u8,
}

/// Units of age in the life of a fact.
const TTL_UNITS: u32 = 250;

impl WireFact {
    /// Rounds the age up.
    #[must_use]
    pub fn new(fact: Fact, age: Duration) -> Self {
        let unit = fact.ttl() / TTL_UNITS;
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
            age: self.fact.ttl() / TTL_UNITS * u32::from(self.age),
        }
    }
}

/// What one answer to a probe tells of the shared facts.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FactBatch {
    /// Attestations.
    pub attested: AttestationBatch,
    /// Some of the other facts, a different part each time.
    pub other: Vec<WireFact>,
}
