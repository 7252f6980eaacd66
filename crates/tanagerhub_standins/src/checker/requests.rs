//! Checks requests and their responses.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::{Event, Outcome, RequestId, Started, Verdict, Violation};

#[derive(Debug, Default)]
pub(super) struct Requests {
    open: HashMap<RequestId, Vec<Attempt>>,
    runs: HashMap<RequestId, u32>,
}

/// One sending of a request, until it completes.
#[derive(Debug)]
struct Attempt {
    node: SocketAddr,
    /// Whether it ran while no other sending of the same request was open; otherwise, the run can't
    /// be attributed to one of them.
    ran: bool,
    /// Whether its node was asked to stop gracefully while it was in flight.
    during_shutdown: bool,
}

impl Requests {
    pub(super) fn apply(&mut self, event: &Event, violations: &mut Vec<Violation>) {
        match event {
            Event::Sent { request_id, node } => self.sent(request_id, *node),
            Event::Started(Started { request_id, .. }) => self.ran(request_id),
            Event::Ran {
                request_id,
                repeatable,
                ..
            } => {
                self.ran(request_id);
                if !repeatable {
                    violations.extend(self.repeated_run(request_id));
                }
            }
            Event::Completed {
                request_id,
                node,
                verdict,
            } => self.completed(request_id, *node, verdict, violations),
            Event::NodeStopping { node } => self.stopping(*node),
            Event::NodeKilled { node } => self.killed(*node),
            _ => {}
        }
    }

    /// Reports the requests that are still open at the end of the log.
    pub(super) fn finish(self, violations: &mut Vec<Violation>) {
        let mut open: Vec<_> = self.open.into_keys().collect();
        open.sort();
        violations.extend(
            open.into_iter()
                .map(|request_id| Violation::Unanswered { request_id }),
        );
    }

    fn sent(&mut self, request_id: &RequestId, node: SocketAddr) {
        self.open
            .entry(request_id.clone())
            .or_default()
            .push(Attempt {
                node,
                ran: false,
                during_shutdown: false,
            });
    }

    fn ran(&mut self, request_id: &RequestId) {
        if let Some([attempt]) = self.open.get_mut(request_id).map(Vec::as_mut_slice) {
            attempt.ran = true;
        }
    }

    fn repeated_run(&mut self, request_id: &RequestId) -> Option<Violation> {
        let times = self.runs.entry(request_id.clone()).or_default();
        *times += 1;
        (*times > 1).then(|| Violation::RanTwice {
            request_id: request_id.clone(),
            times: *times,
        })
    }

    fn completed(
        &mut self,
        request_id: &RequestId,
        node: SocketAddr,
        verdict: &Verdict,
        violations: &mut Vec<Violation>,
    ) {
        let attempt = self.close(request_id, node);
        let attempt = attempt.as_ref();
        let ran = attempt.is_some_and(|attempt| attempt.ran);
        let during_shutdown = attempt.is_some_and(|attempt| attempt.during_shutdown);
        let request_id = request_id.clone();
        match verdict {
            Verdict::Wrong => violations.push(Violation::WrongResponse { request_id }),
            Verdict::Refused(Outcome::NotRun) if ran => {
                violations.push(Violation::FalseNotRun { request_id });
            }
            Verdict::Truncated | Verdict::Lost if during_shutdown => {
                violations.push(Violation::TruncatedByShutdown { request_id, node });
            }
            Verdict::Complete | Verdict::Truncated | Verdict::Lost | Verdict::Refused(_) => {}
        }
    }

    fn close(&mut self, request_id: &RequestId, node: SocketAddr) -> Option<Attempt> {
        let attempts = self.open.get_mut(request_id)?;
        let index = attempts.iter().position(|attempt| attempt.node == node)?;
        let attempt = attempts.swap_remove(index);
        if attempts.is_empty() {
            self.open.remove(request_id);
        }
        Some(attempt)
    }

    fn stopping(&mut self, node: SocketAddr) {
        for attempt in self.attempts_at(node) {
            attempt.during_shutdown = true;
        }
    }

    /// Clears `during_shutdown` of the node's requests: a killed node may cut them off.
    fn killed(&mut self, node: SocketAddr) {
        for attempt in self.attempts_at(node) {
            attempt.during_shutdown = false;
        }
    }

    fn attempts_at(&mut self, node: SocketAddr) -> impl Iterator<Item = &mut Attempt> {
        self.open
            .values_mut()
            .flatten()
            .filter(move |attempt| attempt.node == node)
    }
}
