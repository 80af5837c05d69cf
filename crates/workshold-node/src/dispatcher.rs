//! Routing and queueing of one model's requests at this node: picks a group for each
//! request, or queues it until a group has a free slot.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;
use workshold_core::admission::Arrival;
use workshold_core::admission::Dequeued;
use workshold_core::admission::FairQueue;
use workshold_core::admission::QueueRules;
use workshold_core::admission::Refused;
use workshold_core::outlier::OutlierDetector;
use workshold_core::outlier::OutlierRules;
use workshold_core::prefix::PrefixChain;
use workshold_core::routing::Candidate;
use workshold_core::routing::Router;
use workshold_core::routing::RoutingRules;
use workshold_protocol::Millis;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::Version;

use crate::serving::ServingGroup;
use crate::serving::ServingTable;

/// How a queued request's wait ends.
#[derive(Debug)]
pub enum QueueOutcome {
    /// It is sent to this group; the router already counts it there.
    Dispatched(Box<ServingGroup>),
    /// Its deadline for starting has passed.
    Expired,
}

/// A queued request: its prefix for routing, and the channel to the task that waits.
#[derive(Debug)]
pub struct QueuedRequest {
    chain: Arc<PrefixChain>,
    outcome_tx: oneshot::Sender<QueueOutcome>,
}

/// Result of trying to send a new request to a group.
#[derive(Debug)]
pub enum Placement {
    /// A group has a free slot; the router already counts the request there.
    Dispatched(Box<ServingGroup>),
    /// It is queued; the outcome arrives on this channel.
    Queued(oneshot::Receiver<QueueOutcome>),
    /// No group serves the model.
    NoGroup,
    /// The queue refused it, because it could not start in time.
    Refused(Refused),
}

/// Router, admission queue and outlier detector of one model at this node.
#[derive(Debug)]
pub struct ModelDispatcher {
    router: Router,
    queue: FairQueue<QueuedRequest>,
    outliers: OutlierDetector<GroupId>,
    /// When a request last failed at each group. The group gets no new request until all
    /// its members have sent a report from after that time.
    failed_at: HashMap<GroupId, Millis>,
    service_time: Option<Millis>,
}

/// Divisor of the moving average of the service time: the newest request weighs 1/10.
const SERVICE_TIME_DIVISOR: u64 = 10;

impl Default for ModelDispatcher {
    fn default() -> Self {
        Self {
            router: Router::new(RoutingRules::default()),
            queue: FairQueue::new(QueueRules::default()),
            outliers: OutlierDetector::new(OutlierRules::default()),
            failed_at: HashMap::new(),
            service_time: None,
        }
    }
}

/// What routing a request depends on, besides the state kept per model.
#[derive(Debug, Clone, Copy)]
pub struct DispatchContext<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The version that the bundle in force asks for; its groups are preferred.
    pub version: &'a Version,
    /// The groups that can take requests.
    pub table: &'a ServingTable,
    /// Time of the node's clock.
    pub now: Millis,
}

impl ModelDispatcher {
    /// Sends a new request to a group with a free slot, or queues it. It is queued too
    /// while others wait, so that it doesn't overtake them.
    pub fn place(
        &mut self,
        cx: &DispatchContext<'_>,
        chain: &Arc<PrefixChain>,
        arrival: &Arrival<'_>,
    ) -> Placement {
        if cx.table.groups_for(cx.model, cx.now).next().is_none() {
            return Placement::NoGroup;
        }
        if self.queue.is_empty()
            && let Some(group) = self.start_at_free_group(cx, chain)
        {
            return Placement::Dispatched(group);
        }
        let (outcome_tx, rx) = oneshot::channel();
        let queued = QueuedRequest { chain: Arc::clone(chain), outcome_tx };
        match self.queue.push(arrival, queued, cx.now) {
            Ok(()) => Placement::Queued(rx),
            Err(refused) => Placement::Refused(refused),
        }
    }

    /// Removes abandoned and expired requests from the queue and sends the others to
    /// groups, as long as there are free slots.
    pub fn dispatch(&mut self, cx: &DispatchContext<'_>) {
        self.queue.remove_gone(|queued| queued.outcome_tx.is_closed());
        while let Some(queued) = self.queue.pop_expired(cx.now) {
            let _ = queued.outcome_tx.send(QueueOutcome::Expired);
        }
        while !self.queue.is_empty() && self.has_free_group(cx) {
            match self.queue.pop(cx.now) {
                Some(Dequeued::Start(queued)) => self.dispatch_next(cx, queued),
                Some(Dequeued::Expired(queued)) => {
                    let _ = queued.outcome_tx.send(QueueOutcome::Expired);
                }
                None => return,
            }
        }
    }

    /// A request at `group` has ended without a fault of the group. `first_token` and
    /// `took` are times since its start; without a first token no time is recorded.
    pub fn on_done(
        &mut self,
        group: &GroupId,
        first_token: Option<Millis>,
        took: Millis,
        now: Millis,
    ) {
        self.router.on_done(group, now);
        if let Some(first_token) = first_token {
            self.outliers.on_answer(group, first_token, now);
            let mean = self.service_time.unwrap_or(took).0;
            let mean = (mean * (SERVICE_TIME_DIVISOR - 1) + took.0) / SERVICE_TIME_DIVISOR;
            self.service_time = Some(Millis(mean));
        }
    }

    /// A request at `group` failed: counts against the group in outlier detection, and
    /// holds back new requests until its members have reported again.
    pub fn on_failed(&mut self, group: &GroupId, now: Millis) {
        self.router.on_done(group, now);
        self.outliers.on_failure(group, now);
        self.failed_at.insert(group.clone(), now);
    }

    /// A group refused a request before it started, so its members' last reports are out
    /// of date: it gets no new request until they have reported again.
    pub fn on_refused(&mut self, group: &GroupId, now: Millis) {
        self.router.on_done(group, now);
        self.failed_at.insert(group.clone(), now);
    }

    /// A stream from `group` has stalled: the group gets no new request until all its
    /// members have reported again. The request itself still counts there.
    pub fn on_stalled(&mut self, group: &GroupId, now: Millis) {
        self.failed_at.insert(group.clone(), now);
    }

    /// Moving average of the time from the start of a request to its end; zero before the
    /// first one has ended.
    pub fn service_time(&self) -> Millis {
        self.service_time.unwrap_or_default()
    }

    /// Number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Drops the state of groups for which `is_there` is false.
    pub fn retain(&mut self, is_there: impl Fn(&GroupId) -> bool) {
        self.router.retain(&is_there);
        self.failed_at.retain(|group, _| is_there(group));
        self.outliers.retain(is_there);
    }

    /// Sends a queued request to a group and tells the waiting task.
    fn dispatch_next(&mut self, cx: &DispatchContext<'_>, queued: QueuedRequest) {
        let Some(group) = self.start_at_free_group(cx, &queued.chain) else { return };
        if let Err(QueueOutcome::Dispatched(group)) =
            queued.outcome_tx.send(QueueOutcome::Dispatched(group))
        {
            // The caller disconnected after abandoned requests were removed.
            self.router.on_done(&group.group, cx.now);
        }
    }

    /// Routes a request to a group with a free slot, if there is one, and counts it there.
    fn start_at_free_group(
        &mut self,
        cx: &DispatchContext<'_>,
        chain: &PrefixChain,
    ) -> Option<Box<ServingGroup>> {
        let rows = self.free_groups(cx);
        let candidates: Vec<_> = rows.iter().map(|row| self.candidate(row, cx.now)).collect();
        let chosen = self.router.choose(chain, &candidates)?.clone();
        let row = rows.into_iter().find(|row| row.group == chosen)?.clone();
        self.router.on_sent(chain, &chosen, cx.now);
        Some(Box::new(row))
    }

    fn has_free_group(&self, cx: &DispatchContext<'_>) -> bool {
        !self.free_groups(cx).is_empty()
    }

    /// Groups with a free slot: those of the wanted version, or all if it has none.
    fn free_groups<'a>(&self, cx: &DispatchContext<'a>) -> Vec<&'a ServingGroup> {
        let rows = cx.table.groups_for(cx.model, cx.now);
        let rows: Vec<_> = rows
            .filter(|row| !self.awaits_new_reports(row))
            .filter(|row| self.router.load(&self.candidate(row, cx.now)) < f64::from(row.slots))
            .collect();
        let wanted: Vec<_> =
            rows.iter().filter(|row| &row.version == cx.version).copied().collect();
        if wanted.is_empty() { rows } else { wanted }
    }

    /// Whether a request failed at the group after the oldest of its members' reports.
    fn awaits_new_reports(&self, row: &ServingGroup) -> bool {
        self.failed_at.get(&row.group).is_some_and(|failed_at| row.proved_since <= *failed_at)
    }

    fn candidate<'a>(&self, row: &'a ServingGroup, now: Millis) -> Candidate<'a> {
        Candidate {
            group: &row.group,
            reported: row.reported,
            true_since: row.true_since,
            slots: row.slots,
            worth: row.worth,
            is_remote: row.is_remote,
            is_ejected: self.outliers.is_ejected(&row.group, now),
        }
    }
}
