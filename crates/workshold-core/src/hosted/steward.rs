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

mod orders;
mod planning;
mod situation;
mod staging;
mod view;

pub use self::orders::Command;
pub use self::orders::Order;
pub use self::orders::OrderReply;
pub use self::situation::DomainContext;
pub use self::situation::StewardRules;
pub use self::view::is_forming;
pub use self::view::listed;

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

use self::planning::describe_changes;
use self::situation::LEAVING_LINGERS;
use self::view::Free;
use super::groups;
use super::groups::Group;
use super::identity::Identity;
use super::roster::Instance;
use super::roster::MemberState;

#[derive(Debug, Clone)]
struct Forming {
    group: GroupId,
    model: ModelName,
    members: Vec<Identity>,
    /// Members that have reported this epoch. One that no longer reports it has restarted, even
    /// if its incarnation did not change, and is not ordered to join again.
    joined: BTreeSet<Identity>,
    give_up_at: Millis,
}

/// Whether the members of a group can be assigned to other groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It serves, is being formed, or drains: its members are in use.
    Held,
    /// Its head serves no requests: its members can be reassigned once the head has left.
    Idle,
}

/// The controller of the domains in one partition of the lease.
#[derive(Debug)]
pub struct Steward {
    rules: StewardRules,
    part: u64,
    fence: u64,
    issued: Arc<AtomicU64>,
    forming: BTreeMap<u64, Forming>,
    sent: BTreeMap<(Identity, u64, &'static str), Millis>,
    staging: BTreeMap<Identity, (ModelName, Millis)>,
    busy: BTreeMap<Identity, Millis>,
    closed: BTreeSet<u64>,
    released: BTreeSet<u64>,
    headless: BTreeMap<u64, Millis>,
    loads: VecDeque<Millis>,
    intended: Vec<Intended>,
    planned: BTreeMap<FabricDomain, Planned>,
    seen: DomainSummary,
}

/// A free instance and, for each model: whether its weights are missing, whether they are being
/// fetched, and whether the head of its last group has to leave first.
type FreeHost = (Identity, Vec<(bool, bool, bool)>);

/// State of a domain at the last plan over all domains.
#[derive(Debug, Clone)]
struct Planned {
    at: Millis,
    free: Vec<FreeHost>,
    standing: Vec<u64>,
}

/// A group to form as soon as the groups that its members are in have drained.
#[derive(Debug, Clone)]
struct Intended {
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
const PART_BITS: u64 = 10;
const COUNT_BITS: u64 = 14;

impl Steward {
    /// Creates the steward of lease partition `part`, with fencing token `fence`.
    ///
    /// `issued` counts the epochs issued by this process. It outlives the steward, because a
    /// partition that is released and acquired again under the same token must not repeat epochs.
    pub fn new(rules: StewardRules, part: u64, fence: u64, issued: Arc<AtomicU64>) -> Self {
        Self {
            rules,
            part,
            fence,
            issued,
            forming: BTreeMap::new(),
            sent: BTreeMap::new(),
            staging: BTreeMap::new(),
            busy: BTreeMap::new(),
            closed: BTreeSet::new(),
            released: BTreeSet::new(),
            headless: BTreeMap::new(),
            loads: VecDeque::new(),
            intended: Vec::new(),
            planned: BTreeMap::new(),
            seen: DomainSummary::default(),
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
        forming.chain(self.intended.iter().map(|intended| (None, &intended.model)))
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
        let is_over = matches!(reply, OrderReply::Done);
        match &command.order {
            Order::Close { epoch, .. } if is_over => {
                self.closed.insert(*epoch);
            }
            Order::Leave { epoch, .. } if is_over || reply == OrderReply::Begun => {
                self.released.insert(*epoch);
            }
            Order::Join { epoch, .. } if reply == OrderReply::Outranked => {
                self.forming.remove(epoch);
            }
            Order::Stage { .. } if reply == OrderReply::Unfit => self.on_busy(&command.to),
            Order::Stage { .. } if !matches!(reply, OrderReply::Begun | OrderReply::Unknown) => {
                self.staging.remove(&command.to);
            }
            _ => {}
        }
        was_current && reply == OrderReply::Outranked
    }

    /// Runs one planning round for a domain and returns the orders to send now.
    pub fn plan(&mut self, s: &DomainContext<'_>) -> Vec<Command> {
        let mut commands = Vec::new();
        let groups = groups::collate(s.entries.iter().copied());
        self.give_up_formations(s);
        let mut idle = Vec::new();
        for group in &groups {
            if self.judge(group, s, &mut commands) == Standing::Idle {
                idle.push(group);
            }
        }
        let pool = self.pool(s, &groups, &idle);
        let changes = self.changes(s, &groups, &pool);
        self.form_intended(s, &pool);
        self.carry_out(s, &groups, &pool, &changes, &mut commands);
        self.carry_on(s, &groups, &mut commands);
        self.stage_ahead(s, &pool, &mut commands);
        self.tidy(s);
        self.seen = DomainSummary {
            serviceable: s.entries.iter().filter(|entry| s.can_serve(entry)).count(),
            free: pool.len(),
            staging: pool.iter().filter(|free| self.is_staging(free.instance(), s)).count(),
            forming: self.forming.len(),
            free_instances: pool.iter().map(Free::describe).collect::<Vec<_>>().join(" "),
            planned_changes: describe_changes(s, &changes),
        };
        commands
    }

    /// Summary of the last planning round.
    pub fn summary(&self) -> &DomainSummary {
        &self.seen
    }

    fn next_epoch(&self) -> u64 {
        let issued = self.issued.fetch_add(1, Ordering::Relaxed) + 1;
        let part = self.part & ((1 << PART_BITS) - 1);
        let count = issued & ((1 << COUNT_BITS) - 1);
        (self.fence << (PART_BITS + COUNT_BITS)) | (part << COUNT_BITS) | count
    }

    fn give_up_formations(&mut self, s: &DomainContext<'_>) {
        let here = |id: &Identity| s.entry(id).is_some();
        self.forming.retain(|epoch, forming| {
            if !forming.members.iter().any(here) {
                // All members belong to another domain, or none is known any more.
                return s.now < forming.give_up_at;
            }
            let is_fit = |id: &Identity| {
                let Some(entry) = s.entry(id).filter(|entry| s.can_serve(entry)) else {
                    return false;
                };
                let own = entry.instance.membership.as_ref();
                let is_in = own.is_some_and(|own| own.epoch == *epoch);
                let has_left = !is_in && forming.joined.contains(id);
                if is_in {
                    forming.joined.insert(id.clone());
                }
                !has_left
            };
            s.now < forming.give_up_at && forming.members.iter().all(is_fit)
        });
    }

    fn judge(
        &mut self,
        group: &Group,
        s: &DomainContext<'_>,
        commands: &mut Vec<Command>,
    ) -> Standing {
        let Some(head) = group.head() else { return self.judge_headless(group, s) };
        if self.forming.contains_key(&group.epoch) {
            return self.judge_forming(group, head, s);
        }
        if s.is_gone(&head.identity) {
            return Standing::Idle;
        }
        if self.closed.contains(&group.epoch) {
            return Standing::Idle;
        }
        match group.state() {
            Some(MemberState::Open) => self.judge_open(group, head, s, commands),
            Some(MemberState::Closing) => {
                if s.has_lost_member(group) {
                    self.close(group, head, true, "a closing group lost a member", s, commands);
                }
                Standing::Held
            }
            _ => Standing::Idle,
        }
    }

    /// Judges a group whose head does not report membership in it: the head has left, or is gone,
    /// or is missing from the instance list although it may still serve.
    fn judge_headless(&mut self, group: &Group, s: &DomainContext<'_>) -> Standing {
        let since = *self.headless.entry(group.epoch).or_insert(s.now);
        let is_over = match (s.head_of)(group) {
            Some(head) => {
                let entry = s.entry(&head);
                let is_listed = entry.is_some_and(|entry| entry.unlisted_since.is_none());
                is_listed || entry.is_none() || s.is_gone(&head)
            }
            // This node started after the head was last listed; the head may still be draining.
            None => s.now.since(since) >= LEAVING_LINGERS,
        };
        if is_over { Standing::Idle } else { Standing::Held }
    }

    fn judge_forming(&mut self, group: &Group, head: &Instance, s: &DomainContext<'_>) -> Standing {
        if group.state() == Some(MemberState::Open) {
            self.forming.remove(&group.epoch);
        }
        if s.is_gone(&head.identity) { Standing::Idle } else { Standing::Held }
    }

    fn judge_open(
        &mut self,
        group: &Group,
        head: &Instance,
        s: &DomainContext<'_>,
        commands: &mut Vec<Command>,
    ) -> Standing {
        if s.has_lost_member(group) {
            self.close(group, head, true, "a member is lost", s, commands);
        } else if s.has_leaving_member(group) {
            self.close(group, head, false, "a member is leaving", s, commands);
        }
        Standing::Held
    }

    fn close(
        &mut self,
        group: &Group,
        head: &Instance,
        is_cut: bool,
        why: &'static str,
        s: &DomainContext<'_>,
        commands: &mut Vec<Command>,
    ) {
        if s.is_lost(&head.identity) {
            // The head cannot be reached; its members wait until it is known to be gone.
            return;
        }
        let kind = if is_cut { "cut" } else { "close" };
        let order = Order::Close { group: group.id.clone(), epoch: group.epoch, is_cut };
        self.send(head, group.epoch, kind, order, why, s.now, commands);
    }

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
        let again = if kind == "stage" { self.rules.load_again } else { self.rules.order_again };
        let key = (to.identity.clone(), epoch, kind);
        if self.sent.get(&key).is_some_and(|at| now.since(*at) < again) {
            return;
        }
        self.sent.insert(key, now);
        let address = to.address.clone();
        commands.push(Command { to: to.identity.clone(), address, order, fence: self.fence, why });
    }

    /// Advances every group that is being formed: sends the joins that are due, then the order to
    /// open.
    fn carry_on(&mut self, s: &DomainContext<'_>, groups: &[Group], commands: &mut Vec<Command>) {
        let epochs: Vec<u64> = self.forming.keys().copied().collect();
        for epoch in epochs {
            let forming = self.forming[&epoch].clone();
            let members: Option<Vec<&Instance>> = forming
                .members
                .iter()
                .map(|id| s.entry(id).map(|entry| entry.instance.as_ref()))
                .collect();
            let Some(members) = members else { continue };
            let has_joined = |member: &&Instance| {
                member.membership.as_ref().is_some_and(|own| own.epoch == epoch)
            };
            for member in members.iter().filter(|member| !has_joined(member)) {
                self.join(member, epoch, &forming, s, groups, commands);
            }
            let is_ready = |member: &&Instance| {
                let own = member.membership.as_ref();
                own.is_some_and(|own| own.epoch == epoch && own.state == MemberState::Ready)
            };
            if members.iter().all(is_ready) {
                let order = Order::Open { group: forming.group.clone(), epoch };
                self.send(members[0], epoch, "open", order, "all are ready", s.now, commands);
            }
        }
    }

    fn join(
        &mut self,
        member: &Instance,
        epoch: u64,
        forming: &Forming,
        s: &DomainContext<'_>,
        groups: &[Group],
        commands: &mut Vec<Command>,
    ) {
        if let Some((group, head)) = self.bound_by(member, s, groups) {
            let order = Order::Leave { group: group.id.clone(), epoch: group.epoch };
            let why = "a member is needed elsewhere";
            self.send(head, group.epoch, "leave", order, why, s.now, commands);
            return;
        }
        let order = Order::Join {
            group: forming.group.clone(),
            epoch,
            model: forming.model.clone(),
            members: forming.members.clone(),
        };
        self.send(member, epoch, "join", order, "a group is formed", s.now, commands);
    }

    /// Returns the group whose head has to leave before `member`, which may be the head itself,
    /// can join another one: an order to open that group may still be on its way.
    fn bound_by<'a>(
        &self,
        member: &Instance,
        s: &DomainContext<'a>,
        groups: &'a [Group],
    ) -> Option<(&'a Group, &'a Instance)> {
        let own = member.membership.as_ref()?;
        let group =
            groups.iter().find(|group| group.epoch == own.epoch && group.id == own.group)?;
        let head = group.head()?;
        let is_free = s.is_gone(&head.identity) || self.released.contains(&group.epoch);
        (!is_free).then_some((group, head.as_ref()))
    }

    fn tidy(&mut self, s: &DomainContext<'_>) {
        let window = self.rules.load_window;
        while self.loads.front().is_some_and(|at| s.now.since(*at) > window) {
            self.loads.pop_front();
        }
        self.busy.retain(|_, until| s.now < *until);
        self.intended.retain(|intended| s.now < intended.until);
        self.sent.retain(|_, at| s.now.since(*at) < Millis::from_secs(10));
        while self.closed.len() > MOST_REMEMBERED {
            self.closed.pop_first();
        }
        while self.released.len() > MOST_REMEMBERED {
            self.released.pop_first();
        }
        while self.headless.len() > MOST_REMEMBERED {
            self.headless.pop_first();
        }
    }
}

/// Most closed, released and headless groups to remember, each.
const MOST_REMEMBERED: usize = 512;
