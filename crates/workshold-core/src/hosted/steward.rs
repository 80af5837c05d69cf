//! The steward: the controller that forms, opens and dissolves the groups of fabric domains.
//!
//! A steward holds one partition of the store's lease. It sends orders to the instances of the
//! domains in that partition, each with the lease's fencing token, which only rises. An order
//! that got no reply may still be executed seconds later, after newer ones. Groups stay
//! consistent nevertheless:
//!
//! - Epochs rise across all stewards, since their upper bits are the fencing token. An instance
//!   that has seen a newer epoch or token refuses a late order to join.
//! - Only the steward that formed a group opens it, and only when every member reports that it
//!   is ready in this group's epoch.
//! - A group is dissolved head first: no member, the head included, joins another group before
//!   the head has reported that it left. So a late order to open finds either no group to open
//!   or a complete one.
//! - A head that is missing may still serve. A member is then ordered to leave, and no other is
//!   reassigned before the head must have noticed and stopped; while there are too few groups,
//!   before all have left ([`break_ups`]).

mod break_ups;
mod context;
mod orders;
mod planner_input;
mod planning;
mod staging;

pub use self::context::DomainContext;
pub use self::context::StewardTimings;
pub use self::orders::Command;
pub use self::orders::Order;
pub use self::orders::OrderReply;
pub use self::planner_input::is_forming;
pub use self::planner_input::listed;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::ModelName;

use self::context::HeadProcess;
use self::context::LEAVING_DRAIN_TIME;
use self::planner_input::FreeInstance;
use self::planning::describe_changes;
use self::staging::LoadPurpose;
use super::groups;
use super::groups::Group;
use super::identity::Identity;
use super::planner::Plan;
use super::roster::Entry;
use super::roster::Instance;
use super::roster::MemberState;

/// A group that is being formed: its members have been ordered to join.
#[derive(Debug, Clone)]
struct GroupFormation {
    group: GroupId,
    model: ModelName,
    members: Vec<Identity>,
    /// Members that have reported this epoch. One that no longer reports it has restarted, even
    /// if its incarnation did not change, and is not ordered to join again.
    joined: BTreeSet<Identity>,
    deadline: Millis,
}

/// Whether the members of a group can be assigned to other groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GroupUse {
    /// It serves, is being formed, or drains: its members are in use.
    InUse,
    /// Its head serves no requests: its members can be reassigned once the head has left.
    Idle,
}

/// The controller of the domains in one partition of the lease.
#[derive(Debug)]
pub struct Steward {
    rules: StewardTimings,
    partition: u64,
    /// Fencing token of the lease.
    fence: u64,
    epochs_issued: Arc<AtomicU64>,
    /// Groups being formed, by epoch.
    forming: BTreeMap<u64, GroupFormation>,
    /// When an order was last sent, by recipient, epoch and kind of order.
    sent_at: BTreeMap<(Identity, u64, &'static str), Millis>,
    /// Weights ordered for an instance's host, and when.
    staging: BTreeMap<Identity, (ModelName, Millis)>,
    /// Until when an instance that refused to load is not asked again.
    busy_until: BTreeMap<Identity, Millis>,
    /// Epochs of groups whose head has confirmed that they are closed.
    closed_epochs: BTreeSet<u64>,
    /// Epochs of groups whose head has accepted the order to leave.
    released_epochs: BTreeSet<u64>,
    /// Since when a group's head has not reported membership, by epoch.
    headless_since: BTreeMap<u64, Millis>,
    /// When weights were ordered within the rate limit's window.
    recent_loads: VecDeque<Millis>,
    /// When weights were ordered for a remembered demand, within the window of its rate.
    reserve_loads: VecDeque<Millis>,
    deferred: Vec<DeferredGroup>,
    last_plans: BTreeMap<FabricDomain, PlannedState>,
    summary: DomainSummary,
}

/// A free instance and, for each model: whether its weights are missing, whether they are being
/// fetched, and whether the head of its last group has to leave first.
type FreeHostState = (Identity, Vec<(bool, bool, bool)>);

/// State of a domain at the last plan over all domains.
#[derive(Debug, Clone)]
struct PlannedState {
    at: Millis,
    free: Vec<FreeHostState>,
    serving_groups: Vec<u64>,
}

/// A group to form as soon as the groups that its members are in have drained.
#[derive(Debug, Clone)]
struct DeferredGroup {
    domain: FabricDomain,
    model: ModelName,
    members: Vec<Identity>,
    until: Millis,
}

/// Summary of a domain after a planning round, for logs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DomainSummary {
    /// Instances that can be put into a group.
    pub serviceable: usize,
    /// Of these, instances in no group that serves or is being formed.
    pub free: usize,
    /// Of the free instances, those whose host is fetching weights.
    pub staging: usize,
    /// Groups being formed.
    pub forming: usize,
    /// The free instances, each with the models whose weights it holds.
    pub free_instances: String,
    /// The changes planned for the domain.
    pub planned_changes: String,
}

/// Low bits of an epoch, below the fencing token: the lease partition, then a counter.
const PARTITION_BITS: u64 = 10;
const COUNTER_BITS: u64 = 14;

impl Steward {
    /// Creates the steward of lease partition `partition`, with fencing token `fence`.
    ///
    /// `epochs_issued` counts the epochs issued by this process. It outlives the steward, because a
    /// partition that is released and acquired again under the same token must not repeat epochs.
    pub fn new(
        rules: StewardTimings,
        partition: u64,
        fence: u64,
        epochs_issued: Arc<AtomicU64>,
    ) -> Self {
        Self {
            rules,
            partition,
            fence,
            epochs_issued,
            forming: BTreeMap::new(),
            sent_at: BTreeMap::new(),
            staging: BTreeMap::new(),
            busy_until: BTreeMap::new(),
            closed_epochs: BTreeSet::new(),
            released_epochs: BTreeSet::new(),
            headless_since: BTreeMap::new(),
            recent_loads: VecDeque::new(),
            reserve_loads: VecDeque::new(),
            deferred: Vec::new(),
            last_plans: BTreeMap::new(),
            summary: DomainSummary::default(),
        }
    }

    /// Adopts the fencing token of a renewed lease.
    pub fn raise_fence(&mut self, fence: u64) {
        self.fence = self.fence.max(fence);
    }

    /// Whether a group is being formed, which needs a fresh instance list.
    pub fn is_busy(&self) -> bool {
        !self.forming.is_empty()
    }

    /// The models of groups that are being formed, with their epochs, and of groups that wait for
    /// others to drain, which have no epoch yet.
    pub fn forming(&self) -> impl Iterator<Item = (Option<u64>, &ModelName)> {
        let forming = self.forming.iter().map(|(epoch, forming)| (Some(*epoch), &forming.model));
        forming.chain(self.deferred.iter().map(|deferred| (None, &deferred.model)))
    }

    /// Handles the reply to an order.
    ///
    /// Returns `true` if the reply proves that another steward has a higher fencing token. A late
    /// duplicate that this steward's own newer order has overtaken is also refused, but proves
    /// nothing.
    pub fn on_reply(&mut self, command: &Command, reply: OrderReply) -> bool {
        let was_current = match &command.order {
            Order::Join { epoch, .. } => self.forming.contains_key(epoch),
            Order::Stage { .. } => self.staging.contains_key(&command.to),
            _ => false,
        };
        let is_done = matches!(reply, OrderReply::Done);
        match &command.order {
            Order::Close { epoch, .. } if is_done => {
                self.closed_epochs.insert(*epoch);
            }
            Order::Leave { epoch, is_head: true, .. } if is_done || reply == OrderReply::Begun => {
                self.released_epochs.insert(*epoch);
            }
            Order::Join { epoch, .. } if reply == OrderReply::Outranked => {
                self.forming.remove(epoch);
            }
            Order::Stage { .. } if reply == OrderReply::Unfit => self.on_load_refused(&command.to),
            Order::Stage { .. } if !matches!(reply, OrderReply::Begun | OrderReply::Unknown) => {
                self.staging.remove(&command.to);
            }
            _ => {}
        }
        was_current && reply == OrderReply::Outranked
    }

    /// Runs one planning round for a domain and returns the orders to send now.
    pub fn plan(&mut self, cx: &DomainContext<'_>) -> Vec<Command> {
        let mut commands = Vec::new();
        let groups = groups::assemble_groups(cx.entries.iter().copied());
        self.abandon_failed_formations(cx);
        let mut idle = Vec::new();
        for group in &groups {
            if self.review_group(group, cx, &mut commands) == GroupUse::Idle {
                idle.push(group);
            }
        }
        let pool = self.pool(cx, &groups, &idle);
        let Plan { present, reserve, .. } = self.plan_changes(cx, &groups, &pool);
        let reserve = planning::with_free_members(reserve, &pool);
        self.form_deferred_groups(cx, &pool);
        self.execute_changes(cx, &groups, &pool, &present, LoadPurpose::Present, &mut commands);
        self.execute_changes(cx, &groups, &pool, &reserve, LoadPurpose::Reserve, &mut commands);
        self.advance_formations(cx, &groups, &mut commands);
        self.stage_ahead(cx, &pool, &mut commands);
        self.prune_state(cx);
        self.summary = DomainSummary {
            serviceable: cx.entries.iter().filter(|entry| cx.can_serve(entry)).count(),
            free: pool.len(),
            staging: pool.iter().filter(|free| self.is_staging(free.instance(), cx)).count(),
            forming: self.forming.len(),
            free_instances: pool.iter().map(FreeInstance::describe).collect::<Vec<_>>().join(" "),
            planned_changes: describe_changes(cx, present.iter().chain(&reserve)),
        };
        commands
    }

    /// Summary of the last planning round.
    pub fn summary(&self) -> &DomainSummary {
        &self.summary
    }

    /// Composes the next epoch from the fencing token, the lease partition and a counter.
    fn next_epoch(&self) -> u64 {
        let epochs_issued = self.epochs_issued.fetch_add(1, Ordering::Relaxed) + 1;
        let partition = self.partition & ((1 << PARTITION_BITS) - 1);
        let count = epochs_issued & ((1 << COUNTER_BITS) - 1);
        (self.fence << (PARTITION_BITS + COUNTER_BITS)) | (partition << COUNTER_BITS) | count
    }

    /// Gives up formations that missed their deadline or lost a member.
    fn abandon_failed_formations(&mut self, cx: &DomainContext<'_>) {
        let is_in_domain = |id: &Identity| cx.entry(id).is_some();
        self.forming.retain(|epoch, forming| {
            if !forming.members.iter().any(is_in_domain) {
                // All members belong to another domain, or none is known any more.
                return cx.now < forming.deadline;
            }
            let is_fit = |id: &Identity| {
                let Some(entry) = cx.entry(id).filter(|entry| cx.can_serve(entry)) else {
                    return false;
                };
                let membership = entry.instance.membership.as_ref();
                let has_joined = membership.is_some_and(|membership| membership.epoch == *epoch);
                let has_left = !has_joined && forming.joined.contains(id);
                if has_joined {
                    forming.joined.insert(id.clone());
                }
                !has_left
            };
            cx.now < forming.deadline && forming.members.iter().all(is_fit)
        });
    }

    /// Decides whether a group's members can be reassigned, and closes the group if it lost a
    /// member or one is leaving.
    fn review_group(
        &mut self,
        group: &Group,
        cx: &DomainContext<'_>,
        commands: &mut Vec<Command>,
    ) -> GroupUse {
        let Some(head) = group.head() else {
            return self.review_headless_group(group, cx, commands);
        };
        if self.forming.contains_key(&group.epoch) {
            return self.review_forming_group(group, head, cx);
        }
        match cx.head_process(&head.identity) {
            HeadProcess::Ended => return GroupUse::Idle,
            HeadProcess::Missing { since } => {
                return self.break_up(group, Some((&head.identity, since)), cx, commands);
            }
            HeadProcess::MayServe => {}
        }
        if self.closed_epochs.contains(&group.epoch) {
            return GroupUse::Idle;
        }
        match group.state() {
            Some(MemberState::Open) => self.review_open_group(group, head, cx, commands),
            Some(MemberState::Closing) => {
                if cx.has_lost_member(group) {
                    self.close(group, head, true, "a draining group lost a member", cx, commands);
                }
                GroupUse::InUse
            }
            _ => GroupUse::Idle,
        }
    }

    /// Reviews a group whose head does not report membership in it: the head has left, or is gone,
    /// or is missing from the instance list although it may still serve.
    fn review_headless_group(
        &mut self,
        group: &Group,
        cx: &DomainContext<'_>,
        commands: &mut Vec<Command>,
    ) -> GroupUse {
        let since = *self.headless_since.entry(group.epoch).or_insert(cx.now);
        let Some(head) = (cx.head_of)(group) else {
            // This node started after the head was last listed; the head may still be draining.
            let is_drained = cx.now.since(since) >= LEAVING_DRAIN_TIME;
            return if is_drained {
                self.break_up(group, None, cx, commands)
            } else {
                GroupUse::InUse
            };
        };
        let entry = cx.entry(&head);
        match cx.head_process(&head) {
            _ if entry.is_some_and(|entry| entry.unlisted_since.is_none()) => GroupUse::Idle,
            HeadProcess::Ended => GroupUse::Idle,
            HeadProcess::Missing { since } => {
                self.break_up(group, Some((&head, since)), cx, commands)
            }
            // It has been unlisted for so long that it is forgotten.
            HeadProcess::MayServe if entry.is_none() => self.break_up(group, None, cx, commands),
            HeadProcess::MayServe => GroupUse::InUse,
        }
    }

    /// Reviews a group that this steward is forming; once it is open, the formation is complete.
    fn review_forming_group(
        &mut self,
        group: &Group,
        head: &Instance,
        cx: &DomainContext<'_>,
    ) -> GroupUse {
        if group.state() == Some(MemberState::Open) {
            self.forming.remove(&group.epoch);
        }
        match cx.head_process(&head.identity) {
            HeadProcess::Ended => GroupUse::Idle,
            HeadProcess::Missing { .. } | HeadProcess::MayServe => GroupUse::InUse,
        }
    }

    /// Reviews a group that serves.
    fn review_open_group(
        &mut self,
        group: &Group,
        head: &Instance,
        cx: &DomainContext<'_>,
        commands: &mut Vec<Command>,
    ) -> GroupUse {
        if cx.has_lost_member(group) {
            self.close(group, head, true, "the group lost a member", cx, commands);
        } else if cx.has_leaving_member(group) {
            self.close(group, head, false, "a member is leaving", cx, commands);
        }
        GroupUse::InUse
    }

    /// Orders a group's head to close the group; with `is_cut`, running requests are aborted.
    fn close(
        &mut self,
        group: &Group,
        head: &Instance,
        is_cut: bool,
        why: &'static str,
        cx: &DomainContext<'_>,
        commands: &mut Vec<Command>,
    ) {
        if cx.is_lost(&head.identity) {
            // The head cannot be reached; its members wait until it is known to be gone.
            return;
        }
        let kind = if is_cut { "cut" } else { "close" };
        let order = Order::Close { group: group.id.clone(), epoch: group.epoch, is_cut };
        self.send(head, group.epoch, kind, order, why, cx.now, commands);
    }

    /// Adds an order to `commands`, unless the same one was sent a short time ago.
    #[expect(clippy::too_many_arguments, reason = "the parts of one order")]
    fn send(
        &mut self,
        to: &Instance,
        epoch: u64,
        kind: &'static str,
        order: Order,
        why: &'static str,
        now: Millis,
        commands: &mut Vec<Command>,
    ) {
        let retry_delay = if kind == "stage" {
            self.rules.stage_retry_delay
        } else {
            self.rules.order_retry_delay
        };
        let key = (to.identity.clone(), epoch, kind);
        if self.sent_at.get(&key).is_some_and(|at| now.since(*at) < retry_delay) {
            return;
        }
        self.sent_at.insert(key, now);
        let address = to.address.clone();
        commands.push(Command { to: to.identity.clone(), address, order, fence: self.fence, why });
    }

    /// Advances every group that is being formed: sends the joins that are due, then the order to
    /// open.
    fn advance_formations(
        &mut self,
        cx: &DomainContext<'_>,
        groups: &[Group],
        commands: &mut Vec<Command>,
    ) {
        let epochs: Vec<u64> = self.forming.keys().copied().collect();
        for epoch in epochs {
            let forming = self.forming[&epoch].clone();
            let entries: Option<Vec<&Entry>> =
                forming.members.iter().map(|id| cx.entry(id)).collect();
            let Some(entries) = entries else { continue };
            let members: Vec<&Instance> =
                entries.iter().map(|entry| entry.instance.as_ref()).collect();
            let has_joined = |member: &&Instance| {
                member.membership.as_ref().is_some_and(|membership| membership.epoch == epoch)
            };
            for entry in entries.iter().filter(|entry| !has_joined(&entry.instance.as_ref())) {
                if !self.awaits_break(entry, groups, cx) {
                    self.join(&entry.instance, epoch, &forming, cx, groups, commands);
                }
            }
            let is_ready = |member: &&Instance| {
                let membership = member.membership.as_ref();
                membership.is_some_and(|membership| {
                    membership.epoch == epoch && membership.state == MemberState::Ready
                })
            };
            if members.iter().all(is_ready) {
                let order = Order::Open { group: forming.group.clone(), epoch };
                self.send(members[0], epoch, "open", order, "members are ready", cx.now, commands);
            }
        }
    }

    /// Orders an instance to join, or first the head of its old group to leave.
    fn join(
        &mut self,
        member: &Instance,
        epoch: u64,
        forming: &GroupFormation,
        cx: &DomainContext<'_>,
        groups: &[Group],
        commands: &mut Vec<Command>,
    ) {
        if let Some((group, head)) = self.group_to_leave_first(member, cx, groups) {
            let order = Order::Leave { group: group.id.clone(), epoch: group.epoch, is_head: true };
            let why = "a member is to join another group";
            self.send(head, group.epoch, "leave", order, why, cx.now, commands);
            return;
        }
        let order = Order::Join {
            group: forming.group.clone(),
            epoch,
            model: forming.model.clone(),
            members: forming.members.clone(),
        };
        self.send(member, epoch, "join", order, "a new group is being formed", cx.now, commands);
    }

    /// Returns the group whose head has to leave before `member`, which may be the head itself,
    /// can join another one: an order to open that group may still be on its way.
    fn group_to_leave_first<'a>(
        &self,
        member: &Instance,
        cx: &DomainContext<'a>,
        groups: &'a [Group],
    ) -> Option<(&'a Group, &'a Instance)> {
        let membership = member.membership.as_ref()?;
        let group = groups
            .iter()
            .find(|group| group.epoch == membership.epoch && group.id == membership.group)?;
        let head = group.head()?;
        let is_free = self.has_stopped(group, &head.identity, cx);
        (!is_free).then_some((group, head.as_ref()))
    }

    /// Whether the head of a group serves no more, so that its members can join other groups.
    fn has_stopped(&self, group: &Group, head: &Identity, cx: &DomainContext<'_>) -> bool {
        let has_ended = match cx.head_process(head) {
            HeadProcess::Ended => true,
            HeadProcess::Missing { .. } => self.has_broken(group, cx),
            HeadProcess::MayServe => false,
        };
        has_ended || self.released_epochs.contains(&group.epoch)
    }

    /// Forgets state that is no longer needed.
    fn prune_state(&mut self, cx: &DomainContext<'_>) {
        let window = self.rules.load_rate_window;
        while self.recent_loads.front().is_some_and(|at| cx.now.since(*at) > window) {
            self.recent_loads.pop_front();
        }
        self.busy_until.retain(|_, until| cx.now < *until);
        self.deferred.retain(|deferred| cx.now < deferred.until);
        self.sent_at.retain(|_, at| cx.now.since(*at) < Millis::from_secs(10));
        while self.closed_epochs.len() > MAX_REMEMBERED_GROUPS {
            self.closed_epochs.pop_first();
        }
        while self.released_epochs.len() > MAX_REMEMBERED_GROUPS {
            self.released_epochs.pop_first();
        }
        while self.headless_since.len() > MAX_REMEMBERED_GROUPS {
            self.headless_since.pop_first();
        }
    }
}

/// Most closed, released and headless groups to remember, each.
const MAX_REMEMBERED_GROUPS: usize = 512;
