//! Identifiers that every process computes alike.
//!
//! Things with a name are known by the 64-bit hash of it, so that nodes, rows and messages agree
//! on small `Copy` ids without exchanging a directory. A catalogue with colliding names is refused.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use serde_with::{DeserializeAs, SerializeAs, serde_as};
use xxhash_rust::xxh3::xxh3_64;

/// Writes a 64-bit id as 16 hex digits in text formats and as a number in binary ones.
#[derive(Debug)]
pub struct IdHex;

impl SerializeAs<u64> for IdHex {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(&format_args!("{source:016x}"))
        } else {
            serializer.serialize_u64(*source)
        }
    }
}

impl<'de> DeserializeAs<'de, u64> for IdHex {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        if !deserializer.is_human_readable() {
            return u64::deserialize(deserializer);
        }
        let text = String::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16).map_err(|error| {
            de::Error::custom(format!("id \"{text}\" is not hexadecimal: {error}"))
        })
    }
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[serde_as]
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(#[serde_as(as = "IdHex")] pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

macro_rules! named_id {
    ($(#[$doc:meta])* $name:ident) => {
        id!($(#[$doc])* $name);

        impl $name {
            /// The id of the thing with this name.
            #[must_use]
            pub fn of(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }
    };
}

named_id!(
    /// A VM of the platform, by its name there.
    VmId
);
named_id!(
    /// A catalogue entry, by its name.
    EntryId
);
named_id!(
    /// A data centre, by its name.
    DataCentreId
);
named_id!(
    /// A fabric domain, by its name at the platform.
    DomainId
);
named_id!(
    /// An organisation, by its name.
    OrganisationId
);
named_id!(
    /// A node slot, by the address that peers send to.
    NodeId
);
id!(
    /// A replica group; drawn at random when it is formed.
    GroupId
);
id!(
    /// One start of a process; drawn at random, so that a restart is noticed.
    BootId
);
id!(
    /// One request of a caller.
    RequestId
);

/// The fencing number of a group: each VM sees it only rise.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The next higher epoch.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A member's place in its group; rank 0 takes the requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rank(pub u16);
