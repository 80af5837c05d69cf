//! The desk of one model: who goes to which group, and who waits.

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

/// What a waiting request is told.
#[derive(Debug)]
pub enum QueueOutcome {
    /// It goes to this group, and is counted there.
    Dispatched(Box<ServingGroup>),
    /// It has waited past its time.
    Expired,
}

/// A request that waits.
#[derive(Debug)]
pub struct Waiter {
    chain: Arc<PrefixChain>,
    turn: oneshot::Sender<QueueOutcome>,
}

/// Where a request goes.
#[derive(Debug)]
pub enum Placement {
    /// To this group, at once.
    Dispatched(Box<ServingGroup>),
    /// It waits here for its turn.
    Queued(oneshot::Receiver<QueueOutcome>),
    /// No group serves the model.
    NoGroup,
    /// It could not start in time.
    Refused(Refused),
}

/// Routing and queue of one model at this node.
#[derive(Debug)]
pub struct ModelDispatcher {
    router: Router,
    queue: FairQueue<Waiter>,
    outliers: OutlierDetector<GroupId>,
    /// When a request last failed at a group: until all of its members have been
    /// heard since, it gets no other.
    failed_at: HashMap<GroupId, Millis>,
    service_time: Option<Millis>,
}

/// Weight of the newest request in the average time of service.
const SERVICE_TIME_PART: u64 = 10;

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

/// What a desk looks at when it places a request.
#[derive(Debug, Clone, Copy)]
pub struct DispatchContext<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The version that the bundle in force asks for.
    pub version: &'a Version,
    /// Which groups serve.
    pub table: &'a ServingTable,
    /// The node's clock.
    pub now: Millis,
}

impl ModelDispatcher {
    /// Finds a group with room for a new request, or lets it wait.
    pub fn place(
        &mut self,
        view: &DispatchContext<'_>,
        chain: &Arc<PrefixChain>,
        arrival: &Arrival<'_>,
    ) -> Placement {
        if view.table.groups_for(view.model, view.now).next().is_none() {
            return Placement::NoGroup;
        }
        if self.queue.is_empty()
            && let Some(group) = self.start(view, chain)
        {
            return Placement::Dispatched(group);
        }
        let (turn, rx) = oneshot::channel();
        let waiter = Waiter { chain: Arc::clone(chain), turn };
        match self.queue.push(arrival, waiter, view.now) {
            Ok(()) => Placement::Queued(rx),
            Err(refused) => Placement::Refused(refused),
        }
    }

    /// Gives turns to those who wait, as far as there is room.
    pub fn dispatch(&mut self, view: &DispatchContext<'_>) {
        self.queue.remove_gone(|waiter| waiter.turn.is_closed());
        while let Some(waiter) = self.queue.pop_expired(view.now) {
            let _ = waiter.turn.send(QueueOutcome::Expired);
        }
        while !self.queue.is_empty() && self.has_room(view) {
            match self.queue.pop(view.now) {
                Some(Dequeued::Start(waiter)) => self.give_turn(view, waiter),
                Some(Dequeued::Expired(waiter)) => {
                    let _ = waiter.turn.send(QueueOutcome::Expired);
                }
                None => return,
            }
        }
    }

    /// A request at `group` is over; its first token took so long.
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
            let mean = (mean * (SERVICE_TIME_PART - 1) + took.0) / SERVICE_TIME_PART;
            self.service_time = Some(Millis(mean));
        }
    }

    /// A request at `group` failed.
    pub fn on_failed(&mut self, group: &GroupId, now: Millis) {
        self.router.on_done(group, now);
        self.outliers.on_failure(group, now);
        self.failed_at.insert(group.clone(), now);
    }

    /// A group refused a request before it started: what its members reported
    /// does not hold any more.
    pub fn on_refused(&mut self, group: &GroupId, now: Millis) {
        self.router.on_done(group, now);
        self.failed_at.insert(group.clone(), now);
    }

    /// A request at `group` hears nothing: until all members have been heard since, the
    /// group gets no other.
    pub fn on_stalled(&mut self, group: &GroupId, now: Millis) {
        self.failed_at.insert(group.clone(), now);
    }

    /// What a request takes on average, once it has started.
    pub fn service_time(&self) -> Millis {
        self.service_time.unwrap_or_default()
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Forgets groups that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&GroupId) -> bool) {
        self.router.retain(&is_there);
        self.failed_at.retain(|group, _| is_there(group));
        self.outliers.retain(is_there);
    }

    fn give_turn(&mut self, view: &DispatchContext<'_>, waiter: Waiter) {
        let Some(group) = self.start(view, &waiter.chain) else { return };
        if let Err(QueueOutcome::Dispatched(group)) =
            waiter.turn.send(QueueOutcome::Dispatched(group))
        {
            // The caller went away between the two.
            self.router.on_done(&group.group, view.now);
        }
    }

    fn start(
        &mut self,
        view: &DispatchContext<'_>,
        chain: &PrefixChain,
    ) -> Option<Box<ServingGroup>> {
        let rows = self.with_room(view);
        let candidates: Vec<_> = rows.iter().map(|row| self.candidate(row, view.now)).collect();
        let chosen = self.router.choose(chain, &candidates)?.clone();
        let row = rows.into_iter().find(|row| row.group == chosen)?.clone();
        self.router.on_sent(chain, &chosen, view.now);
        Some(Box::new(row))
    }

    fn has_room(&self, view: &DispatchContext<'_>) -> bool {
        !self.with_room(view).is_empty()
    }

    /// Groups with a free slot; those of the wanted version if there are any.
    fn with_room<'a>(&self, view: &DispatchContext<'a>) -> Vec<&'a ServingGroup> {
        let rows = view.table.groups_for(view.model, view.now);
        let rows: Vec<_> = rows
            .filter(|row| !self.is_suspect(row))
            .filter(|row| self.router.load(&self.candidate(row, view.now)) < f64::from(row.slots))
            .collect();
        let wanted: Vec<_> =
            rows.iter().filter(|row| &row.version == view.version).copied().collect();
        if wanted.is_empty() { rows } else { wanted }
    }

    fn is_suspect(&self, row: &ServingGroup) -> bool {
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
