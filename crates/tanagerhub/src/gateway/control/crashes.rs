//! Exchanges the strikes of crashing requests with other nodes through the store.

use std::time::Duration;

use tanagerhub_clock::Moment;
use tanagerhub_table::CommitResult;
use tanagerhub_traffic::{CrashRow, CrashRowChanges};

use super::{GatewayControl, to_json};
use crate::gateway::control::feeds::{log_feed_failure, log_feed_recovery};
use crate::gateway::feed::FeedUpdate;

/// The delay after a failed write of strikes.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The interval at which strikes that are too old are dropped.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// The state of writing strikes to the store.
#[derive(Debug, Default)]
pub(super) struct CrashWriter {
    /// Whether a write has not been answered.
    is_writing: bool,
    /// The moment before which no write starts.
    retry_at: Moment,
    expired_at: Moment,
    feed_failed: bool,
}

impl GatewayControl {
    /// Logs the decisions on crashing requests, and writes changed strikes to the store.
    pub(super) fn share_crashes(&mut self, now: Moment) {
        let writer = &mut self.view.crash_writer;
        let may_write = !writer.is_writing && now >= writer.retry_at;
        let expires = now.since(writer.expired_at) >= EXPIRY_PERIOD;
        if expires {
            writer.expired_at = now;
        }
        let deletes_rows = self.groups.is_planning();
        let (decisions, changes) = self.traffic.update(|traffic, now| {
            let table = traffic.crash_table();
            if expires {
                table.expire_rows(now, deletes_rows);
            }
            let changes = if may_write {
                table.take_row_changes(now)
            } else {
                CrashRowChanges::default()
            };
            (table.take_decisions(), changes)
        });
        for decision in decisions {
            self.metrics.crash_decision(decision.label());
            let text = to_json(&decision);
            log::info!(target: "tanagerhub::crashes", detail = text.as_str(); "crash decision");
        }
        if !changes.is_empty() {
            self.view.crash_writer.is_writing = true;
            self.executor.write_crash_rows(changes);
        }
    }

    pub(super) fn crash_rows_written(
        &mut self,
        now: Moment,
        commit: CommitResult,
        changes: CrashRowChanges,
    ) {
        self.view.crash_writer.is_writing = false;
        if matches!(commit, CommitResult::Applied(_)) {
            return;
        }
        log::warn!(commit:?; "strikes of crashing requests not written");
        self.view.crash_writer.retry_at = now + WRITE_RETRY_DELAY;
        self.traffic
            .update(|traffic, _| traffic.crash_table().restore_row_changes(changes));
    }

    pub(super) fn apply_crash_rows(&mut self, update: FeedUpdate) {
        let feed_failed = &mut self.view.crash_writer.feed_failed;
        let page = match update.page {
            Ok(page) => page,
            Err(error) => return log_feed_failure("crashes", feed_failed, &error),
        };
        log_feed_recovery("crashes", feed_failed);
        let rows = page.rows.iter().filter_map(|row| {
            let crash_row = CrashRow::parse(row.key.name())?;
            Some((crash_row, row.value.is_some()))
        });
        let rows: Vec<(CrashRow, bool)> = rows.collect();
        self.traffic.update(|traffic, now| {
            let table = traffic.crash_table();
            if update.all {
                let listed: Vec<CrashRow> = rows.iter().map(|(row, _)| *row).collect();
                return table.apply_all_rows(now, &listed);
            }
            for (row, exists) in rows {
                if exists {
                    table.apply_row(now, row);
                } else {
                    table.remove_row(row);
                }
            }
        });
    }
}
