//! Tasks of a gateway that run periodically.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use tanagerhub_clock::Clock;
use tanagerhub_proxy::Client;

use crate::gateway::control::GatewayEvent;
use crate::gateway::group_activity::GroupActivities;

/// The interval of the check for groups that have gone silent.
const ACTIVITY_CHECK_PERIOD: Duration = Duration::from_millis(30);
/// The delay of a check from which on this node itself is assumed to have been paused.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(60);
/// The interval at which idle connections to backend servers are closed.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Closes idle connections to backend servers.
pub(super) async fn sweep_connections(clock: Clock, client: Client) {
    loop {
        clock.sleep(SWEEP_PERIOD).await;
        client.close_expired();
    }
}

/// Reports groups whose streams have all gone silent, so that control probes their members.
pub(super) async fn check_activity(
    clock: Clock,
    activities: Arc<GroupActivities>,
    events: Sender<GatewayEvent>,
) {
    loop {
        let before = clock.now();
        clock.sleep(ACTIVITY_CHECK_PERIOD).await;
        let now = clock.now();
        if now.since(before) >= ACTIVITY_CHECK_PERIOD + MAX_CHECK_DELAY {
            activities.reset_silence(now);
            continue;
        }
        for (group, epoch) in activities.suspected_groups(now) {
            // If sending fails, the next check sends the suspicion again.
            drop(events.try_send(GatewayEvent::Suspected(group, epoch)));
        }
    }
}
