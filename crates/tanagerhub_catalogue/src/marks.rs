//! Marks by which operators take VMs and data centres out of service.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Whether a VM or data centre is in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mark {
    /// In service.
    In,
    /// Out of service: it receives no new requests.
    Out,
}

/// The VMs and data centres that operators have taken out of service, by name.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Marks {
    /// Names of the VMs out of service.
    pub vms_out: BTreeSet<String>,
    /// Names of the data centres out of service.
    pub data_centres_out: BTreeSet<String>,
}

impl Marks {
    /// Sets the mark of a VM; returns whether this changed it.
    pub fn mark_vm(&mut self, name: &str, mark: Mark) -> bool {
        apply_mark(&mut self.vms_out, name, mark)
    }

    /// Sets the mark of a data centre; returns whether this changed it.
    pub fn mark_data_centre(&mut self, name: &str, mark: Mark) -> bool {
        apply_mark(&mut self.data_centres_out, name, mark)
    }
}

fn apply_mark(out: &mut BTreeSet<String>, name: &str, mark: Mark) -> bool {
    match mark {
        Mark::In => out.remove(name),
        Mark::Out => out.insert(name.to_owned()),
    }
}
