//! Creates parts of a gateway from its settings.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use tanagerhub_catalogue::{DataCentreId, NodeId};
use tanagerhub_clock::Clock;
use tanagerhub_groups::{Presence, RelayEndpoint};
use tanagerhub_traffic::{GroupObservation, Selection, Traffic, TrafficSettings};

use crate::gateway::capacity::{Carrier, Identity};
use crate::gateway::control::GatewayEvent;
use crate::gateway::{GatewayMetrics, GatewaySettings};
use crate::traffic_handle::TrafficHandle;

/// How long a failing group receives no requests.
const SUSPENSION: Duration = Duration::from_millis(1_200);
/// The number of consecutive failures after which a group is suspended.
const FAILURE_LIMIT: u32 = 3;

/// Returns the traffic decisions of this node.
pub(super) fn traffic_handle(
    settings: &GatewaySettings,
    clock: &Clock,
    events: &Sender<GatewayEvent>,
    carrier: Option<&Arc<Carrier>>,
) -> TrafficHandle {
    let mut traffic = TrafficSettings::default().node(
        NodeId::of(&settings.node),
        DataCentreId::of(&settings.data_centre),
    );
    traffic.selection = Selection::LeastLoaded;
    traffic.first_window = u32::MAX;
    traffic.failures = FAILURE_LIMIT;
    traffic.suspension = SUSPENSION;
    traffic.hedges = false;
    traffic.filled = false;
    traffic.shares_retries = true;
    traffic.routes_confirm = false;
    traffic.retry_ratio = settings.retry_ratio;
    traffic.retry_burst = settings.retry_slack;
    traffic.retry_floor = Duration::from_millis(300);
    let events = events.clone();
    let observations = move |_, observations: Vec<GroupObservation>| {
        for observation in observations {
            if let GroupObservation::Failed { group, epoch } = observation {
                // If sending fails, the next failure sends the suspicion again.
                drop(events.try_send(GatewayEvent::Suspected(group, epoch)));
            }
        }
    };
    let seed = rand::random();
    let mut traffic = Traffic::new(traffic, seed);
    if let Some(carrier) = carrier {
        traffic.set_capacity(clock.now(), carrier.identity().boot);
        if !settings.groups.first_start {
            traffic.rest_shares(clock.now());
        }
    }
    let handle = TrafficHandle::new(clock.clone(), traffic, Box::new(observations));
    let Some(carrier) = carrier.cloned() else {
        return handle;
    };
    handle.capacity_sink(Box::new(move |requests| carrier.send_requests(requests)))
}

/// Returns the carrier of the messages of shared capacity, whose port has the number of the peers'
/// TCP port.
///
/// If it can't be bound, the node uses its own shares of all limits, which is safe.
pub(super) fn carrier(
    settings: &GatewaySettings,
    boot: u64,
    clock: &Clock,
    metrics: &GatewayMetrics,
) -> Option<Arc<Carrier>> {
    let address = settings.peer_address?;
    let identity = Identity {
        node: NodeId::of(&settings.node),
        data_centre: DataCentreId::of(&settings.data_centre),
        boot,
    };
    match Carrier::bind(address, identity, clock.clone(), metrics.clone()) {
        Ok(carrier) => Some(Arc::new(carrier)),
        Err(error) => {
            log::error!(error:%, address:%; "no part in shared capacity: failed to bind");
            None
        }
    }
}

/// Returns the presence of this node, which its row in the store shows to the other nodes.
pub(super) fn presence(settings: &GatewaySettings, boot: u64) -> Presence {
    let presence = Presence::new(settings.node.clone(), boot, rand::random());
    match settings.peer_address {
        Some(address) => presence.relay(RelayEndpoint {
            data_centre: DataCentreId::of(&settings.data_centre),
            address,
        }),
        None => presence,
    }
}
