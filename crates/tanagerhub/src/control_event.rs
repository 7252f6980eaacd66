//! What reaches the control thread.

use async_channel::Sender;
use tanagerhub_catalogue::Vm;
use tanagerhub_clock::Moment;
use tanagerhub_fleet::FleetEvent;
use tanagerhub_membership::{MembershipEvent, PeerReply};
use tanagerhub_traffic::GroupObservation;
use tanagerhub_wire::operators::{OperatorAnswer, OperatorCall, OperatorError};

use crate::fleet_copy::FleetCopy;

/// The answer to an operator's call.
pub(crate) type OperatorResult = Result<OperatorAnswer, OperatorError>;

/// Something that the control thread takes in.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// For the decisions on groups.
    Fleet(FleetEvent),
    /// For the decisions on nodes.
    Membership(MembershipEvent),
    /// The platform's list of VMs.
    Vms(Vec<Vm>),
    /// The platform's list of VMs could not be read.
    VmsReadFailed,
    /// A peer that can't reach the platform asks for groups and VMs.
    FleetCopyRequested(Sender<PeerReply>),
    /// A peer told the groups and VMs that it knows.
    FleetCopyReceived(FleetCopy),
    /// Facts that traffic noticed.
    Traffic {
        /// When.
        at: Moment,
        /// What.
        observations: Vec<GroupObservation>,
    },
    /// A call of an operator.
    Operator {
        /// The call.
        call: OperatorCall,
        /// Where the answer goes.
        respond_to: Sender<OperatorResult>,
    },
    /// The node begins to shut down.
    Drain,
    /// The node ends.
    Stop,
}
