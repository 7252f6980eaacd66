//! Identifiers of VMs, entries, groups and other objects.
//!
//! A named object is identified by the 64-bit hash of its name, which every process computes in the
//! same way. Nodes, rows and messages therefore use the same small `Copy` ids without exchanging a
//! directory. A catalogue with names whose hashes collide is refused.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use serde_with::{DeserializeAs, SerializeAs, serde_as};
use xxhash_rust::xxh3::xxh3_64;

/// Serialises a 64-bit id as 16 hex digits in text formats and as a number in binary ones.
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
            /// Returns the id of the object with this name.
            #[must_use]
            pub fn of(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }
    };
}

named_id!(
    /// Id of a VM, from the platform's name of the VM.
    VmId
);
named_id!(
    /// Id of a catalogue entry, from its name.
    EntryId
);
named_id!(
    /// Id of a data centre, from its name.
    DataCentreId
);
named_id!(
    /// Id of a fabric domain, from the platform's name of the domain.
    DomainId
);
named_id!(
    /// Id of an organisation, from its name.
    OrganisationId
);
named_id!(
    /// Id of a node slot, from the address to which peers send messages.
    NodeId
);
id!(
    /// Id of a replica group; chosen at random when the group is formed.
    GroupId
);
id!(
    /// Id of one start of a process; chosen at random, so that other processes detect a restart.
    BootId
);
id!(
    /// Id of one request of a caller.
    RequestId
);

/// The fencing token of a group; on each VM it only increases.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the next higher epoch.
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

/// A member's position in its group; the head, with rank 0, receives the requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rank(pub u16);
