//! VMs as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, DomainId, VmId};

/// A VM with a backend server, as the platform lists it (with a lag).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The platform's name of the VM.
    pub name: String,
    /// The backend server's address.
    pub address: SocketAddr,
    /// The name of its data centre.
    pub data_centre: String,
    /// The name of its fabric domain.
    pub domain: String,
    /// The entry whose service runs on it; `None` for a VM with a model engine.
    #[serde(default)]
    pub service: Option<String>,
    /// Whether the platform is about to take it away.
    pub state: VmState,
}

impl Vm {
    /// The VM's id.
    #[must_use]
    pub fn id(&self) -> VmId {
        VmId::of(&self.name)
    }

    /// The id of the VM's data centre.
    #[must_use]
    pub fn data_centre_id(&self) -> DataCentreId {
        DataCentreId::of(&self.data_centre)
    }

    /// The id of the VM's fabric domain.
    #[must_use]
    pub fn domain_id(&self) -> DomainId {
        DomainId::of(&self.domain)
    }
}

/// What the platform says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Running, as far as the platform knows.
    Live,
    /// About to be taken away.
    Leaving,
}
