//! The feeds of a gateway.

use std::sync::Arc;

use async_channel::Sender;
use async_std::task;
use tanagerhub_traffic::CRASHES_TABLE;

use crate::gateway::Adapters;
use crate::gateway::control::GatewayEvent;
use crate::gateway::control_store::NODES_TABLE;
use crate::gateway::feed::{FeedContext, FeedSpec, follow};
use crate::gateway::feed_timing::{SharedFeedTiming, SharedFeedTimings};

/// The feeds of the tables that a node depends on.
#[derive(Debug)]
pub(super) struct FeedSpecs {
    operators: FeedSpec,
    vms: FeedSpec,
    nodes: FeedSpec,
    crashes: FeedSpec,
}

impl FeedSpecs {
    pub(super) const fn all(&self) -> [&FeedSpec; 4] {
        [&self.operators, &self.vms, &self.nodes, &self.crashes]
    }
}

/// Returns the feeds, none of which has started.
pub(super) fn feed_specs(adapters: &Adapters, timings: &SharedFeedTimings) -> FeedSpecs {
    let spec = |table, timing: &Arc<SharedFeedTiming>| FeedSpec {
        table,
        timing: Arc::clone(timing),
        relay: Arc::default(),
    };
    FeedSpecs {
        operators: spec(adapters.dialect.operator_table(), &timings.operators),
        vms: spec(adapters.dialect.vm_table(), &timings.vms),
        nodes: spec(NODES_TABLE, &timings.nodes),
        crashes: spec(CRASHES_TABLE, &timings.crashes),
    }
}

/// Spawns a task for each table that the node depends on.
pub(super) fn spawn_feeds(
    context: &FeedContext,
    specs: FeedSpecs,
    events: &Sender<GatewayEvent>,
) -> Vec<task::JoinHandle<()>> {
    let start = |spec, wrap: fn(_) -> GatewayEvent| {
        task::spawn(follow(context.clone(), spec, events.clone(), wrap))
    };
    vec![
        start(specs.operators, GatewayEvent::OperatorRows),
        start(specs.vms, GatewayEvent::VmRows),
        start(specs.nodes, GatewayEvent::NodeRows),
        start(specs.crashes, GatewayEvent::CrashRows),
    ]
}
