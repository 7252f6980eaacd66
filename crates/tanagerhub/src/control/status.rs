//! The status views for operators.

use std::time::Duration;

use serde_json::{Value, json};
use tanagerhub_catalogue::{DataCentreId, EntryId, GroupId, Mark, NodeId, VmId, VmState};
use tanagerhub_clock::Moment;
use tanagerhub_fleet::{Decision, GroupView, Health, NotServing, Reason, Subject as FleetSubject};
use tanagerhub_wire::operators::{
    DataCentreStatus, EntryStatus, Explanation, GroupStatus, NodeStatus, OperatorError,
    OperatorResponse, StatusView, Subject, VmStatus,
};

use crate::control::Control;
use crate::control::names::Names;

impl Control {
    /// Returns the node's complete state for the dump.
    pub(super) fn state(&self, now: Moment) -> Value {
        json!({
            "node": self.executor.peers.address(),
            "boot": self.boot,
            "uptime_ms": now.as_millis(),
            "draining": self.view.draining,
            "catalogue_version": self.view.catalogue.version,
            "membership": self.membership.status(now),
            "fleet": self.fleet.status(now),
            "traffic": self.traffic.with(|traffic, now| traffic.status(now)),
            "claims": self.claims.dump(),
            "peers": self.executor.peers.counters(),
        })
    }

    /// Returns the status of entries, groups, VMs, data centres and nodes, by name.
    pub(super) fn status_view(&self, now: Moment) -> StatusView {
        let groups: Vec<GroupView> = self.fleet.groups(now).collect();
        StatusView {
            node: self.node_name(self.node),
            version: self.view.catalogue.version,
            fresh: self.membership.freshness(now).is_fresh(),
            entries: self.entry_statuses(&groups),
            groups: groups
                .iter()
                .map(|group| self.group_status(group))
                .collect(),
            vms: self.vm_statuses(&groups),
            data_centres: self.data_centre_statuses(&groups),
            nodes: self.node_statuses(now),
        }
    }

    /// Returns the state of a group, model or VM and the last decisions on it.
    pub(super) fn explain(
        &self,
        now: Moment,
        subject: &Subject,
    ) -> Result<OperatorResponse, OperatorError> {
        let not_found = || OperatorError::NotFound {
            name: subject.to_string(),
        };
        let (fleet_subject, state) = match subject {
            Subject::Group(id) => {
                let id = u64::from_str_radix(id, 16)
                    .ok()
                    .map(GroupId)
                    .ok_or_else(not_found)?;
                let group = self.fleet.group(now, id);
                let state =
                    group.map_or_else(|| "unknown to this node".to_owned(), |it| group_state(&it));
                (FleetSubject::Group(id), state)
            }
            Subject::Model(name) => {
                let id = EntryId::of(name);
                let entry = self.view.catalogue.entry(id).ok_or_else(not_found)?;
                let serving = self
                    .fleet
                    .groups(now)
                    .filter(|it| it.entry == id && it.eligible);
                let state = format!(
                    "{} of {} replicas serve",
                    serving.count(),
                    entry.limits.replicas_min
                );
                (FleetSubject::Entry(id), state)
            }
            Subject::Vm(name) => {
                let id = VmId::of(name);
                let vm = self
                    .view
                    .vms
                    .iter()
                    .find(|vm| vm.id() == id)
                    .ok_or_else(not_found)?;
                let state = if self.view.catalogue.is_vm_in_service(vm) {
                    "in service"
                } else {
                    "out of service"
                };
                (FleetSubject::Vm(id), state.to_owned())
            }
        };
        let decisions = self.fleet.explain(fleet_subject);
        let decisions = decisions
            .iter()
            .rev()
            .map(|decision| self.decision(now, decision));
        Ok(OperatorResponse::Explained(Explanation {
            subject: subject.to_string(),
            state,
            decisions: decisions.collect(),
        }))
    }

    /// Returns the address of a node, or its id if the address is unknown.
    pub(super) fn node_name(&self, node: NodeId) -> String {
        let address = self.membership.address(node);
        address.map_or_else(|| node.to_string(), |address| address.to_string())
    }

    fn names(&self) -> Names<'_> {
        Names {
            catalogue: &self.view.catalogue,
            vms: &self.view.vms,
        }
    }

    fn decision(&self, now: Moment, decision: &Decision) -> tanagerhub_wire::operators::Decision {
        let names = self.names();
        let subjects = [
            decision.entry.map(|id| names.entry(id)),
            decision.group.map(|id| format!("group {id}")),
            decision.vm.map(|id| names.vm(id)),
        ];
        let subjects: Vec<String> = subjects.into_iter().flatten().collect();
        tanagerhub_wire::operators::Decision {
            age: now.since(decision.at),
            node: self.node_name(self.node),
            decision: subjects.join(", "),
            cause: reason_text(&decision.reason),
        }
    }

    fn entry_statuses(&self, groups: &[GroupView]) -> Vec<EntryStatus> {
        let status = |entry: &tanagerhub_catalogue::Entry| {
            let held: Vec<&GroupView> = groups
                .iter()
                .filter(|it| it.entry == entry.id() && it.why_not != Some(NotServing::Standby))
                .collect();
            let serving = held.iter().filter(|group| group.eligible);
            let cold = held
                .iter()
                .filter(|group| group.eligible && group.health == Health::Cold);
            let serving = to_u32(serving.count());
            let why_not = held.iter().find_map(|group| group.why_not);
            let too_few = serving < entry.limits.replicas_min;
            EntryStatus {
                name: entry.name.clone(),
                class: entry.class,
                serving,
                cold: to_u32(cold.count()),
                held: to_u32(held.len()),
                replicas_min: entry.limits.replicas_min,
                replicas_max: entry.limits.replicas_max,
                reason: match why_not {
                    Some(why_not) if too_few => why_not.to_string(),
                    None if too_few => "too few replicas are held".to_owned(),
                    _ => String::new(),
                },
            }
        };
        self.view.catalogue.entries.iter().map(status).collect()
    }

    fn group_status(&self, group: &GroupView) -> GroupStatus {
        let names = self.names();
        GroupStatus {
            group: group.id,
            epoch: group.epoch,
            entry: names.entry(group.entry),
            data_centre: names.data_centre(group.data_centre),
            state: format!("{:?}", group.phase).to_lowercase(),
            serving: group.eligible,
            reason: group
                .why_not
                .map_or_else(String::new, |why| why.to_string()),
            members: group
                .members
                .iter()
                .map(|member| names.vm(member.vm))
                .collect(),
        }
    }

    fn vm_statuses(&self, groups: &[GroupView]) -> Vec<VmStatus> {
        let status = |vm: &tanagerhub_catalogue::Vm| VmStatus {
            name: vm.name.clone(),
            data_centre: vm.data_centre.clone(),
            domain: vm.domain.clone(),
            mark: mark(self.view.catalogue.is_vm_in_service(vm)),
            leaving: vm.state == VmState::Leaving,
            group: groups
                .iter()
                .find(|group| group.members.iter().any(|member| member.vm == vm.id()))
                .map(|group| group.id),
        };
        self.view.vms.iter().map(status).collect()
    }

    fn data_centre_statuses(&self, groups: &[GroupView]) -> Vec<DataCentreStatus> {
        let status = |data_centre: &tanagerhub_catalogue::DataCentre| {
            let id = DataCentreId::of(&data_centre.name);
            let vms = self
                .view
                .vms
                .iter()
                .filter(|vm| vm.data_centre == data_centre.name);
            let serving = groups
                .iter()
                .filter(|it| it.data_centre == id && it.eligible);
            DataCentreStatus {
                name: data_centre.name.clone(),
                region: data_centre.region.clone(),
                mark: mark(self.view.catalogue.is_data_centre_in_service(id)),
                vms: to_u32(vms.count()),
                serving: to_u32(serving.count()),
            }
        };
        self.view
            .catalogue
            .data_centres
            .iter()
            .map(status)
            .collect()
    }

    fn node_statuses(&self, now: Moment) -> Vec<NodeStatus> {
        let names = self.names();
        let own = NodeStatus {
            name: self.executor.peers.address().to_string(),
            data_centre: names.data_centre(self.executor.data_centre),
            version: self.membership.version(),
            fresh: self.membership.freshness(now).is_fresh(),
            age: Duration::ZERO,
        };
        let live = self.membership.peers(now);
        let others = self.membership.other_nodes(now);
        let others = others.iter().map(|peer| NodeStatus {
            name: peer.address.to_string(),
            data_centre: names.data_centre(peer.data_centre),
            version: peer.version,
            fresh: !peer.leaving && live.iter().any(|it| it.node == peer.node),
            age: peer.age.unwrap_or(now.since(Moment::ZERO)),
        });
        std::iter::once(own).chain(others).collect()
    }
}

/// Returns a group's phase, and why it doesn't serve.
fn group_state(group: &GroupView) -> String {
    let phase = format!("{:?}", group.phase).to_lowercase();
    match group.why_not {
        Some(why) => format!("{phase}: {why}"),
        None => phase,
    }
}

/// Returns a reason as text: its name, then its fields as `name=value`.
fn reason_text(reason: &Reason) -> String {
    let Ok(Value::Object(mut fields)) = serde_json::to_value(reason) else {
        return String::new();
    };
    let name = fields.remove("what").unwrap_or_default();
    let name = name.as_str().unwrap_or_default().replace('_', " ");
    let fields = fields
        .iter()
        .map(|(field, value)| format!("{field}={value}"));
    std::iter::once(name)
        .chain(fields)
        .collect::<Vec<_>>()
        .join(" ")
}

const fn mark(is_in: bool) -> Mark {
    if is_in { Mark::In } else { Mark::Out }
}

fn to_u32(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}
