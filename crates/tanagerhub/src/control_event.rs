//! The events that the control thread handles.

use async_channel::Sender;
use tanagerhub_catalogue::Vm;
use tanagerhub_clock::Moment;
use tanagerhub_fleet::FleetEvent;
use tanagerhub_membership::{MembershipEvent, PeerResponse};
use tanagerhub_traffic::GroupObservation;
use tanagerhub_wire::operators::{OperatorCall, OperatorError, OperatorResponse};

use crate::fleet_copy::FleetCopy;

/// The result of an operator's call.
pub(crate) type OperatorResult = Result<OperatorResponse, OperatorError>;

/// An event for the control thread.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// An event for the group decisions.
    Fleet(FleetEvent),
    /// An event for the membership decisions.
    Membership(MembershipEvent),
    /// The platform's list of VMs has been read.
    Vms(Vec<Vm>),
    /// A read of the platform's list of VMs failed.
    VmsReadFailed,
    /// A peer that can't reach the platform requests this node's group rows and VMs.
    FleetCopyRequested(Sender<PeerResponse>),
    /// A peer sent its group rows and VMs; empty if the request failed.
    FleetCopyReceived(FleetCopy),
    /// Observations of groups by the traffic decisions.
    Traffic {
        /// When they were made.
        at: Moment,
        /// The observations, in order.
        observations: Vec<GroupObservation>,
    },
    /// A call of an operator.
    Operator {
        /// The call.
        call: OperatorCall,
        /// The channel for its result.
        respond_to: Sender<OperatorResult>,
    },
    /// The node starts to shut down: it is announced as leaving, and still runs.
    Drain,
    /// The control thread returns.
    Stop,
}
