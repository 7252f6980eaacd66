//! Takes in what the store's feeds tell.

use std::collections::BTreeSet;
use std::sync::Arc;

use tanagerhub_catalogue::{DataCentreId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_groups::{GroupsEvent, VmReport};
use tanagerhub_table::{FeedError, VersionedRow};

use super::GatewayControl;
use crate::gateway::OperatorRow;
use crate::gateway::feed::FeedNews;

impl GatewayControl {
    /// Takes in the operators' rows, and dates what is known of them.
    pub(super) fn operators(&mut self, now: Moment, news: FeedNews) {
        let page = match news.page {
            Ok(page) => page,
            Err(error) => return self.note_store_failure(now, &error),
        };
        if std::mem::take(&mut self.view.store_lost) {
            log::info!(age_ms = self.shared.age().as_millis(); "the store answers again");
            self.tell_groups(now, GroupsEvent::StoreReachable);
        }
        if news.all {
            let listed = |zone: &String| {
                page.rows.iter().any(|row| {
                    let subject = self.edges.dialect.operator_row(row.key.name());
                    row.value.is_some() && subject == OperatorRow::Evacuation(zone.clone())
                })
            };
            let kept: BTreeSet<String> = self
                .view
                .evacuated
                .iter()
                .filter(|zone| listed(zone))
                .cloned()
                .collect();
            self.evacuate(now, kept);
        }
        for row in &page.rows {
            self.operator_row(now, row);
        }
        if let Some(proved) = news.proved {
            self.shared.prove(proved);
        }
    }

    fn note_store_failure(&mut self, now: Moment, error: &FeedError) {
        if !std::mem::replace(&mut self.view.store_lost, true) {
            let age = self.shared.age();
            log::warn!(error:%, age_ms = age.as_millis(); "the store does not answer");
            self.tell_groups(now, GroupsEvent::StoreUnreachable);
        }
    }

    fn operator_row(&mut self, now: Moment, row: &VersionedRow) {
        match self.edges.dialect.operator_row(row.key.name()) {
            OperatorRow::Configuration => {
                if let Some(value) = &row.value {
                    self.configure(now, value);
                }
            }
            OperatorRow::Evacuation(zone) => {
                let mut evacuated = self.view.evacuated.clone();
                if row.value.is_some() {
                    evacuated.insert(zone);
                } else {
                    evacuated.remove(&zone);
                }
                self.evacuate(now, evacuated);
            }
            OperatorRow::Other => {}
        }
    }

    fn evacuate(&mut self, now: Moment, zones: BTreeSet<String>) {
        if zones == self.view.evacuated {
            return;
        }
        log::info!(zones:? = zones; "data centres out of service");
        let ids = zones.iter().map(|zone| DataCentreId::of(zone)).collect();
        self.view.evacuated = zones;
        self.tell_groups(now, GroupsEvent::Evacuated(ids));
        self.publish_routes(now);
    }

    fn configure(&mut self, now: Moment, value: &[u8]) {
        let configuration = match self.edges.dialect.configuration(value) {
            Ok(configuration) => configuration,
            Err(error) => {
                log::error!(error:%; "the configuration can't be used; the last one stays");
                return;
            }
        };
        let known = self.view.configuration.as_ref().map(|it| it.version);
        if known.is_some_and(|known| known >= configuration.version) {
            return;
        }
        log::info!(version = configuration.version, before = known; "configuration in force");
        let configuration = Arc::new(configuration);
        self.limits.set(configuration.limits);
        self.shared.configure(Arc::clone(&configuration));
        let engines = configuration.engines.clone();
        self.view.configuration = Some(configuration);
        self.tell_groups(now, GroupsEvent::Engines(engines));
        self.view.heads.clear();
        self.publish_routes(now);
    }

    pub(super) fn vms(&mut self, now: Moment, news: FeedNews) {
        let page = match news.page {
            Ok(page) => page,
            Err(error) => return note_lost("vms", &mut self.view.vms_lost, &error),
        };
        note_back("vms", &mut self.view.vms_lost);
        if news.all {
            let rows = page.rows.iter();
            let reports = rows.filter_map(|row| self.vm_report(row)).collect();
            self.tell_groups(now, GroupsEvent::AllVms(reports));
        } else {
            // In order: a page may tell of several changes of a row.
            for row in &page.rows {
                let gone = || GroupsEvent::VmRemoved(VmId::of(row.key.name()));
                let event = self
                    .vm_report(row)
                    .map_or_else(gone, GroupsEvent::VmChanged);
                self.tell_groups(now, event);
            }
        }
        self.publish_routes(now);
    }

    /// What a VM's row says; nothing if it has been removed or can't be read.
    fn vm_report(&self, row: &VersionedRow) -> Option<VmReport> {
        let name = row.key.name();
        match self.edges.dialect.vm(name, row.value.as_ref()?) {
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(vm = name, error:%; "a VM's row can't be read: it counts as gone");
                None
            }
        }
    }

    pub(super) fn nodes(&mut self, now: Moment, news: FeedNews) {
        let page = match news.page {
            Ok(page) => page,
            Err(error) => {
                self.view.nodes_known = false;
                return note_lost("nodes", &mut self.view.nodes_lost, &error);
            }
        };
        note_back("nodes", &mut self.view.nodes_lost);
        if let Err(error) = self.presence.apply_rows(now, &page.rows, news.all) {
            log::warn!(error:%; "a node's row is ignored");
        }
        self.view.nodes_known = true;
        self.tend_presence(now);
    }
}

/// Logs that a table's feed is lost, once until it is back.
fn note_lost(table: &str, lost: &mut bool, error: &FeedError) {
    if !std::mem::replace(lost, true) {
        log::warn!(table, error:%; "a feed does not answer");
    }
}

/// Logs that a feed that was lost answers again.
fn note_back(table: &str, lost: &mut bool) {
    if std::mem::take(lost) {
        log::info!(table; "a feed answers again");
    }
}
