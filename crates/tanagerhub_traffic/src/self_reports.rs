//! Backend servers that are about to leave or have asked for a pause.
//!
//! That a server leaves holds for one lifetime of its process. A pause holds for the server, since the
//! response may come from a start that this node learns of only later. The decisions are this node's
//! own: a pause is asked of the node that receives the response.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;
use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Moment;

use crate::{MAX_PAUSE, Route, RouteTable, SelfReport, ServerLifetime};

/// How long the state of a server is kept that no route contains. The store may list a server again
/// that is still leaving.
const UNLISTED_LIFETIME: Duration = Duration::from_hours(1);
/// Time after the end of a pause in which one more request may wait for its first byte. It bounds
/// the time for which a slow first response limits the server to one request.
const RAMP_STEP: Duration = Duration::from_millis(200);
/// Number of requests without a first byte from which on a server counts as fully back.
const MAX_RAMP: u32 = 32;

/// The reports in force.
#[derive(Debug, Default)]
pub(crate) struct SelfReports {
    servers: HashMap<ServerLifetime, ServerState>,
    pacing: HashMap<VmId, Pacing>,
    ended: Vec<EndedReport>,
}

/// What a response changed in the reports in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SelfReportChange {
    /// Whether the server is leaving from now on and was not before.
    pub leaves: bool,
    /// The pause that began, unless one was in force.
    pub pause: Option<Duration>,
    /// The time since the beginning of the pause in force, if the response asks for one again: a
    /// request, a probe or an order has reached the paused server.
    pub again_after: Option<Duration>,
    /// Whether this is the first invalid report of the server.
    pub is_first_invalid: bool,
}

/// A report that is no longer in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndedReport {
    /// The pause of a server has passed.
    Pause(ServerLifetime),
    /// A server that was leaving has ended: the routes contain a later start of it, or it was not
    /// listed for long.
    Leaving(ServerLifetime),
}

#[derive(Debug, Clone, Copy)]
struct ServerState {
    leaving: bool,
    invalid: bool,
    /// When a route last contained the server, or it last reported something.
    known_at: Moment,
}

/// Whether requests are withheld from a server, or return to it one by one.
#[derive(Debug, Clone, Copy)]
enum Pacing {
    Paused(Pause),
    Returning(Ramp),
}

/// A pause, or several that follow each other without a gap.
#[derive(Debug, Clone, Copy)]
struct Pause {
    /// The start of the server that was listed as it began, for the log.
    server: ServerLifetime,
    from: Moment,
    until: Moment,
    /// Whether a probe or an order was sent.
    was_called: bool,
}

/// The return of requests after a pause.
#[derive(Debug, Clone, Copy)]
struct Ramp {
    from: Moment,
    first_bytes: u32,
}

impl Ramp {
    /// Returns how many requests may wait for a first byte: one, and one more for each first byte
    /// and for each [`RAMP_STEP`].
    fn window(self, now: Moment) -> u32 {
        let steps = now.since(self.from).as_millis() / RAMP_STEP.as_millis();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        self.first_bytes.saturating_add(steps).saturating_add(1)
    }
}

impl Pause {
    fn is_over(&self, now: Moment) -> bool {
        now >= self.until
    }

    /// Whether a probe or an order may be sent: one, not before the middle of the pause.
    ///
    /// The protocol allows two requests. The other one is left to a request that was under way when
    /// the pause began and arrives late.
    fn allows_control_call(&self, now: Moment) -> bool {
        !self.was_called && now.since(self.from) >= self.until.since(self.from) / 2
    }
}

impl SelfReports {
    /// Records what a response says. Returns what it changed.
    pub(crate) fn record(
        &mut self,
        now: Moment,
        server: ServerLifetime,
        report: SelfReport,
        is_invalid: bool,
    ) -> SelfReportChange {
        if report.is_empty() && !is_invalid {
            return SelfReportChange::default();
        }
        let state = self.servers.entry(server).or_insert(ServerState {
            leaving: false,
            invalid: false,
            known_at: now,
        });
        state.known_at = now;
        let leaves = report.leaving && !state.leaving;
        state.leaving |= report.leaving;
        let is_first_invalid = is_invalid && !state.invalid;
        state.invalid |= is_invalid;
        let change = SelfReportChange {
            leaves,
            is_first_invalid,
            ..SelfReportChange::default()
        };
        let Some(pause) = report.pause.map(|pause| pause.min(MAX_PAUSE)) else {
            return change;
        };
        let again_after = self.pause(now, server, pause);
        SelfReportChange {
            pause: again_after.is_none().then_some(pause),
            again_after,
            ..change
        }
    }

    /// Begins a pause, or extends the one in force; a shorter one changes nothing. Returns the time
    /// since the beginning of one that was in force.
    fn pause(&mut self, now: Moment, server: ServerLifetime, pause: Duration) -> Option<Duration> {
        let until = now + pause;
        if let Some(Pacing::Paused(current)) = self.pacing.get_mut(&server.server)
            && !current.is_over(now)
        {
            current.until = current.until.max(until);
            return Some(now.since(current.from));
        }
        let pause = Pause {
            server,
            from: now,
            until,
            was_called: false,
        };
        self.pacing.insert(server.server, Pacing::Paused(pause));
        None
    }

    /// Applies the servers that routes contain. A later start of a VM ends the reports of earlier
    /// ones.
    pub(crate) fn apply_routes(&mut self, now: Moment, table: &RouteTable) {
        if self.servers.is_empty() {
            return;
        }
        let listed: HashMap<_, _> = table
            .routes
            .iter()
            .flat_map(Route::lifetimes)
            .map(|it| (it.server, it.started_ms))
            .collect();
        let ended = &mut self.ended;
        self.servers.retain(|server, state| {
            let started_ms = listed.get(&server.server);
            if started_ms == Some(&server.started_ms) {
                state.known_at = now;
            }
            let is_replaced = started_ms.is_some_and(|started| *started > server.started_ms);
            let is_old = now.since(state.known_at) >= UNLISTED_LIFETIME;
            if (is_replaced || is_old) && state.leaving {
                ended.push(EndedReport::Leaving(*server));
            }
            !is_replaced && !is_old
        });
    }

    /// Ends the pauses that have passed. Returns whether any has.
    pub(crate) fn end_pauses(&mut self, now: Moment) -> bool {
        let before = self.ended.len();
        let ended = &mut self.ended;
        self.pacing.retain(|_, pacing| match pacing {
            Pacing::Paused(pause) if pause.is_over(now) => {
                ended.push(EndedReport::Pause(pause.server));
                *pacing = Pacing::Returning(Ramp {
                    from: now,
                    first_bytes: 0,
                });
                true
            }
            Pacing::Paused(_) => true,
            Pacing::Returning(ramp) => ramp.window(now) <= MAX_RAMP,
        });
        self.ended.len() > before
    }

    /// Returns the end of the pause that ends first.
    pub(crate) fn next_end(&self) -> Option<Moment> {
        let ends = self.pacing.values().filter_map(|pacing| match pacing {
            Pacing::Paused(pause) => Some(pause.until),
            Pacing::Returning(_) => None,
        });
        ends.min()
    }

    /// Whether a group must get no request: its head or a member is leaving, or its head is paused.
    pub(crate) fn blocks(&self, now: Moment, route: &Route) -> bool {
        self.has_leaving(route) || self.paused_until(now, route.server).is_some()
    }

    /// Whether the head or a member of a group is leaving.
    pub(crate) fn has_leaving(&self, route: &Route) -> bool {
        !self.servers.is_empty() && route.lifetimes().any(|server| self.is_leaving(server))
    }

    /// Whether a group may get one more request beside those that wait there for a first byte.
    pub(crate) fn may_start(&self, now: Moment, route: &Route, awaiting: u32) -> bool {
        let may_return = match self.pacing.get(&route.server) {
            Some(Pacing::Returning(ramp)) => awaiting < ramp.window(now),
            Some(Pacing::Paused(_)) | None => true,
        };
        may_return && !self.blocks(now, route)
    }

    pub(crate) fn is_leaving(&self, server: ServerLifetime) -> bool {
        self.servers.get(&server).is_some_and(|state| state.leaving)
    }

    /// Returns the end of the pause of a server; `None` if it is not paused.
    pub(crate) fn paused_until(&self, now: Moment, server: VmId) -> Option<Moment> {
        match self.pacing.get(&server)? {
            Pacing::Paused(pause) => (!pause.is_over(now)).then_some(pause.until),
            Pacing::Returning(_) => None,
        }
    }

    /// Records a first byte of a server, after which one more request may be sent there.
    pub(crate) fn record_first_byte(&mut self, server: VmId) {
        if let Some(Pacing::Returning(ramp)) = self.pacing.get_mut(&server) {
            ramp.first_bytes = ramp.first_bytes.saturating_add(1);
        }
    }

    /// Whether a probe or an order may be begun now.
    pub(crate) fn may_begin_control_call(&self, now: Moment, server: VmId) -> bool {
        match self.pacing.get(&server) {
            Some(Pacing::Paused(pause)) => pause.is_over(now) || pause.allows_control_call(now),
            Some(Pacing::Returning(_)) | None => true,
        }
    }

    /// The same for sending it. In a pause, counts it.
    pub(crate) fn begin_control_call(&mut self, now: Moment, server: VmId) -> bool {
        let is_allowed = self.may_begin_control_call(now, server);
        if let Some(Pacing::Paused(pause)) = self.pacing.get_mut(&server) {
            pause.was_called |= is_allowed && !pause.is_over(now);
        }
        is_allowed
    }

    /// Returns the reports that have ended since the last call.
    pub(crate) fn take_ended(&mut self) -> Vec<EndedReport> {
        std::mem::take(&mut self.ended)
    }
}
