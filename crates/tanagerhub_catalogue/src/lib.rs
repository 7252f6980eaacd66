//! The catalogue: entries, organisations, limits and marks.
//!
//! Operators control the system by editing the [`Catalogue`] and by marking VMs and data centres as
//! in or out of service. This crate parses and validates catalogues, compares their versions, and
//! checks documents before they are applied, without any I/O.

mod catalogue;
mod catalogue_error;
mod check;
mod diff;
mod document;
mod entry;
mod health;
mod ids;
mod ingress;
mod marks;
mod organisation;
mod units;
mod vm;

pub use catalogue::{Catalogue, CatalogueVersion, DataCentre, Region};
pub use catalogue_error::{CatalogueError, Mistake};
pub use check::{
    CheckReport, Difference, Effect, Finding, FindingReason, Limit, Position, Severity,
    check_document,
};
pub use diff::{CatalogueDiff, Change};
pub use entry::{
    Class, ColdLimit, Entry, EntryKind, Fencing, Limits, ModelEntry, Route, ServiceEntry,
};
pub use health::Health;
pub use ids::{
    BootId, DataCentreId, DomainId, EntryId, Epoch, GroupId, IdHex, NodeId, OrganisationId, Rank,
    RequestId, VmId,
};
pub use ingress::{Ingress, IngressRoute, RouteKind, RouteTarget};
pub use marks::{Mark, Marks};
pub use organisation::{KeyHash, Organisation, OrganisationLimits};
pub use units::{Bytes, PerSecond, Tokens};
pub use vm::{Vm, VmState};
