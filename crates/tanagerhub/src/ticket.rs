//! A request's handle to the traffic decisions.

use std::sync::Arc;

use async_channel::Receiver;
use tanagerhub_catalogue::RequestId;
use tanagerhub_traffic::{AttemptEvent, AttemptKey, Decision, Dispatch, Next};

use crate::traffic_handle::TrafficHandle;

/// A submitted request; dropping it reports its open attempts as `CallerLeft` and removes it.
#[derive(Debug)]
pub(crate) struct Ticket {
    traffic: Arc<TrafficHandle>,
    id: RequestId,
    mailbox: Receiver<Decision>,
    attempts: Vec<AttemptKey>,
}

impl Ticket {
    pub(crate) const fn new(
        traffic: Arc<TrafficHandle>,
        id: RequestId,
        mailbox: Receiver<Decision>,
    ) -> Self {
        Self {
            traffic,
            id,
            mailbox,
            attempts: Vec::new(),
        }
    }

    /// Records that an attempt has started.
    pub(crate) fn record_attempt(&mut self, attempt: AttemptKey) {
        self.attempts.push(attempt);
    }

    /// Reports an event of an attempt, and returns what to do next.
    pub(crate) fn report(&mut self, attempt: AttemptKey, event: AttemptEvent) -> Next {
        let next = self
            .traffic
            .with(|traffic, now| traffic.report(now, attempt, event));
        match &next {
            Next::Continue => {}
            Next::CancelOther(other) => self.attempts.retain(|key| key != other),
            Next::Done | Next::Retry(_) | Next::Wait(_) | Next::Fail(_) => {
                self.attempts.retain(|key| *key != attempt);
            }
        }
        next
    }

    /// Starts a second attempt at another group beside a silent one, if that is possible now.
    pub(crate) fn take_over(&self, silent: AttemptKey, tokens: u32) -> Option<Dispatch> {
        self.traffic
            .with(|traffic, now| traffic.take_over(now, silent, tokens))
    }

    /// Ends the other attempts of this attempt's request.
    pub(crate) fn cancel_others(&mut self, attempt: AttemptKey) {
        self.traffic
            .with(|traffic, _| traffic.cancel_others(attempt));
        self.attempts.retain(|key| *key == attempt);
    }

    /// Returns whether the request may be sent again and another group has capacity for it.
    pub(crate) fn may_move(&self, attempt: AttemptKey) -> bool {
        self.traffic
            .with(|traffic, now| traffic.may_move(now, attempt))
    }

    /// Returns whether a coordinator has been asked for a second attempt of the request.
    pub(crate) fn awaits_grant(&self, attempt: AttemptKey) -> bool {
        self.traffic
            .update(|traffic, _| traffic.awaits_grant(attempt))
    }

    /// Waits for the next decision on this request; `None` when its mailbox is closed.
    pub(crate) async fn next_decision(&self) -> Option<Decision> {
        self.mailbox.recv().await.ok()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        for attempt in std::mem::take(&mut self.attempts) {
            self.traffic
                .with(|traffic, now| traffic.report(now, attempt, AttemptEvent::CallerLeft));
        }
        self.traffic.remove_request(self.id);
        // A decision that was delivered and not taken has started an attempt too.
        while let Ok(decision) = self.mailbox.try_recv() {
            if let Decision::Dispatch(dispatch) = decision {
                self.traffic.with(|traffic, now| {
                    traffic.report(now, dispatch.attempt, AttemptEvent::CallerLeft)
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
