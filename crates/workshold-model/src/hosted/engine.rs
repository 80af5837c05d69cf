//! Simulated instance that handles orders like the platform's engines.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::roster::MemberState;
use workshold_core::hosted::roster::Membership;
use workshold_core::hosted::steward::Command;
use workshold_core::hosted::steward::Order;
use workshold_core::hosted::steward::OrderReply;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::ServiceName;

/// Time to join a group with the weights in accelerator memory.
const JOIN_LOADED_DURATION: Millis = Millis(200);
/// Time to join a group with the weights on the host.
const JOIN_STAGED_DURATION: Millis = Millis(400);
/// Time to join a group if the weights must be fetched from the store.
const JOIN_COLD_DURATION: Millis = Millis(3_000);
/// Time for a ready group to open.
const OPEN_DURATION: Millis = Millis(300);
/// Time for an open group to close.
const CLOSE_DURATION: Millis = Millis(400);

/// An instance's membership in a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Id of the group.
    pub group: GroupId,
    /// Epoch of the group, which numbers its formation.
    pub epoch: u64,
    /// The model that the group serves.
    pub model: ModelName,
    /// All members, the head first.
    pub members: Vec<Identity>,
    /// Index of this instance among `members`; 0 for the head.
    pub rank: usize,
    /// State of this member.
    pub state: MemberState,
    /// When the next state change is due; `None` if it waits for an order.
    pub next_at: Option<Millis>,
    /// Whether this instance serves as the group's head.
    pub serves: bool,
    /// Since when the head misses a member.
    pub missing_since: Option<Millis>,
}

/// What [`SimulatedInstance::advance`] changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The member's state changed in another way.
    StateChanged,
    /// The instance became ready in its group.
    Ready,
    /// The instance's group began to serve.
    Opened,
}

/// One simulated instance.
#[derive(Debug, Clone)]
pub struct SimulatedInstance {
    /// Id of the instance, which a restart keeps.
    pub id: InstanceId,
    /// Incarnation by its clock, which may go back or stand still between restarts.
    pub incarnation: Incarnation,
    /// Number of incarnations so far; 1 for the first.
    pub incarnation_count: u64,
    /// Start time of the current incarnation.
    pub started_at: Millis,
    /// Whether its process runs.
    pub is_alive: bool,
    /// When its process ended; only meaningful if it is not alive.
    pub died_at: Millis,
    /// Whether the list has dropped its entry.
    pub has_lapsed: bool,
    /// When the last network partition began, during which no node reaches it.
    pub cut_since: Millis,
    /// When that network partition ends.
    pub cut_until: Millis,
    /// When the last cut of its path to the store began.
    pub store_cut_since: Millis,
    /// When that cut ends.
    pub store_cut_until: Millis,
    /// Its membership; `None` if it is in no group.
    pub membership: Option<Member>,
    /// Epochs of the groups that it left, not as their head.
    pub left_epochs: BTreeSet<u64>,
    highest_epoch: u64,
    highest_fence: u64,
    loaded: Option<ModelName>,
    staged: Option<ModelName>,
    /// Models whose weights are always near by; it announces them as staged.
    prestaged: Vec<ModelName>,
}

impl SimulatedInstance {
    /// Creates an instance without weights except prestaged ones.
    pub fn new(id: InstanceId, prestaged: Vec<ModelName>) -> Self {
        Self {
            id,
            incarnation: Incarnation(1),
            incarnation_count: 1,
            started_at: Millis::ZERO,
            is_alive: true,
            died_at: Millis::ZERO,
            has_lapsed: false,
            cut_since: Millis::ZERO,
            cut_until: Millis::ZERO,
            store_cut_since: Millis::ZERO,
            store_cut_until: Millis::ZERO,
            membership: None,
            left_epochs: BTreeSet::new(),
            highest_epoch: 0,
            highest_fence: 0,
            loaded: None,
            staged: None,
            prestaged,
        }
    }

    /// Id and incarnation.
    pub fn identity(&self) -> Identity {
        Identity { id: self.id.clone(), incarnation: self.incarnation }
    }

    /// Restarts under the same id. Only weights on the host survive; its membership and the highest
    /// epoch and fencing token that it saw are lost.
    pub fn restart(&mut self, incarnation: Incarnation, now: Millis) {
        let host = self.staged.clone();
        let prestaged = std::mem::take(&mut self.prestaged);
        let incarnation_count = self.incarnation_count + 1;
        let fresh = Self::new(self.id.clone(), prestaged);
        *self = Self { incarnation, incarnation_count, started_at: now, staged: host, ..fresh };
    }

    /// Since when it writes nothing to the store; `None` if it does.
    pub fn silent_since(&self, now: Millis) -> Option<Millis> {
        if !self.is_alive {
            return Some(self.died_at);
        }
        (self.store_cut_until > now).then_some(self.store_cut_since)
    }

    /// Notes that its group misses a member. Once that has lasted for `time`, it stops serving as
    /// the head; returns whether it just has.
    pub fn break_after(&mut self, time: Millis, now: Millis) -> bool {
        let Some(own) = self.membership.as_mut() else { return false };
        let since = *own.missing_since.get_or_insert(now);
        if now.since(since) < time {
            return false;
        }
        own.serves = false;
        own.state = MemberState::Broken;
        own.next_at = None;
        true
    }

    /// Whether it is the head of the group of `epoch` and the group serves.
    pub fn serves(&self, epoch: u64) -> bool {
        self.is_alive
            && self.membership.as_ref().is_some_and(|member| member.epoch == epoch && member.serves)
    }

    /// The entry that it writes to the list.
    pub fn listed_state(&self) -> Instance {
        let membership = self.membership.as_ref().map(|member| Membership {
            group: member.group.clone(),
            epoch: member.epoch,
            rank: member.rank,
            state: member.state,
        });
        Instance {
            identity: self.identity(),
            service: ServiceName::new("engines").expect("the name is valid"),
            address: SmolStr::new(self.id.as_str()),
            data_centre: DataCentre::new("a").expect("the name is valid"),
            domain: Some(FabricDomain::new("d").expect("the name is valid")),
            slots: 8,
            is_leaving: false,
            cold_left: Millis::ZERO,
            staged: self.staged.iter().chain(&self.prestaged).cloned().collect(),
            loaded: self.loaded.iter().cloned().collect(),
            membership,
        }
    }

    /// Executes an order and returns the reply. With `ignores_fencing` it accepts outdated fencing
    /// tokens and epochs.
    pub fn execute(&mut self, command: &Command, now: Millis, ignores_fencing: bool) -> OrderReply {
        if command.fence < self.highest_fence && !ignores_fencing {
            return OrderReply::Outranked;
        }
        self.highest_fence = self.highest_fence.max(command.fence);
        match &command.order {
            Order::Join { group, epoch, model, members } => {
                self.join(group, *epoch, model, members, now, ignores_fencing)
            }
            Order::Open { epoch, .. } => self.open(*epoch, now),
            Order::Close { epoch, .. } => self.close(*epoch, now),
            Order::Leave { epoch, .. } => self.leave(*epoch),
            Order::Stage { model } => {
                self.staged = Some(model.clone());
                OrderReply::Begun
            }
        }
    }

    fn member(&mut self, epoch: u64) -> Option<&mut Member> {
        self.membership.as_mut().filter(|member| member.epoch == epoch)
    }

    fn join(
        &mut self,
        group: &GroupId,
        epoch: u64,
        model: &ModelName,
        members: &[Identity],
        now: Millis,
        ignores_fencing: bool,
    ) -> OrderReply {
        if let Some(member) = self.member(epoch) {
            let same = member.members == members;
            return if same { OrderReply::Done } else { OrderReply::Outranked };
        }
        if epoch <= self.highest_epoch && !ignores_fencing {
            return OrderReply::Outranked;
        }
        let Some(rank) = members.iter().position(|member| member.id == self.id) else {
            return OrderReply::Unfit;
        };
        self.highest_epoch = self.highest_epoch.max(epoch);
        let join_duration = if self.loaded.as_ref() == Some(model) {
            JOIN_LOADED_DURATION
        } else if self.staged.as_ref() == Some(model) {
            JOIN_STAGED_DURATION
        } else {
            JOIN_COLD_DURATION
        };
        self.membership = Some(Member {
            group: group.clone(),
            epoch,
            model: model.clone(),
            members: members.to_vec(),
            rank,
            state: MemberState::Joining,
            next_at: Some(now + join_duration),
            serves: false,
            missing_since: None,
        });
        OrderReply::Begun
    }

    fn open(&mut self, epoch: u64, now: Millis) -> OrderReply {
        match self.member(epoch) {
            Some(member) if member.state == MemberState::Open || member.serves => OrderReply::Done,
            Some(member) if member.state == MemberState::Ready && member.rank == 0 => {
                member.next_at = Some(now + OPEN_DURATION);
                OrderReply::Begun
            }
            _ => OrderReply::Unfit,
        }
    }

    fn close(&mut self, epoch: u64, now: Millis) -> OrderReply {
        match self.member(epoch) {
            Some(member) if member.state == MemberState::Open => {
                member.state = MemberState::Closing;
                member.next_at = Some(now + CLOSE_DURATION);
                OrderReply::Begun
            }
            Some(member) if member.state == MemberState::Closing => OrderReply::Begun,
            Some(_) => OrderReply::Done,
            None => OrderReply::Unfit,
        }
    }

    fn leave(&mut self, epoch: u64) -> OrderReply {
        if self.member(epoch).is_some() {
            let left = self.membership.take().filter(|own| own.rank > 0);
            self.left_epochs.extend(left.map(|own| own.epoch));
        }
        OrderReply::Done
    }

    /// Performs the state change that is due at `now`, if any.
    pub fn advance(&mut self, now: Millis) -> Change {
        if !self.is_alive {
            return Change::None;
        }
        let Some(member) = self.membership.as_mut() else { return Change::None };
        if member.next_at.is_none_or(|at| at > now) {
            return Change::None;
        }
        member.next_at = None;
        match member.state {
            MemberState::Joining => {
                member.state = MemberState::Ready;
                self.loaded = Some(member.model.clone());
                self.staged = Some(member.model.clone());
                Change::Ready
            }
            MemberState::Ready => {
                member.state = MemberState::Open;
                member.serves = true;
                Change::Opened
            }
            MemberState::Closing => {
                member.state = MemberState::Ready;
                member.serves = false;
                Change::StateChanged
            }
            MemberState::Open | MemberState::Broken => Change::None,
        }
    }
}
