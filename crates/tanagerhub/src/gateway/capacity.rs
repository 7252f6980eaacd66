//! Carries the messages of shared capacity between nodes, as UDP datagrams.
//!
//! Each node with a peer address runs one [`Carrier`]. It passes requests to this node's
//! coordinators and replies to the traffic decisions. Datagrams may be lost, duplicated or late;
//! the state machines on both sides allow for that, so the carrier repeats nothing.

mod carrier;
mod events;
mod metrics;
mod nodes;
mod pools;
mod split;
mod switch;

pub(crate) use carrier::{Carrier, Identity};
pub(crate) use metrics::CapacityMetrics;
pub(crate) use nodes::{NodeAddresses, rendezvous_order};
pub(crate) use pools::PoolSwitch;
pub(crate) use switch::CapacitySwitch;
