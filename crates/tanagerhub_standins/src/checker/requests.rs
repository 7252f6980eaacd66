//! Requests and their answers.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::{Fact, Outcome, Started, Verdict, Violation, Work};

#[derive(Debug, Default)]
pub(super) struct Requests {
    open: HashMap<Work, Vec<Attempt>>,
    runs: HashMap<Work, u32>,
}

/// One sending of a request, until its answer.
#[derive(Debug)]
struct Attempt {
    node: SocketAddr,
    /// Whether it ran while no other sending of the same request was open.
    ran: bool,
    /// Whether its node was asked to stop while it was in flight.
    outlived: bool,
}

impl Requests {
    pub(super) fn take(&mut self, fact: &Fact, violations: &mut Vec<Violation>) {
        match fact {
            Fact::Sent { work, node } => self.sent(work, *node),
            Fact::Started(Started { work, .. }) => self.ran(work),
            Fact::Ran {
                work, repeatable, ..
            } => {
                self.ran(work);
                if !repeatable {
                    violations.extend(self.again(work));
                }
            }
            Fact::Answered {
                work,
                node,
                verdict,
            } => self.answered(work, *node, verdict, violations),
            Fact::Stopping { node } => self.stopping(*node),
            Fact::Killed { node } => self.killed(*node),
            _ => {}
        }
    }

    /// Judges what is left open at the end of the log.
    pub(super) fn end(self, violations: &mut Vec<Violation>) {
        let mut open: Vec<_> = self.open.into_keys().collect();
        open.sort();
        violations.extend(open.into_iter().map(|work| Violation::Unanswered { work }));
    }

    fn sent(&mut self, work: &Work, node: SocketAddr) {
        self.open.entry(work.clone()).or_default().push(Attempt {
            node,
            ran: false,
            outlived: false,
        });
    }

    fn ran(&mut self, work: &Work) {
        if let Some([attempt]) = self.open.get_mut(work).map(Vec::as_mut_slice) {
            attempt.ran = true;
        }
    }

    fn again(&mut self, work: &Work) -> Option<Violation> {
        let times = self.runs.entry(work.clone()).or_default();
        *times += 1;
        (*times > 1).then(|| Violation::RanTwice {
            work: work.clone(),
            times: *times,
        })
    }

    fn answered(
        &mut self,
        work: &Work,
        node: SocketAddr,
        verdict: &Verdict,
        violations: &mut Vec<Violation>,
    ) {
        let attempt = self.close(work, node);
        let attempt = attempt.as_ref();
        let ran = attempt.is_some_and(|attempt| attempt.ran);
        let outlived = attempt.is_some_and(|attempt| attempt.outlived);
        let work = work.clone();
        match verdict {
            Verdict::Wrong => violations.push(Violation::WrongAnswer { work }),
            Verdict::Refused(Outcome::NotRun) if ran => {
                violations.push(Violation::FalseNotRun { work });
            }
            Verdict::Cut | Verdict::Lost if outlived => {
                violations.push(Violation::CutByShutdown { work, node });
            }
            Verdict::Whole | Verdict::Cut | Verdict::Lost | Verdict::Refused(_) => {}
        }
    }

    fn close(&mut self, work: &Work, node: SocketAddr) -> Option<Attempt> {
        let attempts = self.open.get_mut(work)?;
        let place = attempts.iter().position(|attempt| attempt.node == node)?;
        let attempt = attempts.swap_remove(place);
        if attempts.is_empty() {
            self.open.remove(work);
        }
        Some(attempt)
    }

    fn stopping(&mut self, node: SocketAddr) {
        for attempt in self.attempts_at(node) {
            attempt.outlived = true;
        }
    }

    /// A killed node promises nothing to the requests in flight.
    fn killed(&mut self, node: SocketAddr) {
        for attempt in self.attempts_at(node) {
            attempt.outlived = false;
        }
    }

    fn attempts_at(&mut self, node: SocketAddr) -> impl Iterator<Item = &mut Attempt> {
        self.open
            .values_mut()
            .flatten()
            .filter(move |attempt| attempt.node == node)
    }
}
