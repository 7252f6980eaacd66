//! The memory that a request holds at the gateway.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_proxy::{Level, MemoryBudget, MemoryError, Part, Reservation, StallLimit};

use crate::gateway::failure::Failure;
use crate::gateway::memory_metrics::MemoryCollector;
use crate::gateway::{GatewayMetrics, GatewaySettings};

/// The bytes that each open request may hold besides its body without asking again: a chunk in the
/// parser of the backend server's connection, one in its read buffer, one in the relay and the
/// write buffer of the caller's connection, of 16 KiB each.
const BUFFER_BYTES: u64 = 64 << 10;
/// The bytes of a relayed stream that are part of these buffers.
pub(crate) const EVENT_BYTES: u64 = 16 << 10;
/// The retry delay for callers that are refused for lack of memory; callers that stop reading are
/// ended within seconds.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What applies where the node's memory is limited.
#[derive(Debug)]
pub(crate) struct MemoryLimits {
    pub(crate) budget: Option<MemoryBudget>,
    /// The limit for callers that take no bytes.
    pub(crate) stall: Option<StallLimit>,
}

impl MemoryLimits {
    /// Creates the limits that the settings ask for, and adds them to the metrics.
    pub(crate) fn new(settings: &GatewaySettings, metrics: &GatewayMetrics) -> Self {
        let budget = settings.memory_limit.map(MemoryBudget::new);
        let stall = budget.as_ref().map(|budget| {
            let stall = StallLimit::new(settings.caller_stall);
            metrics.register_memory(MemoryCollector {
                budget: budget.clone(),
                stall: stall.clone(),
            });
            stall
        });
        Self { budget, stall }
    }
}

/// The reservations of one request, which last as long as its body is kept.
#[derive(Debug)]
pub(crate) struct CallMemory {
    body: Reservation,
    buffers: Arc<Reservation>,
}

impl CallMemory {
    pub(crate) fn new(body: Reservation, buffers: Reservation) -> Self {
        Self {
            body,
            buffers: Arc::new(buffers),
        }
    }

    /// Returns a share in the reservation of the buffers, for a response that outlives the request.
    pub(crate) fn buffers(&self) -> Arc<Reservation> {
        Arc::clone(&self.buffers)
    }

    /// Creates an empty reservation for large events, in addition to the buffers.
    pub(crate) fn large_events(&self) -> Reservation {
        self.budget().empty(Part::Responses)
    }

    pub(crate) fn budget(&self) -> &MemoryBudget {
        self.buffers.budget()
    }

    /// Returns whether a second attempt may run beside the first, which it may not while memory is
    /// short.
    pub(crate) fn allows_second(&self) -> bool {
        let budget = self.budget();
        let is_normal = |part| budget.level(part) == Level::Normal;
        Part::ALL.into_iter().all(is_normal)
    }

    /// Reserves the buffers of a second attempt beside the first, unless memory is short.
    pub(crate) fn second_buffers(&self) -> Option<Reservation> {
        if !self.allows_second() {
            return None;
        }
        let budget = self.budget();
        budget.try_reserve(Part::Responses, BUFFER_BYTES, 0).ok()
    }

    /// Returns whether a request must end instead of being sent again, because a part in which it
    /// holds bytes is at the hard level. Its end would free nothing in the other parts.
    pub(crate) fn forbids_retry(&self) -> bool {
        let held: [&Reservation; 2] = [&self.body, &self.buffers];
        held.into_iter().any(Reservation::is_short)
    }
}

/// Reserves the buffers of a new request.
pub(crate) async fn reserve_buffers(
    budget: &MemoryBudget,
    urgency: u8,
    clock: &Clock,
    deadline: Moment,
) -> Result<Reservation, Failure> {
    let left = deadline.since(clock.now());
    let buffers = budget.reserve(Part::Responses, BUFFER_BYTES, urgency, clock, left);
    buffers.await.map_err(memory_failure)
}

/// Returns the failure of a request that has not run because the node has no memory for it.
pub(crate) fn memory_failure(error: MemoryError) -> Failure {
    match error {
        MemoryError::Full => Failure::unavailable(error.to_string(), RETRY_AFTER),
        MemoryError::TooLarge => Failure::new(StatusCode::PAYLOAD_TOO_LARGE, error.to_string()),
    }
}

/// Returns the failure of a request that is not sent again because the node has no memory to spare.
pub(crate) fn no_memory_for_retry(may_have_run: bool) -> Failure {
    let reason = "the node has no memory for another attempt";
    if may_have_run {
        Failure::new(StatusCode::BAD_GATEWAY, reason)
    } else {
        Failure::unavailable(reason, RETRY_AFTER)
    }
}
