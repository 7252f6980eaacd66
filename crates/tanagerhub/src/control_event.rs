//! What reaches the control thread.

use async_channel::Sender;
use tanagerhub_catalogue::Vm;
use tanagerhub_clock::Moment;
use tanagerhub_fleet::FleetEvent;
use tanagerhub_membership::{MembershipEvent, PeerResponse};
use tanagerhub_traffic::GroupObservation;
use tanagerhub_wire::operators::{OperatorCall, OperatorError, OperatorResponse};

use crate::fleet_copy::FleetCopy;

/// The answer to an operator's call.
pub(crate) type OperatorReply = Result<OperatorResponse, OperatorError>;

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
    VmsFailed,
    /// A peer that can't reach the platform asks for groups and VMs.
    FleetAsked(Sender<PeerResponse>),
    /// A peer told the groups and VMs that it knows.
    FleetHeard(FleetCopy),
    /// Facts that traffic noticed.
    TrafficFacts {
        /// When.
        at: Moment,
        /// What.
        facts: Vec<GroupObservation>,
    },
    /// A call of an operator.
    Operator {
        /// The call.
        call: OperatorCall,
        /// Where the answer goes.
        reply: Sender<OperatorReply>,
    },
    /// The node begins to shut down.
    Drain,
    /// The node ends.
    Stop,
}
