//! Fault injection, and the routes that nodes receive.

use std::time::Duration;

use tanagerhub_catalogue::{EntryId, Epoch, GroupId};
use tanagerhub_traffic::{AttemptEvent, LoadReport, Route, RouteTable};

use super::setup::data_centre_id;
use super::{
    COLD_LIMIT, CONTROL_LAG, DATA_CENTRES, ENTRY, Event, GroupView, Simulation, TICK_INTERVAL,
};
use crate::simulation::engine::Engine;
use crate::simulation::scenario::Fault;

impl Simulation {
    pub(super) fn crash_group(&mut self, group: usize) {
        for job in self.engines[group].crash() {
            self.report(job.request, job.attempt, AttemptEvent::Broke);
        }
        let view = GroupView {
            eligible: false,
            ..self.views[group]
        };
        self.publish_view(group, view);
    }

    pub(super) fn publish_view(&mut self, group: usize, view: GroupView) {
        self.pending_views.push((group, view));
        self.schedule_after(CONTROL_LAG, Event::ViewUpdate(self.pending_views.len() - 1));
    }

    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(group) => self.crash_group(group),
            Fault::Slow(group, factor) => self.engines[group].slowdown = factor,
            Fault::AllAttemptsBreak => self.all_attempts_break = true,
            Fault::DataCentreMarkedOut(data_centre)
            | Fault::DataCentreDown(data_centre)
            | Fault::DataCentreRestored(data_centre)
            | Fault::DataCentreWarm(data_centre) => {
                for group in (data_centre..self.scenario.groups).step_by(DATA_CENTRES) {
                    self.apply_data_centre_fault(group, fault);
                }
            }
        }
    }

    pub(super) fn apply_data_centre_fault(&mut self, group: usize, fault: Fault) {
        let mut view = self.views[group];
        match fault {
            Fault::DataCentreDown(_) => return self.crash_group(group),
            Fault::DataCentreMarkedOut(_) => view.draining = true,
            Fault::DataCentreRestored(_) => {
                self.engines[group] = Engine::new();
                self.engines[group].cold_limit = Some(COLD_LIMIT);
                view.epoch += 1;
                view.eligible = true;
                view.draining = false;
                view.cold = true;
            }
            _ => {
                self.engines[group].cold_limit = None;
                view.cold = false;
            }
        }
        self.publish_view(group, view);
    }

    /// Sends the routes to every node, with the loads measured at the previous tick.
    pub(super) fn handle_tick(&mut self) {
        for node in 0..self.nodes.len() {
            let table = self.route_table(node);
            self.nodes[node].routes(self.now, table);
            self.poll(node);
        }
        for (view, engine) in self.views.iter_mut().zip(&self.engines) {
            view.load = engine.load();
        }
        if self.now < self.end + self.scenario.deadline {
            self.schedule_after(TICK_INTERVAL, Event::Tick);
        }
    }

    pub(super) fn route_table(&self, node: usize) -> RouteTable {
        let routes = self.views.iter().enumerate().map(|(group, view)| {
            let port = 9_000 + u16::try_from(group).unwrap();
            let mut route = Route::new(
                GroupId(group as u64 + 1),
                Epoch(view.epoch),
                EntryId::of(ENTRY),
                ([127, 0, 0, 1], port).into(),
            );
            route.data_centre = data_centre_id(group);
            route.eligible = view.eligible;
            route.draining = view.draining;
            route.attested = Duration::from_millis(300);
            let listed = (0..COLD_LIMIT).any(|slot| (group + slot) % self.scenario.nodes == node);
            route.cold = view.cold.then_some(u32::from(listed));
            route.load = Some(LoadReport {
                running: view.load.0,
                waiting: view.load.1,
                age: TICK_INTERVAL,
            });
            route
        });
        RouteTable {
            routes: routes.collect(),
        }
    }
}
