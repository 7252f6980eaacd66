//! Follows the attempts of a request and sends it to another group while the first one is late.

use std::time::Duration;

use futures_lite::future;
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{AttemptEvent, Dispatch, Next};

use super::{Exchange, may_have_run};
use crate::gateway::attempt::{AttemptResponse, Received, RunningAttempt};
use crate::gateway::attempt_error::AttemptError;
use crate::gateway::control::GatewayEvent;
use crate::gateway::failure::Failure;
use crate::gateway::group_activity::ActivityWatch;
use crate::gateway::memory::CallMemory;

/// The minimum time after which a request without a first byte may be sent to another group.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);
/// The time after which a request may be sent to another group, as a multiple of its objective.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// The same multiple for a stream, whose first event waits until the group has read the prompts of
/// other requests.
const STREAM_TIMEOUT_FACTOR: u32 = 3;
/// The minimum time after which a group that sends nothing is suspected.
const MIN_SUSPICION_DELAY: Duration = Duration::from_millis(250);
/// The interval at which a late request checks whether it may move to another group.
const MOVE_POLL_PERIOD: Duration = Duration::from_millis(100);
/// The same interval while a coordinator decides on the other attempt, since a grant lasts 100 ms.
const GRANT_POLL_PERIOD: Duration = Duration::from_millis(20);

/// What happens next to the attempts of a request.
enum Step {
    /// The attempt that was sent first, or the only one, has ended or has a response.
    First(Result<Received, AttemptError>),
    /// So has the attempt that is to take over from it.
    Second(Result<Received, AttemptError>),
    /// The request may be sent to another group too, for this reason.
    Late(LateCause),
}

/// The reason why a request may be sent to another group before its attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LateCause {
    /// No response has arrived in time.
    Overdue,
    /// A member of the group is unreachable.
    Silent,
}

/// The result of following the attempts of a request.
pub(crate) type Followed = Result<AttemptResponse, Next>;

impl Exchange {
    /// Follows an attempt, and one that is to take over while it is late, until a response has
    /// started or all attempts have failed.
    pub(crate) async fn follow(
        &mut self,
        attempt: RunningAttempt,
        last_event: u32,
    ) -> Result<Followed, Failure> {
        let mut first = attempt;
        let mut second: Option<RunningAttempt> = None;
        let mut cause = LateCause::Overdue;
        let mut next_check = None;
        loop {
            let step = self.next_step(&mut first, second.as_mut(), cause, next_check);
            let next = match step.await {
                Step::First(Ok(received)) => {
                    match self.accept_response(first.with_response(received)) {
                        Ok(response) => return Ok(Ok(response)),
                        Err(next) => next,
                    }
                }
                Step::First(Err(error)) => self.handle_failure(first.dispatch, &error)?,
                Step::Second(result) => {
                    if let Some(attempt) = second.take()
                        && let Some(response) =
                            self.taken_over(first.dispatch, cause, attempt, result)
                    {
                        return Ok(Ok(response));
                    }
                    continue;
                }
                Step::Late(late) => {
                    cause = late;
                    second = self.take_over(first.dispatch, cause, last_event);
                    // Without a delay, a takeover that stays impossible is tried again and again
                    // within one poll, which blocks the thread.
                    let period = self.move_poll_period(first.dispatch);
                    let retry_at = self.frontend.clock.now() + period;
                    next_check = second.is_none().then_some(retry_at);
                    continue;
                }
            };
            // The other attempt continues alone.
            let Some(other) = second.take() else {
                return Ok(Err(next));
            };
            first = other;
            cause = LateCause::Overdue;
            next_check = None;
        }
    }

    /// Waits for the next step of one attempt, or of two while another group takes over. After a
    /// takeover that was impossible, the next one is checked at `next_check`.
    async fn next_step(
        &self,
        first: &mut RunningAttempt,
        second: Option<&mut RunningAttempt>,
        cause: LateCause,
        next_check: Option<Moment>,
    ) -> Step {
        let takes_over = second.is_some();
        let RunningAttempt {
            dispatch,
            watch,
            sent,
            response,
            ..
        } = first;
        let response = async { Step::First(response.as_mut().await) };
        let late = async {
            if takes_over || !self.call.is_repeatable() {
                return future::pending().await;
            }
            let silent = async {
                match cause {
                    LateCause::Silent => {
                        let period = self.move_poll_period(*dispatch);
                        self.frontend.clock.sleep(period).await;
                    }
                    LateCause::Overdue => watch.wait_for_alarm().await,
                }
                Step::Late(LateCause::Silent)
            };
            let overdue = self.wait_until_overdue(*dispatch, watch, *sent, cause, next_check);
            future::or(overdue, silent).await
        };
        let second = async {
            match second {
                Some(second) => Step::Second(second.response.as_mut().await),
                None => future::pending().await,
            }
        };
        future::or(response, future::or(second, late)).await
    }

    /// Sends the request to another group too, if one has room.
    ///
    /// The late attempt continues, since its group may be sound and go on.
    pub(crate) fn take_over(
        &mut self,
        late: Dispatch,
        cause: LateCause,
        tokens: u32,
    ) -> Option<RunningAttempt> {
        let buffers = match &self.call.memory {
            Some(memory) => Some(memory.second_buffers()?),
            None => None,
        };
        let ticket = self.ticket.as_ref()?;
        let dispatch = ticket.take_over(late.attempt, tokens)?;
        log::info!(
            request = self.call.id.as_str(),
            group:% = late.group,
            epoch = late.epoch.0,
            cause = cause.error().label(),
            by:% = dispatch.group,
            event = tokens;
            "another group is to take over from a late one"
        );
        let mut attempt = self.begin(dispatch, tokens);
        attempt.buffers = buffers;
        Some(attempt)
    }

    /// Handles the result of an attempt that was to take over from a late one. Returns its response
    /// if that is used, which ends the late attempt.
    pub(crate) fn taken_over(
        &mut self,
        late: Dispatch,
        cause: LateCause,
        attempt: RunningAttempt,
        result: Result<Received, AttemptError>,
    ) -> Option<AttemptResponse> {
        let dispatch = attempt.dispatch;
        match result {
            Ok(received) => {
                if !self.is_failure(&received) {
                    if !self.streaming {
                        self.log_failed_attempt(late, &cause.error());
                    }
                    self.report(late, cause.event());
                }
                self.accept_response(attempt.with_response(received)).ok()
            }
            Err(error) => {
                self.log_failed_attempt(dispatch, &error);
                self.trace.reached_server |= error.has_reached_server();
                match error.event() {
                    Ok(event) => {
                        self.trace.may_have_run |= may_have_run(event);
                        self.report(dispatch, event);
                    }
                    Err(_) => self.cancel_others(late),
                }
                None
            }
        }
    }

    /// Cancels the attempt that was to take over from this one.
    pub(crate) fn cancel_others(&mut self, dispatch: Dispatch) {
        if let Some(ticket) = &mut self.ticket {
            ticket.cancel_others(dispatch.attempt);
        }
    }

    /// Waits until the response is late and the request may be sent to another group.
    ///
    /// Meanwhile a group that sends nothing is suspected, so that its members are probed.
    async fn wait_until_overdue(
        &self,
        dispatch: Dispatch,
        watch: &ActivityWatch,
        sent: Moment,
        cause: LateCause,
        next_check: Option<Moment>,
    ) -> Step {
        let factor = if self.call.kind.is_stream() {
            STREAM_TIMEOUT_FACTOR
        } else {
            ATTEMPT_TIMEOUT_FACTOR
        };
        let timeout = (self.call.objective * factor).max(MIN_ATTEMPT_TIMEOUT);
        let suspicion_delay = watch.silence_limit().max(MIN_SUSPICION_DELAY).min(timeout);
        self.sleep_until(sent + suspicion_delay).await;
        // Before a repeated check the group has been suspected already.
        let is_first = next_check.is_none();
        if is_first && cause == LateCause::Overdue && watch.last_activity() < sent {
            self.suspect(dispatch);
        }
        self.sleep_until(next_check.unwrap_or(sent).max(sent + timeout))
            .await;
        while !self.may_move(dispatch) {
            let period = self.move_poll_period(dispatch);
            self.frontend.clock.sleep(period).await;
        }
        Step::Late(LateCause::Overdue)
    }

    async fn sleep_until(&self, at: Moment) {
        let clock = &self.frontend.clock;
        clock.sleep(at.since(clock.now())).await;
    }

    fn may_move(&self, dispatch: Dispatch) -> bool {
        let memory = self.call.memory.as_ref();
        let has_memory = memory.is_none_or(CallMemory::allows_second);
        let ticket = self.ticket.as_ref();
        has_memory && ticket.is_some_and(|ticket| ticket.may_move(dispatch.attempt))
    }

    /// Returns the time after which a late request checks again whether it may move.
    pub(crate) fn move_poll_period(&self, dispatch: Dispatch) -> Duration {
        let ticket = self.ticket.as_ref();
        if ticket.is_some_and(|ticket| ticket.awaits_grant(dispatch.attempt)) {
            GRANT_POLL_PERIOD
        } else {
            MOVE_POLL_PERIOD
        }
    }

    fn suspect(&self, dispatch: Dispatch) {
        let event = GatewayEvent::Suspected(dispatch.group, dispatch.epoch);
        // If sending fails, the next late request sends the suspicion again.
        drop(self.frontend.suspicions.try_send(event));
    }
}

impl LateCause {
    const fn error(self) -> AttemptError {
        match self {
            Self::Overdue => AttemptError::Overdue,
            Self::Silent => AttemptError::Silent,
        }
    }

    const fn event(self) -> AttemptEvent {
        match self {
            Self::Overdue => AttemptEvent::TimedOut,
            Self::Silent => AttemptEvent::Silent,
        }
    }
}
