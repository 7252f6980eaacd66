//! Shares one [`Traffic`] among the tasks that serve requests.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::Sender;
use tanagerhub_capacity::{Reply, Request};
use tanagerhub_catalogue::{Catalogue, NodeId, RequestId};
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_traffic::{Decision, GroupObservation, RequestInfo, Traffic};

use crate::snapshot::Snapshot;
use crate::ticket::Ticket;
use crate::wake::Wake;

/// The longest time between two polls of the queues.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The number of decisions that may be queued for one request's task.
const MAILBOX_SIZE: usize = 8;

/// The number of times that the replies of this node's own coordinator may lead to further requests
/// before these are dropped like lost datagrams.
const MAX_OWN_ROUNDS: usize = 8;

/// Sends group observations, and when they were made, to the control thread.
pub(crate) type ObservationSink = Box<dyn Fn(Moment, Vec<GroupObservation>) + Send + Sync>;

/// Sends requests to coordinators, and returns the replies of this node's own coordinator.
pub(crate) type CapacitySink = Box<dyn Fn(Vec<(NodeId, Request)>) -> Vec<Reply> + Send + Sync>;

/// The traffic decisions of a node, behind a lock.
///
/// Calls hold the lock for microseconds, and no task awaits while it holds the lock.
pub(crate) struct TrafficHandle {
    clock: Clock,
    inner: Mutex<Inner>,
    snapshot: ArcSwap<Snapshot>,
    observation_sink: ObservationSink,
    /// `None` if this node takes no part in shared capacity.
    capacity_sink: Option<CapacitySink>,
    wake: Wake,
}

#[derive(Debug)]
struct Inner {
    traffic: Traffic,
    /// When the polling task polls next, unless it is woken before.
    next_poll: Moment,
    generation: u64,
    catalogue: Arc<Catalogue>,
    mailboxes: HashMap<RequestId, Sender<Decision>>,
}

impl fmt::Debug for TrafficHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TrafficHandle")
            .field("inner", &self.inner)
            .finish_non_exhaustive()
    }
}

impl TrafficHandle {
    pub(crate) fn new(clock: Clock, traffic: Traffic, observation_sink: ObservationSink) -> Self {
        let inner = Inner {
            traffic,
            next_poll: Moment::ZERO,
            generation: 0,
            catalogue: Arc::default(),
            mailboxes: HashMap::new(),
        };
        Self {
            clock,
            inner: Mutex::new(inner),
            snapshot: ArcSwap::default(),
            observation_sink,
            capacity_sink: None,
            wake: Wake::default(),
        }
    }

    /// Sets the way to the coordinators of shared capacity.
    #[must_use]
    pub(crate) fn capacity_sink(mut self, sink: CapacitySink) -> Self {
        self.capacity_sink = Some(sink);
        self
    }

    /// Replaces the snapshot and wakes the polling task.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        self.snapshot.store(Arc::new(snapshot));
        self.wake.signal();
    }

    /// Returns the newest snapshot.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns whether a request may be sent at this moment.
    ///
    /// Checked right before sending, since the process may have been paused after the decision.
    pub(crate) fn may_send(&self) -> bool {
        self.snapshot.load().takes_work(self.clock.now())
    }

    /// Calls `act` with the lock held, after the newest snapshot has been applied.
    pub(crate) fn with<T>(&self, act: impl FnOnce(&mut Traffic, Moment) -> T) -> T {
        let result = self.run_locked(|inner, now| act(&mut inner.traffic, now));
        self.wake.signal();
        result
    }

    /// Calls `act` with the lock held, like [`with`](Self::with), for changes that make no request
    /// ready to be sent.
    pub(crate) fn update<T>(&self, act: impl FnOnce(&mut Traffic, Moment) -> T) -> T {
        self.run_locked(|inner, now| act(&mut inner.traffic, now))
    }

    /// Submits a request; later decisions on it arrive through the ticket.
    pub(crate) fn submit(self: &Arc<Self>, info: RequestInfo) -> (Ticket, Decision) {
        let (sender, mailbox) = async_channel::bounded(MAILBOX_SIZE);
        let id = info.id;
        let decision = self.run_locked(|inner, now| {
            inner.mailboxes.insert(id, sender);
            inner.traffic.submit(now, info)
        });
        self.wake.signal();
        (Ticket::new(Arc::clone(self), id, mailbox), decision)
    }

    /// Removes a request's mailbox, and the request itself if it is still queued.
    pub(crate) fn remove_request(&self, id: RequestId) {
        self.run_locked(|inner, _| {
            inner.mailboxes.remove(&id);
            inner.traffic.cancel_waiting(id);
        });
    }

    /// Polls the queues until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let wait = self.poll();
            self.wake.wait(&self.clock, wait).await;
        }
    }

    /// Delivers due decisions, and returns the time until the next poll.
    fn poll(&self) -> Duration {
        self.run_locked(|inner, now| {
            inner.deliver_due(now);
            inner.next_poll = inner.next_due(now);
            inner.next_poll.since(now)
        })
    }

    /// Applies replies of coordinators and delivers the decisions that they allow.
    pub(crate) fn apply_capacity_replies(&self, replies: &[Reply]) {
        self.run_locked(|inner, now| self.apply_replies(inner, now, replies));
    }

    fn apply_replies(&self, inner: &mut Inner, now: Moment, replies: &[Reply]) {
        for reply in replies {
            inner.traffic.apply_capacity_reply(now, reply);
        }
        inner.deliver_due(now);
        if inner.next_due(now) < inner.next_poll {
            self.wake.signal();
        }
    }

    fn run_locked<T>(&self, act: impl FnOnce(&mut Inner, Moment) -> T) -> T {
        let (result, requests) = self.run_once(act);
        self.send_requests(requests);
        result
    }

    /// Sends requests to coordinators. This node's own coordinator replies at once.
    fn send_requests(&self, mut requests: Vec<(NodeId, Request)>) {
        let Some(send) = &self.capacity_sink else {
            return;
        };
        for _ in 0..MAX_OWN_ROUNDS {
            if requests.is_empty() {
                return;
            }
            let replies = send(requests);
            if replies.is_empty() {
                return;
            }
            ((), requests) = self.run_once(|inner, now| self.apply_replies(inner, now, &replies));
        }
    }

    /// Calls `act` with the lock held; also returns the requests to coordinators that are due.
    fn run_once<T>(
        &self,
        act: impl FnOnce(&mut Inner, Moment) -> T,
    ) -> (T, Vec<(NodeId, Request)>) {
        let mut inner = self.lock();
        // Read after the wait for the lock, because grants of coordinators expire soon.
        let now = self.clock.now();
        inner.apply_snapshot(now, &self.snapshot.load());
        let result = act(&mut inner, now);
        let observations = inner.traffic.take_observations();
        let requests = inner.traffic.take_capacity_requests(now);
        drop(inner);
        if !observations.is_empty() {
            (self.observation_sink)(now, observations);
        }
        (result, requests)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Applies the snapshot if it is newer, and its freshness at `now`.
    fn apply_snapshot(&mut self, now: Moment, snapshot: &Snapshot) {
        if snapshot.generation != self.generation {
            self.generation = snapshot.generation;
            if !Arc::ptr_eq(&self.catalogue, &snapshot.catalogue) {
                self.catalogue = Arc::clone(&snapshot.catalogue);
                self.traffic.apply_catalogue(now, &snapshot.catalogue);
            }
            self.traffic.apply_routes(now, snapshot.routes_at(now));
        }
        self.traffic.apply_freshness(now, snapshot.freshness(now));
    }

    /// Delivers the decisions on waiting requests that are due.
    fn deliver_due(&mut self, now: Moment) {
        for (id, decision) in self.traffic.poll(now) {
            self.deliver(id, decision);
        }
    }

    /// Returns when the queues must be polled next.
    fn next_due(&self, now: Moment) -> Moment {
        let latest = now + MAX_POLL_INTERVAL;
        self.traffic
            .next_wakeup()
            .map_or(latest, |at| at.clamp(now, latest))
    }

    fn deliver(&mut self, id: RequestId, decision: Decision) {
        if let Some(mailbox) = self.mailboxes.get(&id) {
            drop(mailbox.try_send(decision));
        }
    }
}
