//! Decisions by what backend servers report of themselves.

use std::time::Duration;

use tanagerhub_catalogue::{EntryId, VmId};
use tanagerhub_clock::Moment;

use super::Traffic;
use super::admission::refusal;
use crate::in_flight::RequestKey;
use crate::{
    AttemptKey, EndedReport, Reason, Refusal, SelfReport, SelfReportChange, ServerLifetime,
};

impl Traffic {
    /// Records what the response to an attempt says about its backend server, which may be any
    /// response: the head of a stream, an error or a refusal. Returns what it changed.
    ///
    /// Call it before the response is passed on.
    pub fn record_self_report(
        &mut self,
        now: Moment,
        attempt: AttemptKey,
        report: SelfReport,
        is_invalid: bool,
    ) -> SelfReportChange {
        let server = self.attempt_server(attempt);
        server.map_or_else(SelfReportChange::default, |server| {
            self.record_report_of(now, server, report, is_invalid)
        })
    }

    /// Returns the backend server of an attempt.
    #[must_use]
    pub fn attempt_server(&self, attempt: AttemptKey) -> Option<ServerLifetime> {
        self.attempts.get(attempt).map(|attempt| attempt.server)
    }

    /// Records what a response of a backend server to a probe or an order says. Returns what it
    /// changed.
    pub fn record_report_of(
        &mut self,
        now: Moment,
        server: ServerLifetime,
        report: SelfReport,
        is_invalid: bool,
    ) -> SelfReportChange {
        let reports = &mut self.groups.self_reports;
        reports.record(now, server, report, is_invalid)
    }

    /// Whether a connection for a probe or an order to a backend server may be opened. Ask
    /// [`Self::begin_control_call`] again once it is open.
    #[must_use]
    pub fn may_begin_control_call(&self, now: Moment, server: VmId) -> bool {
        let reports = &self.groups.self_reports;
        reports.may_begin_control_call(now, server)
    }

    /// Whether a probe or an order may be sent to a backend server now; counts it if the server is
    /// paused.
    pub fn begin_control_call(&mut self, now: Moment, server: VmId) -> bool {
        let reports = &mut self.groups.self_reports;
        reports.begin_control_call(now, server)
    }

    /// Whether an attempt may be sent now, right before its first byte: its backend server may have
    /// reported something since it was chosen.
    #[must_use]
    pub fn may_send(&self, now: Moment, attempt: AttemptKey) -> bool {
        let Some(attempt) = self.attempts.get(attempt) else {
            return true;
        };
        let reports = &self.groups.self_reports;
        let group = self.groups.arena.get(attempt.group);
        let blocked = group.is_some_and(|group| reports.blocks(now, &group.route));
        !blocked
            && !reports.is_leaving(attempt.server)
            && reports.paused_until(now, attempt.server.server).is_none()
    }

    /// Whether the backend server of an attempt is paused.
    pub(super) fn is_paused(&self, now: Moment, attempt: AttemptKey) -> bool {
        let server = self.attempt_server(attempt);
        let reports = &self.groups.self_reports;
        server.is_some_and(|server| reports.paused_until(now, server.server).is_some())
    }

    /// Returns the reports that have ended since the last call.
    pub fn take_ended_reports(&mut self) -> Vec<EndedReport> {
        self.groups.self_reports.take_ended()
    }

    /// Returns the refusal of a request that may wait until `latest`, if all backend servers that
    /// it could be sent to are paused for longer.
    pub(super) fn pause_refusal(
        &self,
        now: Moment,
        entry: EntryId,
        latest: Moment,
    ) -> Option<Refusal> {
        let end = self.groups.all_paused_until(now, entry)?;
        (end > latest).then(|| refusal(Reason::Paused, Some(self.pause_wait(now, end))))
    }

    /// Returns the retry delay until the end of a pause.
    fn pause_wait(&self, now: Moment, end: Moment) -> Duration {
        end.since(now).max(self.settings.retry_floor)
    }

    /// Ends pauses, and asks again for the requests that wait for coordinated groups: their asks
    /// excluded the groups that were paused.
    pub(super) fn poll_self_reports(&mut self, now: Moment) {
        if !self.groups.self_reports.end_pauses(now) || self.capacity.is_none() {
            return;
        }
        let waiting: Vec<RequestKey> = self.waiting.values().copied().collect();
        for key in waiting {
            if let Some(until) = self.requests.get(key).and_then(|it| it.waits_until) {
                self.ask_waiting(now, key, until);
            }
        }
    }
}
