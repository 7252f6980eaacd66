//! The state of one VM, according to its reports and the results of probes.

use std::time::Duration;

use tanagerhub_catalogue::{DataCentreId, DomainId, Epoch, GroupId, VmState};
use tanagerhub_clock::Moment;

use crate::{GroupReport, GroupState, GroupsSettings, ProbeFailure, VmReport};

use super::group::SentOrder;
use super::order_tries::OrderTries;
use super::peer_view::PeerView;
use super::silence::Silence;
use super::stray::EndingGroup;

/// The greatest age of the state that a probe returns.
pub(super) const MAX_REPORT_LAG: Duration = Duration::from_millis(400);
/// The longest time between two rejected probes that count as one busy period. It is at least the
/// interval at which the planner probes a member.
const MAX_BUSY_GAP: Duration = Duration::from_millis(2_500);
/// How long a VM must reject probes until it is considered ended; a shorter time may be a fault of
/// the link.
const MIN_REJECTION_TIME: Duration = Duration::from_millis(500);
/// How long a VM is asked for a report that can be used.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The time after which a VM that has given none is asked again.
const REPORT_RETRY_DELAY: Duration = Duration::from_secs(5);
/// The time within which a VM is seen to begin a load.
const LOAD_BEGIN_TIME: Duration = Duration::from_secs(1);
/// How long a suspicion affects the failure count of a VM.
const SUSPICION_LIFETIME: Duration = Duration::from_millis(500);

/// The state of one VM.
#[derive(Debug)]
pub(super) struct VmEntry {
    pub(super) report: VmReport,
    /// What the VM itself said last; `None` before the first probe of this start.
    pub(super) own: Option<OwnReport>,
    /// The last group that the VM was known to be in, by its own reports or its answer to a join.
    pub(super) seen_in: Option<SeenIn>,
    /// When it was last asked for its report because of a join.
    pub(super) asked_at: Option<Moment>,
    /// Since when it is asked for a report, because of joins, and has given none that can be used.
    report_due_since: Option<Moment>,
    /// When the last order was sent to it.
    pub(super) ordered_at: Moment,
    /// The orders that it has not begun.
    pub(super) tries: OrderTries,
    /// The last order that it was sent because it is to be free.
    pub(super) stray_order: Option<SentOrder>,
    /// The group that it serves and whose requests it is to finish.
    pub(super) ending: Option<EndingGroup>,
    /// Until when it must not join a group, because the head of the one that it left may not have
    /// broken off.
    pub(super) waits_until: Moment,
    /// The VM's fabric domain, as in the report.
    pub(super) domain: DomainId,
    /// The VM's data centre, as in the report.
    pub(super) data_centre: DataCentreId,
    /// The removal from the store; `None` while the store lists the VM.
    pub(super) removed: Option<Removal>,
    /// The number of consecutive failed probes; one of a suspected VM counts as several.
    pub(super) failures: u32,
    /// When the last failed probe was sent.
    pub(super) failed_at: Moment,
    /// When the VM became unreachable; meaningful only while it is.
    unreachable_since: Moment,
    /// The period in which it rejects probes; `None` after a successful probe.
    busy_period: Option<BusyPeriod>,
    /// The period in which it leaves probes unanswered; `None` after a response.
    silence: Option<Silence>,
    /// Whether failed probes showed that the VM will not go on; meaningful only while it is
    /// unreachable.
    ended: bool,
    /// What other nodes found; meaningful only while it has ended.
    pub(super) peer_view: PeerView,
    /// When the store last reported a change.
    pub(super) changed_at: Moment,
    pub(super) probed_at: Moment,
    pub(super) probe_pending: bool,
    /// When the VM was last suspected: requests at its group failed, or the store removed the VM.
    pub(super) suspected_at: Moment,
    /// The start of the backend server that reported that it is about to leave.
    pub(super) leaving_start: Option<u64>,
    /// The model that it was ordered to load, and when.
    pub(super) staging: Option<(String, Moment)>,
}

/// What a VM said of itself in response to a probe.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnReport {
    /// When the probe was sent.
    pub(super) asked_at: Moment,
    pub(super) group: Option<GroupReport>,
    /// Whether it was executing an order.
    pub(super) busy: bool,
    pub(super) order_count: u64,
}

/// A group that a VM was known to be in.
#[derive(Debug, Clone, Copy)]
pub(super) struct SeenIn {
    group: GroupId,
    epoch: Epoch,
    /// The number of orders that the VM had accepted then.
    order_count: u64,
    /// When that was known.
    at: Moment,
}

/// A period in which a VM rejects probes.
#[derive(Debug, Clone, Copy)]
struct BusyPeriod {
    first: Moment,
    last: Moment,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Removal {
    pub(super) since: Moment,
    pub(super) relist_deadline: Moment,
    /// Whether the time in which it could be listed again has passed.
    pub(super) confirmed: bool,
}

impl VmEntry {
    pub(super) fn new(report: VmReport) -> Self {
        Self {
            domain: report.vm.domain_id(),
            data_centre: report.vm.data_centre_id(),
            report,
            own: None,
            seen_in: None,
            asked_at: None,
            report_due_since: None,
            ordered_at: Moment::ZERO,
            tries: OrderTries::default(),
            stray_order: None,
            ending: None,
            waits_until: Moment::ZERO,
            removed: None,
            failures: 0,
            failed_at: Moment::ZERO,
            unreachable_since: Moment::ZERO,
            busy_period: None,
            silence: None,
            ended: false,
            peer_view: PeerView::default(),
            changed_at: Moment::ZERO,
            probed_at: Moment::ZERO,
            probe_pending: false,
            suspected_at: Moment::ZERO,
            leaving_start: None,
            staging: None,
        }
    }

    /// Returns whether the VM is unreachable, or removed from the store for good.
    pub(super) fn is_unavailable(&self, settings: &GroupsSettings) -> bool {
        !self.is_listed() || self.is_unreachable(settings)
    }

    /// Returns whether the VM will not go on: it has ended, or was removed from the store for good.
    pub(super) fn is_lost(&self, settings: &GroupsSettings) -> bool {
        !self.is_listed() || self.has_ended(settings)
    }

    /// Returns whether the VM will not go on, as other nodes have confirmed: it has ended, or was
    /// removed from the store for good.
    pub(super) fn is_gone(&self, settings: &GroupsSettings) -> bool {
        let is_confirmed = self.peer_view == PeerView::Unreached;
        !self.is_listed() || self.has_ended(settings) && is_confirmed
    }

    /// Returns whether the VM is unreachable, and not merely silent for a short time.
    pub(super) fn has_ended(&self, settings: &GroupsSettings) -> bool {
        self.is_unreachable(settings) && (self.ended || !self.is_listed())
    }

    /// Returns whether the VM leaves probes unanswered and may still go on.
    pub(super) const fn is_silent(&self) -> bool {
        !self.ended && self.silence.is_some()
    }

    /// Returns whether an unanswered probe that is sent now shows that the VM has been silent for
    /// too long.
    pub(super) fn is_silence_due(&self, now: Moment, settings: &GroupsSettings) -> bool {
        let is_long = |silence: Silence| silence.length(now) >= settings.silence_timeout;
        !self.ended && self.silence.is_some_and(is_long)
    }

    /// Returns whether the VM has failed enough probes to count as unreachable.
    pub(super) const fn is_unreachable(&self, settings: &GroupsSettings) -> bool {
        self.failures >= settings.probe_failure_limit
    }

    /// Returns whether the VM fails probes, and began to do so within the last `period`.
    pub(super) fn failed_within(
        &self,
        now: Moment,
        period: Duration,
        settings: &GroupsSettings,
    ) -> bool {
        let since = if self.is_unreachable(settings) {
            self.unreachable_since
        } else {
            self.failed_at
        };
        self.failures > 0 && now.since(since) < period
    }

    /// Returns the group and epoch that the VM may be serving as the head.
    ///
    /// It reported this last, and it has not been unreachable for longer than a head serves on its
    /// own.
    pub(super) fn may_serve(
        &self,
        now: Moment,
        settings: &GroupsSettings,
    ) -> Option<(GroupId, Epoch)> {
        let membership = self.report.group.filter(|_| self.is_serving_head())?;
        let stalled = self.is_unreachable(settings)
            && now.since(self.unreachable_since) >= settings.stall_timeout;
        (!stalled).then_some((membership.group, membership.epoch))
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.report.vm.state == VmState::Leaving
            || self.leaving_start == Some(self.report.started_ms)
    }

    /// Returns whether the store lists the VM, or may list it again shortly.
    pub(super) fn is_listed(&self) -> bool {
        self.removed.is_none_or(|removal| !removal.confirmed)
    }

    /// Confirms the removal if it is final. Returns the group that has lost a member with it,
    /// unless the VM left with notice.
    pub(super) fn confirm_removal(&mut self, now: Moment) -> Option<(GroupId, Epoch)> {
        let leaves = self.is_leaving();
        let removal = self.removed.as_mut().filter(|it| !it.confirmed)?;
        removal.confirmed = removal.relist_deadline <= now;
        (removal.confirmed && !leaves).then(|| self.report.served_group())
    }

    /// Applies a probed report, whose state may be older than the probe by up to
    /// [`MAX_REPORT_LAG`]. If the store may have reported a newer state, only `busy` is applied,
    /// which the store's rows don't contain.
    pub(super) fn apply_probe(&mut self, sent: Moment, report: VmReport) {
        // A report without the number of orders proves nothing.
        self.own = report.order_count.map(|order_count| OwnReport {
            asked_at: sent,
            group: report.group,
            busy: report.busy != Some(false),
            order_count,
        });
        if self.own.is_some() {
            self.report_due_since = None;
        }
        if let Some((own, it)) = self.own.and_then(|own| Some((own, own.group?))) {
            self.record_membership(sent, (it.group, it.epoch), own.order_count);
        }
        if sent >= self.changed_at + MAX_REPORT_LAG {
            self.apply_report(report);
        } else {
            self.report.busy = report.busy;
        }
    }

    pub(super) fn apply_report(&mut self, report: VmReport) {
        let restarted = report.started_ms != self.report.started_ms;
        if restarted {
            self.forget_report();
            self.waits_until = Moment::ZERO;
            self.forget_sent();
            self.clear_failures();
        }
        if self
            .staging
            .as_ref()
            .is_some_and(|(model, _)| report.has_staged(model))
        {
            self.staging = None;
        }
        // A head breaks off by itself.
        let has_broken = report
            .group
            .is_some_and(|it| it.state == GroupState::Broken);
        if report.staged != self.report.staged || report.group != self.report.group && !has_broken {
            self.tries.record_begun();
        }
        if report.group.is_some() && report.served_group() != self.report.served_group() {
            self.tries.record_joined();
        }
        let busy = report.busy.or(self.report.busy.filter(|_| !restarted));
        self.domain = report.vm.domain_id();
        self.data_centre = report.vm.data_centre_id();
        self.report = report;
        self.report.busy = busy;
    }

    /// Records a rejected probe. Returns whether the rejection may be due to load alone.
    ///
    /// Only a head accepts requests; any other member has no load that would make it reject probes.
    pub(super) fn record_turned_away(&mut self, now: Moment, settings: &GroupsSettings) -> bool {
        let recent = self
            .busy_period
            .filter(|before| now.since(before.last) < MAX_BUSY_GAP);
        let first = recent.map_or(now, |before| before.first);
        self.busy_period = Some(BusyPeriod { first, last: now });
        self.silence = None;
        self.is_serving_head() && now.since(first) < settings.busy_timeout
    }

    /// Returns whether the VM is the head of a group that is open or closing.
    pub(super) const fn is_serving_head(&self) -> bool {
        match &self.report.group {
            Some(membership) => matches!(membership.state, GroupState::Open | GroupState::Closing),
            None => false,
        }
    }

    /// Forgets the orders of an earlier term. What they began is seen in the VM's reports.
    pub(super) fn forget_orders(&mut self) {
        self.staging = None;
        self.forget_sent();
        self.forget_report();
        self.peer_view = PeerView::Unasked;
    }

    /// Forgets what the VM was ordered, and how it took that.
    fn forget_sent(&mut self) {
        self.tries = OrderTries::default();
        self.stray_order = None;
        self.ending = None;
    }

    /// Forgets what the VM has said of itself, because it may not hold any more.
    pub(super) fn forget_report(&mut self) {
        self.own = None;
        self.seen_in = None;
    }

    /// Records that the VM was in a group when it had accepted this many orders, unless a later
    /// membership is known: what a VM reports lags behind.
    pub(super) fn record_membership(
        &mut self,
        at: Moment,
        (group, epoch): (GroupId, Epoch),
        order_count: u64,
    ) {
        let is_newest = |seen: SeenIn| seen.order_count <= order_count;
        if self.seen_in.is_none_or(is_newest) {
            self.seen_in = Some(SeenIn {
                group,
                epoch,
                order_count,
                at,
            });
        }
    }

    /// Returns whether the VM has not been asked since the last order to it, so that what it said
    /// allows no join.
    pub(super) fn is_report_outdated(&self) -> bool {
        self.own.is_none_or(|own| own.asked_at < self.ordered_at)
    }

    /// Returns whether the VM's row tells of another membership than its report, and may be newer.
    pub(super) fn is_row_newer(&self, own: &OwnReport) -> bool {
        let membership = |it: GroupReport| (it.group, it.epoch, it.state);
        let differs = own.group.map(membership) != self.report.group.map(membership);
        differs && own.asked_at < self.changed_at + MAX_REPORT_LAG
    }

    /// Returns the number of orders that the VM had accepted as a member of a group; `None` if it was
    /// not known to be one since the last order to it.
    pub(super) fn count_in(&self, group: GroupId, epoch: Epoch) -> Option<u64> {
        let seen = self.seen_in.filter(|it| it.at >= self.ordered_at);
        let seen = seen.filter(|it| (it.group, it.epoch) == (group, epoch))?;
        Some(seen.order_count)
    }

    /// Records that the VM is asked for its report because of a join.
    pub(super) fn record_question(&mut self, now: Moment) {
        self.asked_at = Some(now);
        let since = self.report_due_since.get_or_insert(now);
        if now.since(*since) >= REPORT_TIMEOUT + REPORT_RETRY_DELAY {
            *since = now;
        }
    }

    /// Returns whether the VM, though it may be reachable, gives no report that can be used, so that it
    /// isn't asked now.
    pub(super) fn gives_no_report(&self, now: Moment) -> bool {
        let waited = self.report_due_since.map(|since| now.since(since));
        waited.is_some_and(|it| (REPORT_TIMEOUT..REPORT_TIMEOUT + REPORT_RETRY_DELAY).contains(&it))
    }

    /// Returns whether the VM can't be brought anywhere now: it begins no order, or gives no report.
    pub(super) fn is_unresponsive(&self, now: Moment) -> bool {
        self.tries.ignores_orders(now) || self.gives_no_report(now)
    }

    /// Records that an order is sent to the VM.
    pub(super) const fn record_order(&mut self, now: Moment) {
        self.ordered_at = now;
        self.tries.record_sent(now);
    }

    /// Returns whether the VM was ordered to finish the requests of a group that it serves.
    pub(super) fn is_ending(&self, group: GroupId, epoch: Epoch) -> bool {
        self.ending
            .is_some_and(|it| (it.group, it.epoch) == (group, epoch))
    }

    /// Records that the VM is to finish the requests of a group. Returns since when it is.
    pub(super) fn begin_ending(&mut self, now: Moment, group: GroupId, epoch: Epoch) -> Moment {
        let is_same = |it: &EndingGroup| (it.group, it.epoch) == (group, epoch);
        let begun = self.ending.filter(is_same).unwrap_or(EndingGroup {
            group,
            epoch,
            since: now,
        });
        self.ending = Some(begun);
        begun.since
    }

    /// Returns whether the VM, which was a member of a group, has left it for good: it says so, and
    /// what it says is newer than its membership.
    pub(super) fn has_left(&self, group: GroupId, epoch: Epoch) -> bool {
        let is_member = |it: GroupReport| (it.group, it.epoch) == (group, epoch);
        let Some(own) = self.own.filter(|own| !own.group.is_some_and(is_member)) else {
            return false;
        };
        let is_settled = own.asked_at >= self.ordered_at + MAX_REPORT_LAG;
        let seen = self
            .seen_in
            .filter(|it| (it.group, it.epoch) == (group, epoch));
        is_settled || seen.is_some_and(|it| own.order_count > it.order_count)
    }

    /// Returns whether the VM did not answer the order to load a model.
    pub(super) const fn is_load_doubtful(&self) -> bool {
        self.staging.is_some() && self.tries.has_failed()
    }

    /// Returns whether the VM has not begun a load: it gave no answer, and its report, which is newer,
    /// tells that it executes no order.
    pub(super) fn has_not_begun_load(&self, now: Moment) -> bool {
        let Some((_, at)) = self.staging else {
            return false;
        };
        let is_idle = |own: OwnReport| own.asked_at >= at + MAX_REPORT_LAG && !own.busy;
        let is_doubtful = self.is_load_doubtful() && now.since(at) >= LOAD_BEGIN_TIME;
        is_doubtful && self.own.is_some_and(is_idle)
    }

    /// Returns the groups that the VM is in, according to itself and to its row.
    pub(super) fn memberships(&self) -> impl Iterator<Item = GroupReport> {
        let own = self.own.and_then(|own| own.group);
        [own, self.report.group].into_iter().flatten()
    }

    pub(super) fn clear_failures(&mut self) {
        self.failures = 0;
        self.busy_period = None;
        self.silence = None;
        self.ended = false;
        self.peer_view = PeerView::Unasked;
    }

    /// Counts a failed probe, which was sent at `sent`.
    pub(super) fn record_failure(
        &mut self,
        now: Moment,
        sent: Moment,
        cause: ProbeFailure,
        settings: &GroupsSettings,
    ) {
        self.failed_at = sent;
        self.ended |= match cause {
            ProbeFailure::TurnedAway => self
                .busy_period
                .is_some_and(|busy| now.since(busy.first) >= MIN_REJECTION_TIME),
            ProbeFailure::Unanswered => {
                let silence = Silence::extended(self.silence, now, sent, settings.silence_timeout);
                self.silence = Some(silence);
                silence.is_final()
            }
            ProbeFailure::Refused | ProbeFailure::Misdirected | ProbeFailure::Malformed => true,
            ProbeFailure::Paused => false,
        };
        // A suspicion and a failed probe are independent evidence, and together count as enough
        // failed probes.
        let suspected = now.since(self.suspected_at) < SUSPICION_LIFETIME && now > Moment::ZERO;
        let weight = if suspected {
            settings.probe_failure_limit
        } else {
            1
        };
        self.set_failures(now, self.failures.saturating_add(weight), settings);
    }

    /// Marks the VM as unreachable, because another VM or start responds at its address.
    pub(super) fn record_misdirected(&mut self, now: Moment, settings: &GroupsSettings) {
        self.ended = true;
        self.set_failures(now, settings.probe_failure_limit, settings);
    }

    fn set_failures(&mut self, now: Moment, failures: u32, settings: &GroupsSettings) {
        if !self.is_unreachable(settings) {
            self.unreachable_since = now;
        }
        self.failures = failures;
    }
}
