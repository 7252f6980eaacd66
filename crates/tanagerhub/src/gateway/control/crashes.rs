//! Exchanges crashes under requests with other nodes through the store.

use std::time::Duration;

use tanagerhub_clock::Moment;
use tanagerhub_table::CommitResult;
use tanagerhub_traffic::CrashRowChanges;

use super::{GatewayControl, to_json};
use crate::gateway::control::feeds::{log_feed_failure, log_feed_recovery};
use crate::gateway::feed::FeedUpdate;

/// The minimum time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// The delay after a failed write; it doubles with each further failure.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The maximum of this delay.
const MAX_WRITE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The interval at which crashes that are too old are dropped.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// The state of writing crashes to the store.
#[derive(Debug, Default)]
pub(super) struct CrashWriter {
    /// Whether a write has not been answered.
    is_writing: bool,
    /// The number of consecutive failed writes.
    failures: u32,
    /// The moment before which no write starts.
    write_at: Moment,
    expired_at: Moment,
    feed_failed: bool,
}

impl GatewayControl {
    /// Logs the decisions on crashing requests, and writes new crashes to the store.
    pub(super) fn share_crashes(&mut self, now: Moment) {
        let writer = &mut self.view.crash_writer;
        let may_write = !writer.is_writing && now >= writer.write_at;
        let expires = now.since(writer.expired_at) >= EXPIRY_PERIOD;
        if expires {
            writer.expired_at = now;
        }
        let deletes_rows = self.groups.is_planning();
        let (decisions, changes) = self.traffic.update(|traffic, now| {
            let table = traffic.crash_table();
            if expires {
                table.expire_events(now, deletes_rows);
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
        if changes.is_empty() {
            return;
        }
        if self.begin_store_call(now) {
            self.view.crash_writer.is_writing = true;
            self.executor.write_crash_rows(changes);
        } else {
            self.view.crash_writer.write_at = now + WRITE_RETRY_DELAY;
            self.restore_crash_rows(changes);
        }
    }

    pub(super) fn crash_rows_written(
        &mut self,
        now: Moment,
        commit: CommitResult,
        changes: CrashRowChanges,
    ) {
        let responded = matches!(commit, CommitResult::Applied(_) | CommitResult::Conflict);
        self.store_health.record_call(now, responded);
        let writer = &mut self.view.crash_writer;
        writer.is_writing = false;
        if matches!(commit, CommitResult::Applied(_)) {
            writer.failures = 0;
            writer.write_at = now + WRITE_INTERVAL;
            return;
        }
        log::warn!(commit:?; "crashes under requests not written");
        let factor = 2_u32.saturating_pow(writer.failures);
        let delay = WRITE_RETRY_DELAY.saturating_mul(factor);
        writer.write_at = now + delay.min(MAX_WRITE_RETRY_DELAY);
        writer.failures = writer.failures.saturating_add(1);
        self.restore_crash_rows(changes);
    }

    fn restore_crash_rows(&self, changes: CrashRowChanges) {
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
        let errors = self.traffic.update(|traffic, now| {
            let table = traffic.crash_table();
            table.apply_page(now, &page.rows, update.kind)
        });
        for error in errors {
            self.metrics.unreadable_value("crash", &error);
        }
    }
}
