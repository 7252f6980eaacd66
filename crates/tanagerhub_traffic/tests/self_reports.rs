//! Backend servers that report that they are about to leave or want a pause.

#[path = "support/advisor.rs"]
mod advisor;

use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::{EntryId, Epoch, GroupId, OrganisationId, RequestId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{
    AttemptEvent, Decision, Dispatch, EndedReport, MAX_PAUSE, Next, Reason, Repeat, RequestInfo,
    Route, RouteTable, SelfReport, ServerLifetime, Traffic,
};
use yare::parameterized;

const LEAVING: SelfReport = SelfReport {
    leaving: true,
    pause: None,
};
const SLOTS: u32 = 64;
/// How long a request may wait in the tests.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(400);

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

fn pause(millis: u64) -> SelfReport {
    SelfReport {
        leaving: false,
        pause: Some(Duration::from_millis(millis)),
    }
}

fn server(group: u64, started_ms: u64) -> ServerLifetime {
    ServerLifetime {
        server: VmId(group),
        started_ms,
    }
}

/// A node with groups 1 to `groups`, whose heads have started at 1; each has a member 100 higher.
struct Node {
    traffic: Traffic,
    next_id: u64,
}

impl Node {
    fn new(groups: u64) -> Self {
        let traffic = advisor::traffic(at(0), advisor::settings(), &[]);
        let mut node = Self {
            traffic,
            next_id: 0,
        };
        node.route(0, &(1..=groups).map(|group| (group, 1)).collect::<Vec<_>>());
        node
    }

    /// Lists groups with the starts of their heads.
    fn route(&mut self, millis: u64, heads: &[(u64, u64)]) {
        let route = |(group, started_ms): &(u64, u64)| {
            let address = ([127, 0, 0, 1], 9_000).into();
            let entry = EntryId::of("advisor");
            let mut route = Route::new(GroupId(*group), Epoch(1), entry, address);
            route.slots = Some(SLOTS);
            route.started_ms = *started_ms;
            route.members = Arc::new([server(100 + group, 1)]);
            route
        };
        let routes = heads.iter().map(route).collect();
        self.traffic.apply_routes(at(millis), RouteTable { routes });
    }

    fn submit(&mut self, millis: u64, repeat: Repeat) -> Decision {
        self.next_id += 1;
        let (organisation, entry) = (OrganisationId::of("shop"), EntryId::of("advisor"));
        let info = RequestInfo::new(RequestId(self.next_id), organisation, entry)
            .deadline(at(millis) + Duration::from_secs(8))
            .queue_timeout(QUEUE_TIMEOUT)
            .repeat(repeat);
        self.traffic.submit(at(millis), info)
    }

    fn dispatched(&mut self, millis: u64) -> Dispatch {
        match self.submit(millis, Repeat::Whole) {
            Decision::Dispatch(dispatch) => dispatch,
            other => panic!("not dispatched: {other:?}"),
        }
    }

    /// Returns how many of 32 requests at once are sent to a group; the others go elsewhere or wait.
    /// Then all callers leave.
    fn sent_to(&mut self, millis: u64, group: u64) -> usize {
        let first_id = self.next_id + 1;
        let decisions = (0..32).map(|_| self.submit(millis, Repeat::Whole));
        let sent: Vec<Dispatch> = decisions
            .collect::<Vec<_>>()
            .into_iter()
            .filter_map(|decision| match decision {
                Decision::Dispatch(dispatch) => Some(dispatch),
                Decision::Wait(_) | Decision::Refuse(_) => None,
            })
            .collect();
        for dispatch in &sent {
            let left = AttemptEvent::CallerLeft;
            self.traffic.report(at(millis), dispatch.attempt, left);
        }
        for id in first_id..=self.next_id {
            self.traffic.cancel_waiting(RequestId(id));
        }
        let to_group = sent.iter().filter(|it| it.group == GroupId(group));
        to_group.count()
    }

    fn report(&mut self, millis: u64, group: u64, report: SelfReport) {
        let server = server(group, 1);
        self.traffic
            .record_report_of(at(millis), server, report, false);
    }

    fn refused(&mut self, millis: u64) -> Option<(Reason, Duration)> {
        match self.submit(millis, Repeat::Whole) {
            Decision::Refuse(refusal) => Some((refusal.reason, refusal.retry_after.unwrap())),
            _ => None,
        }
    }
}

#[parameterized(
    head = { 1 },
    member = { 101 },
)]
fn leaving_takes_group_out_of_service(leaving: u64) {
    let mut node = Node::new(2);
    node.report(1, leaving, LEAVING);
    // Only the start of the server matters, not what the store lists.
    node.route(2, &[(1, 1), (2, 1)]);
    assert_eq!(node.sent_to(3_600_000, 1), 0);
}

/// A store that drops a server and lists it again must not bring it back.
#[test]
fn leaving_outlasts_removal_from_routes() {
    let mut node = Node::new(2);
    node.report(1, 1, LEAVING);
    node.route(2, &[(2, 1)]);
    node.route(60_000, &[(1, 1), (2, 1)]);
    assert_eq!(node.sent_to(60_000, 1), 0);
}

#[test]
fn later_start_serves_at_once() {
    let mut node = Node::new(2);
    node.report(1, 1, LEAVING);
    node.route(2, &[(1, 2), (2, 1)]);
    assert!(node.sent_to(2, 1) > 0);
    let ended = [EndedReport::Leaving(server(1, 1))];
    assert_eq!(node.traffic.take_ended_reports(), ended);
}

/// A response of the earlier start may arrive after the later one is known.
#[test]
fn late_report_of_earlier_start_has_no_effect() {
    let mut node = Node::new(1);
    let early = node.dispatched(1);
    node.route(2, &[(1, 2)]);
    node.traffic
        .record_self_report(at(3), early.attempt, LEAVING, false);
    assert!(node.sent_to(4, 1) > 0);
}

#[test]
fn all_leaving_is_no_group() {
    let mut node = Node::new(1);
    node.report(1, 101, LEAVING);
    assert_eq!(node.refused(2).map(|it| it.0), Some(Reason::NoGroup));
}

/// A request that was already assigned must not be sent after the report, and goes elsewhere without
/// an attempt or a retry being used up, also if it must not run twice.
#[parameterized(
    leaving = { LEAVING },
    paused = { pause(5_000) },
)]
fn assigned_request_is_withheld(report: SelfReport) {
    let mut node = Node::new(2);
    let Decision::Dispatch(first) = node.submit(1, Repeat::Never) else {
        panic!("not dispatched");
    };
    let other = GroupId(3 - first.group.0);
    assert!(node.traffic.may_send(at(1), first.attempt));
    node.report(2, first.group.0, report);
    assert!(!node.traffic.may_send(at(3), first.attempt));
    let next = node
        .traffic
        .report(at(3), first.attempt, AttemptEvent::Withheld);
    let Next::Retry(second) = next else {
        panic!("not sent elsewhere: {next:?}");
    };
    assert_eq!(second.group, other);
    assert!(node.traffic.may_send(at(3), second.attempt));
}

/// A running stream ends normally at a server that leaves.
#[test]
fn running_stream_stays_at_leaving_server() {
    let mut node = Node::new(2);
    let first = node.dispatched(1);
    node.traffic
        .report(at(2), first.attempt, AttemptEvent::Token(1));
    node.report(3, first.group.0, LEAVING);
    let finished = AttemptEvent::Finished { tokens: 9 };
    assert_eq!(
        node.traffic.report(at(900), first.attempt, finished),
        Next::Done
    );
}

#[test]
fn takeover_avoids_reported_servers() {
    let mut node = Node::new(3);
    let first = node.dispatched(1);
    let others: Vec<u64> = (1..=3).filter(|it| GroupId(*it) != first.group).collect();
    node.report(2, others[0], LEAVING);
    let second = node.traffic.take_over(at(900), first.attempt, 0).unwrap();
    assert_eq!(second.group, GroupId(others[1]));
    node.traffic.cancel_others(first.attempt);
    node.report(901, others[1], pause(60_000));
    assert!(!node.traffic.may_move(at(1_000), first.attempt));
    assert_eq!(node.traffic.take_over(at(1_000), first.attempt, 0), None);
}

#[test]
fn paused_server_gets_nothing_until_end() {
    let mut node = Node::new(2);
    let first = node.dispatched(1);
    let paused = first.group.0;
    node.traffic
        .record_self_report(at(2), first.attempt, pause(3_000), false);
    let refused = AttemptEvent::RefusedNotRun;
    let next = node.traffic.report(at(2), first.attempt, refused);
    assert!(matches!(next, Next::Retry(it) if it.group.0 != paused));
    for millis in (3..3_002).step_by(100) {
        assert_eq!(node.sent_to(millis, paused), 0, "at {millis}");
        node.traffic.poll(at(millis));
    }
    node.traffic.poll(at(3_002));
    assert!(node.sent_to(3_002, paused) > 0);
    let ended = [EndedReport::Pause(server(paused, 1))];
    assert_eq!(node.traffic.take_ended_reports(), ended);
}

/// The response may come from a start that this node learns of only later.
#[parameterized(
    earlier_start_listed = { 1 },
    start_unknown = { 0 },
)]
fn pause_outlasts_start_learned_later(listed: u64) {
    let mut node = Node::new(2);
    node.route(0, &[(1, listed), (2, 1)]);
    let asked = server(1, listed);
    node.traffic
        .record_report_of(at(1), asked, pause(3_000), false);
    node.route(200, &[(1, 2), (2, 1)]);
    let mut calls = 0;
    for millis in (200..3_001).step_by(100) {
        assert_eq!(node.sent_to(millis, 1), 0, "at {millis}");
        let call = node.traffic.begin_control_call(at(millis), VmId(1));
        calls += usize::from(call);
    }
    assert!(calls <= 1, "{calls}");
    node.traffic.poll(at(3_001));
    assert!(node.sent_to(3_001, 1) > 0);
}

/// The pause of a start that has ended since must not be shorter for a probe of the later one.
#[test]
fn pause_is_kept_while_server_is_not_listed() {
    let mut node = Node::new(2);
    node.report(1, 1, pause(3_000));
    node.route(200, &[(2, 1)]);
    node.route(400, &[(1, 2), (2, 1)]);
    assert_eq!(node.sent_to(400, 1), 0);
}

/// A shorter pause in a late response does not shorten the one in force.
#[test]
fn shorter_pause_changes_nothing() {
    let mut node = Node::new(1);
    node.report(0, 1, pause(2_000));
    node.report(100, 1, pause(100));
    assert_eq!(node.sent_to(1_900, 1), 0);
}

#[test]
fn pause_is_bounded() {
    let mut node = Node::new(1);
    let huge = SelfReport {
        leaving: false,
        pause: Some(Duration::MAX),
    };
    node.report(0, 1, huge);
    let (reason, wait) = node.refused(1).unwrap();
    assert_eq!(reason, Reason::Paused);
    assert_eq!(wait + Duration::from_millis(1), MAX_PAUSE);
}

/// The soonest end counts, and a server that could take the request before it is refused counts too.
#[test]
fn all_paused_is_refused_with_soonest_end() {
    let mut node = Node::new(2);
    node.report(0, 1, pause(5_000));
    assert_eq!(node.refused(1), None);
    node.report(1, 2, pause(2_000));
    let expected = (Reason::Paused, Duration::from_millis(1_901));
    assert_eq!(node.refused(100), Some(expected));
}

#[test]
fn pause_within_queue_timeout_is_waited_for() {
    let mut node = Node::new(1);
    node.report(0, 1, pause(300));
    let decision = node.submit(1, Repeat::Whole);
    assert!(matches!(decision, Decision::Wait(_)), "{decision:?}");
    assert_eq!(node.traffic.next_wakeup(), Some(at(300)));
    let polled = node.traffic.poll(at(300));
    assert!(matches!(polled[..], [(_, Decision::Dispatch(_))]));
}

/// Waiting requests must not all be sent at the end of a pause, but those that the server answers
/// let more follow.
#[test]
fn requests_return_one_by_one_after_pause() {
    let mut node = Node::new(1);
    node.report(0, 1, pause(300));
    for _ in 0..40 {
        node.submit(1, Repeat::Whole);
    }
    let (mut running, mut sent, mut most) = (Vec::new(), 0, 0);
    for millis in (300..400).step_by(10) {
        for dispatch in running.drain(..) {
            let responded = AttemptEvent::Responded;
            node.traffic.report(at(millis), dispatch, responded);
        }
        for (_, decision) in node.traffic.poll(at(millis)) {
            let Decision::Dispatch(dispatch) = decision else {
                panic!("refused: {decision:?}");
            };
            running.push(dispatch.attempt);
        }
        if millis == 300 {
            assert_eq!(running.len(), 1);
        }
        sent += running.len();
        most = most.max(running.len());
    }
    assert_eq!(sent, 40);
    assert!(most <= 16, "{most} at once");
}

/// A server that answers nothing after its pause must not be held at one request for ever.
#[test]
fn requests_return_without_responses_in_time() {
    let mut node = Node::new(1);
    node.report(0, 1, pause(100));
    node.traffic.poll(at(100));
    assert_eq!(node.sent_to(100, 1), 1);
    assert!(node.sent_to(1_100, 1) >= 4);
}

/// At most two requests may reach a paused server, and one may have been under way as the pause
/// began.
#[test]
fn control_call_and_late_request_are_two() {
    let mut node = Node::new(1);
    node.report(0, 1, pause(9_000));
    let mut calls = Vec::new();
    for millis in (0..9_000).step_by(100) {
        if node.traffic.begin_control_call(at(millis), VmId(1)) {
            calls.push(millis);
        }
    }
    assert_eq!(calls, [4_500]);
    // One that answers with another pause gets no further calls.
    node.report(6_000, 1, pause(9_000));
    assert!(!node.traffic.begin_control_call(at(14_900), VmId(1)));
    assert!(node.traffic.begin_control_call(at(15_000), VmId(1)));
}

#[test]
fn report_in_pause_tells_time_since_its_beginning() {
    let mut node = Node::new(1);
    let mut again_after = |millis| {
        let report = pause(1_000);
        let change = node
            .traffic
            .record_report_of(at(millis), server(1, 1), report, false);
        change.again_after.map(|it| it.as_millis())
    };
    assert_eq!(again_after(0), None);
    assert_eq!(again_after(700), Some(700));
    assert_eq!(again_after(1_600), Some(1_600));
    assert_eq!(again_after(2_600), None);
}

#[test]
fn invalid_report_is_told_once_per_server() {
    let mut node = Node::new(2);
    let mut is_first = |group, started_ms| {
        let server = server(group, started_ms);
        let report = SelfReport::default();
        let change = node.traffic.record_report_of(at(1), server, report, true);
        change.is_first_invalid
    };
    assert!(is_first(1, 1) && is_first(2, 1) && is_first(1, 2));
    assert!(!is_first(1, 1) && !is_first(2, 1));
}
