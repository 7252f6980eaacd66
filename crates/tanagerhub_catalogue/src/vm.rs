//! VMs in the platform's list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, DomainId, VmId};

/// A VM with a backend server, as the platform lists it; the list lags behind the VM's real state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The platform's name of the VM.
    pub name: String,
    /// The address of the backend server on the VM.
    pub address: SocketAddr,
    /// The name of the data centre that hosts the VM.
    pub data_centre: String,
    /// The platform's name of the VM's fabric domain.
    pub domain: String,
    /// The entry whose service runs on the VM; `None` for a VM with a model engine.
    #[serde(default)]
    pub service: Option<String>,
    /// Whether the platform is about to remove the VM.
    pub state: VmState,
}

impl Vm {
    /// Returns the id computed from the VM's name.
    #[must_use]
    pub fn id(&self) -> VmId {
        VmId::of(&self.name)
    }

    /// Returns the id of the VM's data centre.
    #[must_use]
    pub fn data_centre_id(&self) -> DataCentreId {
        DataCentreId::of(&self.data_centre)
    }

    /// Returns the id of the VM's fabric domain.
    #[must_use]
    pub fn domain_id(&self) -> DomainId {
        DomainId::of(&self.domain)
    }
}

/// The state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The platform lists the VM as running.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}
