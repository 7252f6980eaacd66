//! Membership, configuration versions and freshness of a node.
//!
//! [`Membership`] decides, without any I/O, which catalogue version a node follows and whether it
//! may take new work. The table is the only source of truth. While it is down, a majority of the
//! region's node slots confirms that no node holds a newer version. Peers are queried by
//! [`Probe`]s; a [`ProbeResponse`] is never older than the time since its probe was sent, so ages
//! need no common clock.

mod acceptance;
mod adoption;
mod apply;
mod apply_outcome;
mod attestations;
mod attested_age;
mod beacon;
mod confirmations;
mod document;
mod fact;
mod fact_batch;
mod freshness;
mod identity;
mod membership;
mod membership_action;
mod membership_counters;
mod membership_error;
mod membership_event;
mod membership_status;
mod node_slot;
mod peer;
mod peer_message;
mod settings;
mod shared_facts;
mod slot_table;
mod store_reader;

pub use acceptance::{Acceptance, AcceptanceStage, majority};
pub use adoption::Adoption;
pub use apply_outcome::ApplyOutcome;
pub use attestations::{AttestationBatch, DirectoryDigest};
pub use attested_age::AttestedAge;
pub use beacon::{
    Ack, AckRequest, Beacon, BeaconBody, PROTOCOL, Probe, ProbeResponse, ProbeResponseHead,
    Standing,
};
pub use confirmations::{Confirmation, Confirmations, is_recent};
pub use document::{CatalogueHead, ContentHash, Document, HEAD_KEY};
pub use fact::{AgedFact, Fact, FactKey};
pub use fact_batch::{FactBatch, ShortAge, WireFact};
pub use freshness::{Confirmer, Freshness, StaleReason};
pub use identity::Identity;
pub use membership::Membership;
pub use membership_action::{MembershipAction, TableRead};
pub use membership_counters::MembershipCounters;
pub use membership_error::MembershipError;
pub use membership_event::{MembershipEvent, OperationId, PeerRequestId, ReadId};
pub use membership_status::{MembershipStatus, StoreState};
pub use node_slot::{NodeSlot, SLOT_PREFIX, SlotRow};
pub use peer::Peer;
pub use peer_message::{PeerRequest, PeerResponse};
pub use settings::MembershipSettings;
pub use shared_facts::SharedFacts;
