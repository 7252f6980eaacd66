//! The wire encoding of shared facts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AgedFact, AttestationBatch, Fact};

/// An age of up to four seconds in one byte, rounded up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShortAge(u8);

/// The unit of a [`ShortAge`], in milliseconds.
const SHORT_MILLIS: u64 = 16;

impl ShortAge {
    /// Stands for an age that is too old or unknown.
    pub const UNKNOWN: Self = Self(u8::MAX);

    /// Encodes `age`, rounded up.
    #[must_use]
    pub fn of(age: Duration) -> Self {
        let units = age
            .as_nanos()
            .div_ceil(u128::from(SHORT_MILLIS) * 1_000_000);
        Self(u8::try_from(units).unwrap_or(u8::MAX))
    }

    /// Returns the age, or `None` if it is too old or unknown.
    #[must_use]
    pub fn to_duration(self) -> Option<Duration> {
        let millis = u64::from(self.0) * SHORT_MILLIS;
        (self != Self::UNKNOWN).then(|| Duration::from_millis(millis))
    }
}

/// A fact other than an attestation, with its age in fractions of its TTL.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFact {
    fact: Fact,
    age: u8,
}

/// Number of age units in the TTL of a fact.
const TTL_UNITS: u32 = 250;

impl WireFact {
    /// Encodes a fact and its age, rounded up.
    #[must_use]
    pub fn new(fact: Fact, age: Duration) -> Self {
        let unit = fact.ttl() / TTL_UNITS;
        let units = age.as_nanos().div_ceil(unit.as_nanos());
        Self {
            fact,
            age: u8::try_from(units).unwrap_or(u8::MAX),
        }
    }

    /// Returns the fact and its age.
    #[must_use]
    pub fn aged(&self) -> AgedFact {
        AgedFact {
            fact: self.fact,
            age: self.fact.ttl() / TTL_UNITS * u32::from(self.age),
        }
    }
}

/// The shared facts in one response to a probe.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FactBatch {
    /// Attestations of complete groups.
    pub attested: AttestationBatch,
    /// Some of the other facts; consecutive batches contain different ones.
    pub other: Vec<WireFact>,
}
