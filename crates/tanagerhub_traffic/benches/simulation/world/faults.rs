//! What goes wrong, and what nodes are shown.

use std::time::Duration;

use tanagerhub_catalogue::{EntryId, Epoch, GroupId};
use tanagerhub_traffic::{AttemptEvent, LoadReport, Route, RouteTable};

use super::setup::centre_id;
use super::{CENTRES, COLD_LIMIT, CONTROL_LAG, ENTRY, Event, GroupView, TICK, World};
use crate::simulation::engine::Engine;
use crate::simulation::plan::Fault;

impl World {
    pub(super) fn kill(&mut self, group: usize) {
        for job in self.engines[group].die() {
            self.report(job.request, job.attempt, AttemptEvent::Broke);
        }
        let view = GroupView {
            eligible: false,
            ..self.views[group]
        };
        self.show(group, view);
    }

    pub(super) fn show(&mut self, group: usize, view: GroupView) {
        self.news.push((group, view));
        self.after(CONTROL_LAG, Event::Seen(self.news.len() - 1));
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(group) => self.kill(group),
            Fault::Slow(group, factor) => self.engines[group].slowdown = factor,
            Fault::AllBreak => self.breaking = true,
            Fault::CentreOut(centre)
            | Fault::CentreGone(centre)
            | Fault::CentreBack(centre)
            | Fault::CentreWarm(centre) => {
                for group in (centre..self.plan.groups).step_by(CENTRES) {
                    self.centre_fault(group, fault);
                }
            }
        }
    }

    pub(super) fn centre_fault(&mut self, group: usize, fault: Fault) {
        let mut view = self.views[group];
        match fault {
            Fault::CentreGone(_) => return self.kill(group),
            Fault::CentreOut(_) => view.draining = true,
            Fault::CentreBack(_) => {
                self.engines[group] = Engine::new();
                self.engines[group].cold = Some(COLD_LIMIT);
                view.epoch += 1;
                view.eligible = true;
                view.draining = false;
                view.cold = true;
            }
            _ => {
                self.engines[group].cold = None;
                view.cold = false;
            }
        }
        self.show(group, view);
    }

    /// Hands the routes to every node, with loads from the last tick.
    pub(super) fn tick(&mut self) {
        for node in 0..self.nodes.len() {
            let table = self.table(node);
            self.nodes[node].routes(self.now, table);
            self.poll(node);
        }
        for (view, engine) in self.views.iter_mut().zip(&self.engines) {
            view.load = engine.load();
        }
        if self.now < self.end + self.plan.deadline {
            self.after(TICK, Event::Tick);
        }
    }

    pub(super) fn table(&self, node: usize) -> RouteTable {
        let routes = self.views.iter().enumerate().map(|(group, view)| {
            let port = 9_000 + u16::try_from(group).unwrap();
            let mut route = Route::new(
                GroupId(group as u64 + 1),
                Epoch(view.epoch),
                EntryId::of(ENTRY),
                ([127, 0, 0, 1], port).into(),
            );
            route.data_centre = centre_id(group);
            route.eligible = view.eligible;
            route.draining = view.draining;
            route.attested = Duration::from_millis(300);
            let listed = (0..COLD_LIMIT).any(|slot| (group + slot) % self.plan.nodes == node);
            route.cold = view.cold.then_some(u32::from(listed));
            route.load = Some(LoadReport {
                running: view.load.0,
                waiting: view.load.1,
                age: TICK,
            });
            route
        });
        RouteTable {
            routes: routes.collect(),
        }
    }
}
