//! Applies the updates of the store's feeds.

use std::collections::BTreeSet;
use std::sync::Arc;

use tanagerhub_catalogue::{DataCentreId, VmId, VmState};
use tanagerhub_clock::Moment;
use tanagerhub_groups::{GroupsEvent, VmReport};
use tanagerhub_table::{FeedError, FeedPage, PageKind, VersionedRow};

use super::GatewayControl;
use crate::gateway::OperatorRow;
use crate::gateway::feed::FeedUpdate;

impl GatewayControl {
    /// Applies an update of the operators' rows and records when they were last current.
    ///
    /// A restored table takes back no evacuation, as its row may have been lost with what the store
    /// lost. Neither does it take back a configuration, whose versions never fall.
    pub(super) fn apply_operator_rows(&mut self, now: Moment, update: FeedUpdate) {
        let page = match update.page {
            Ok(page) => page,
            Err(error) => return self.record_store_failure(now, &error),
        };
        if std::mem::take(&mut self.view.store_unreachable) {
            log::info!(age_ms = self.shared.age().as_millis(); "the store answers again");
            self.handle_groups_event(now, GroupsEvent::StoreReachable);
        }
        if update.kind == PageKind::All {
            let is_listed = |data_centre: &String| {
                page.rows.iter().any(|row| {
                    let subject = self.adapters.dialect.operator_row(row.key.name());
                    row.value.is_some() && subject == OperatorRow::Evacuation(data_centre.clone())
                })
            };
            let kept: BTreeSet<String> = self
                .view
                .evacuated
                .iter()
                .filter(|data_centre| is_listed(data_centre))
                .cloned()
                .collect();
            self.set_evacuated(now, kept);
        }
        for row in &page.rows {
            self.apply_operator_row(now, row);
        }
        if let Some(confirmed_at) = update.confirmed_at {
            self.shared.record_confirmation(confirmed_at);
        }
    }

    fn record_store_failure(&mut self, now: Moment, error: &FeedError) {
        if !std::mem::replace(&mut self.view.store_unreachable, true) {
            let age = self.shared.age();
            log::warn!(error:%, age_ms = age.as_millis(); "the store does not answer");
            self.handle_groups_event(now, GroupsEvent::StoreUnreachable);
        }
    }

    fn apply_operator_row(&mut self, now: Moment, row: &VersionedRow) {
        match self.adapters.dialect.operator_row(row.key.name()) {
            OperatorRow::Configuration => {
                if let Some(value) = &row.value {
                    self.apply_configuration(now, value);
                }
            }
            OperatorRow::Evacuation(data_centre) => {
                let mut evacuated = self.view.evacuated.clone();
                if row.value.is_some() {
                    evacuated.insert(data_centre);
                } else {
                    evacuated.remove(&data_centre);
                }
                self.set_evacuated(now, evacuated);
            }
            OperatorRow::Other => {}
        }
    }

    fn set_evacuated(&mut self, now: Moment, data_centres: BTreeSet<String>) {
        if data_centres == self.view.evacuated {
            return;
        }
        log::info!(zones:? = data_centres; "data centres out of service");
        let ids = data_centres
            .iter()
            .map(|data_centre| DataCentreId::of(data_centre))
            .collect();
        self.view.evacuated = data_centres;
        self.handle_groups_event(now, GroupsEvent::Evacuated(ids));
        self.publish_routes(now);
    }

    fn apply_configuration(&mut self, now: Moment, value: &[u8]) {
        let configuration = match self.adapters.dialect.configuration(value) {
            Ok(configuration) => configuration,
            Err(error) => {
                log::error!(error:%; "invalid configuration ignored; the last one stays in force");
                return;
            }
        };
        let current = self.view.configuration.as_ref().map(|it| it.version);
        if current.is_some_and(|current| current >= configuration.version) {
            return;
        }
        log::info!(version = configuration.version, before = current; "configuration in force");
        let configuration = Arc::new(configuration);
        self.limits.set(configuration.limits);
        self.shared.set_configuration(Arc::clone(&configuration));
        let engines = configuration.engines.clone();
        self.view.configuration = Some(configuration);
        self.handle_groups_event(now, GroupsEvent::Engines(engines));
        self.view.heads.clear();
        self.view.routes_revision = None;
        self.publish_routes(now);
    }

    pub(super) fn apply_vm_rows(&mut self, now: Moment, update: FeedUpdate) {
        let page = match update.page {
            Ok(page) => page,
            Err(error) => return log_feed_failure("vms", &mut self.view.vm_feed_failed, &error),
        };
        log_feed_recovery("vms", &mut self.view.vm_feed_failed);
        match update.kind {
            PageKind::All => {
                let rows = page.rows.iter();
                let reports = rows.filter_map(|row| self.vm_report(row)).collect();
                self.handle_groups_event(now, GroupsEvent::AllVms(reports));
            }
            PageKind::Restored => self.apply_restored_vms(now, &page),
            PageKind::Changes => {
                // The order matters, since a page may contain several changes of one row.
                for row in &page.rows {
                    let removed = || GroupsEvent::VmRemoved(VmId::of(row.key.name()));
                    let event = self
                        .vm_report(row)
                        .map_or_else(removed, GroupsEvent::VmChanged);
                    self.handle_groups_event(now, event);
                }
            }
        }
        self.publish_routes(now);
    }

    /// Applies what a restored table says of VMs that are unknown here, or that leave.
    ///
    /// Of the others more is known than the table may hold. Those that are missing count as gone
    /// once the table is complete.
    fn apply_restored_vms(&mut self, now: Moment, page: &FeedPage) {
        for row in &page.rows {
            let Some(report) = self.vm_report(row) else {
                continue;
            };
            let is_known = self.groups.report(report.vm.id()).is_some();
            if !is_known || report.vm.state == VmState::Leaving {
                self.handle_groups_event(now, GroupsEvent::VmChanged(report));
            }
        }
    }

    /// Decodes the row of a VM; returns `None` if the row is deleted or invalid.
    ///
    /// The platform's rule is that an invalid row names no VM to use. It is not written by nodes, so the
    /// rule for values of other builds doesn't apply.
    fn vm_report(&self, row: &VersionedRow) -> Option<VmReport> {
        let name = row.key.name();
        match self.adapters.dialect.vm(name, row.value.as_ref()?) {
            Ok(report) => Some(report),
            Err(error) => {
                let error = format!("row of VM {name}: {error}");
                self.metrics.unreadable_value("vm", &error);
                None
            }
        }
    }

    pub(super) fn apply_node_rows(&mut self, now: Moment, update: FeedUpdate) {
        let page = match update.page {
            Ok(page) => page,
            Err(error) => {
                self.view.node_rows_current = false;
                self.presence.record_read_failure();
                return log_feed_failure("nodes", &mut self.view.node_feed_failed, &error);
            }
        };
        log_feed_recovery("nodes", &mut self.view.node_feed_failed);
        if let Err(error) = self.presence.apply_page(now, &page, update.kind) {
            self.metrics.unreadable_value("node", &error);
        }
        self.view.node_rows_current = true;
        self.update_presence(now);
    }
}

/// Logs a failing feed once, until it responds again.
pub(super) fn log_feed_failure(table: &str, failed: &mut bool, error: &FeedError) {
    if !std::mem::replace(failed, true) {
        log::warn!(table, error:%; "a feed does not answer");
    }
}

/// Logs that a failed feed responds again.
pub(super) fn log_feed_recovery(table: &str, failed: &mut bool) {
    if std::mem::take(failed) {
        log::info!(table; "a feed answers again");
    }
}
