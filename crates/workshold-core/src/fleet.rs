//! The groups in the log, the instances that they claim, and planned stops.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::FencingToken;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::Offset;
use workshold_protocol::ids::RoleName;
use workshold_protocol::ids::Version;
use workshold_protocol::record::EndCause;
use workshold_protocol::record::GroupEnd;
use workshold_protocol::record::GroupFormation;
use workshold_protocol::record::Member;
use workshold_protocol::record::MemberRelease;
use workshold_protocol::record::ReplacedGroup;
use workshold_protocol::record::StopRequest;

use crate::bundles::InForce;
use crate::state::Rejection;

/// Releases whose offset is kept per instance; older ones only raise
/// `free_since_floor`, which bounds the size of the state.
const MAX_RELEASES: usize = 4096;

/// Groups, and which group claims which instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fleet {
    groups: BTreeMap<GroupId, Group>,
    claims: BTreeMap<InstanceId, GroupId>,
    /// For an instance that was released, the first offset after its last release.
    free_since: BTreeMap<InstanceId, Offset>,
    /// Upper bound of that offset for instances that have no entry.
    free_since_floor: Offset,
    stopping: BTreeSet<InstanceId>,
}

/// Instances that serve one replica of a model together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Its name, new for each formation.
    pub id: GroupId,
    /// Its fencing token: the log offset of its formation. Orders to its members
    /// and their reports carry it.
    pub fence: FencingToken,
    /// The model that it serves.
    pub model: ModelName,
    /// The version of that model.
    pub version: Version,
    /// Which of the model's roles (group sizes) it has.
    pub role: RoleName,
    /// The fabric domain that all its members are in.
    pub domain: FabricDomain,
    /// Its members; the first one, its head, serves callers.
    pub members: Vec<Member>,
    /// The group that it was formed to replace, if any.
    pub replaces: Option<ReplacedGroup>,
    /// Its phase, from formation to dissolution.
    pub phase: Phase,
}

/// The phases of a group, in order; draining can be skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It may serve.
    Active,
    /// It finishes its requests and takes no new ones.
    Draining {
        /// Offset of the record that drains it; orders to drain carry it.
        since: Offset,
        /// Why it is drained.
        cause: EndCause,
    },
    /// It has ended; its members are ordered to leave and stay claimed until released.
    Dissolved {
        /// Offset of the record that dissolved it; orders to leave carry it.
        since: Offset,
        /// Why it was dissolved.
        cause: EndCause,
    },
}

impl Group {
    /// The member that serves callers.
    pub fn head(&self) -> &Member {
        &self.members[0]
    }

    /// Whether `instance` is a member.
    pub fn has(&self, instance: &InstanceId) -> bool {
        self.members.iter().any(|member| &member.instance == instance)
    }

    /// Sort key: oldest group first, groups formed by one record by name.
    pub fn age_key(&self) -> (FencingToken, &GroupId) {
        (self.fence, &self.id)
    }

    /// Whether the log allows it to serve: neither draining nor dissolved.
    pub fn is_active(&self) -> bool {
        self.phase == Phase::Active
    }

    /// Whether it has ended, with members that may still be claimed.
    pub fn is_dissolved(&self) -> bool {
        matches!(self.phase, Phase::Dissolved { .. })
    }
}

impl Fleet {
    /// All groups that claim at least one instance, dissolved ones included.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    /// The group `id`; `None` if it never existed or all its members are released.
    pub fn group(&self, id: &GroupId) -> Option<&Group> {
        self.groups.get(id)
    }

    /// The group that claims `instance`; `None` if the instance is free.
    pub fn claim_of(&self, instance: &InstanceId) -> Option<&GroupId> {
        self.claims.get(instance)
    }

    /// Whether an operator has requested that `instance` be taken out of service.
    pub fn is_stopping(&self, instance: &InstanceId) -> bool {
        self.stopping.contains(instance)
    }

    /// Instances that operators have requested to be taken out of service.
    pub fn stopping(&self) -> impl Iterator<Item = &InstanceId> {
        self.stopping.iter()
    }

    /// The active groups of `model` in `version`.
    pub fn active_of<'a>(
        &'a self,
        model: &'a ModelName,
        version: &'a Version,
    ) -> impl Iterator<Item = &'a Group> {
        self.groups().filter(move |group| {
            group.is_active() && &group.model == model && &group.version == version
        })
    }

    /// Claims free instances for a new group.
    ///
    /// A formation states up to which offset its writer had read the log. An
    /// instance that was claimed and released after that offset makes the
    /// formation stale, so a late duplicate of an old formation never claims the
    /// instance again.
    ///
    /// # Errors
    ///
    /// The [`Rejection`] names the first precondition that no longer holds.
    pub fn form(
        &mut self,
        formation: &GroupFormation,
        in_force: Option<&InForce>,
        at: Offset,
    ) -> Result<(), Rejection> {
        self.check_wanted(formation, in_force)?;
        if self.groups.contains_key(&formation.group) {
            return Err(Rejection::NoChange);
        }
        self.check_members(formation)?;
        for member in &formation.members {
            self.claims.insert(member.instance.clone(), formation.group.clone());
            self.free_since.remove(&member.instance);
        }
        self.groups.insert(formation.group.clone(), Group::formed(formation, at));
        Ok(())
    }

    fn check_wanted(
        &self,
        formation: &GroupFormation,
        in_force: Option<&InForce>,
    ) -> Result<(), Rejection> {
        let in_force = in_force.ok_or(Rejection::BundleChanged { in_force: None })?;
        if in_force.hash != formation.bundle {
            return Err(Rejection::BundleChanged { in_force: Some(in_force.hash) });
        }
        let model = in_force.bundle.models.get(&formation.model).ok_or(Rejection::NotWanted)?;
        let role = model.role(&formation.role).ok_or(Rejection::NotWanted)?;
        let fits = model.version == formation.version
            && usize::from(role.instances) == formation.members.len();
        let running = self.active_of(&formation.model, &formation.version).count();
        let surplus = usize::from(self.may_replace(formation));
        if !fits || running >= usize::from(model.replicas) + surplus {
            return Err(Rejection::NotWanted);
        }
        Ok(())
    }

    /// Whether the formation replaces a group that is still active and that no other
    /// group replaces.
    fn may_replace(&self, formation: &GroupFormation) -> bool {
        let Some(replaced) = &formation.replaces else { return false };
        let old = self.groups.get(&replaced.group);
        let is_there = old.is_some_and(|old| {
            old.is_active() && old.fence == replaced.fence && old.model == formation.model
        });
        is_there && self.replacement_of(&replaced.group).is_none()
    }

    /// The active group that was formed to replace `group`.
    pub fn replacement_of(&self, group: &GroupId) -> Option<&Group> {
        self.groups().find(|other| {
            let replaced = other.replaces.as_ref();
            other.is_active() && replaced.is_some_and(|replaced| &replaced.group == group)
        })
    }

    fn check_members(&self, formation: &GroupFormation) -> Result<(), Rejection> {
        let mut seen = BTreeSet::new();
        for Member { instance, .. } in &formation.members {
            if !seen.insert(instance) || self.claims.contains_key(instance) {
                return Err(Rejection::Claimed { instance: instance.clone() });
            }
            let free_since = self.free_since.get(instance).unwrap_or(&self.free_since_floor);
            if *free_since > formation.relied_on || self.stopping.contains(instance) {
                return Err(Rejection::InstanceChanged { instance: instance.clone() });
            }
        }
        Ok(())
    }

    /// Starts to drain a group.
    ///
    /// # Errors
    ///
    /// [`Rejection::GroupChanged`] unless the group is active and has that fencing token.
    pub fn drain(&mut self, end: &GroupEnd, at: Offset) -> Result<(), Rejection> {
        let group = self.fenced_group(&end.group, end.fence)?;
        if !group.is_active() {
            return Err(Rejection::GroupChanged);
        }
        group.phase = Phase::Draining { since: at, cause: end.cause };
        Ok(())
    }

    /// Dissolves a group; its members stay claimed until they are released.
    ///
    /// # Errors
    ///
    /// [`Rejection::GroupChanged`] if it is dissolved already, unknown, or has another
    /// fencing token.
    pub fn dissolve(&mut self, end: &GroupEnd, at: Offset) -> Result<(), Rejection> {
        let group = self.fenced_group(&end.group, end.fence)?;
        if group.is_dissolved() {
            return Err(Rejection::GroupChanged);
        }
        group.phase = Phase::Dissolved { since: at, cause: end.cause };
        Ok(())
    }

    /// Releases a member of a dissolved group; the last release removes the group.
    ///
    /// # Errors
    ///
    /// [`Rejection::GroupChanged`] if the group is unknown, not dissolved, or has another
    /// fencing token, [`Rejection::InstanceChanged`] if it does not claim the instance.
    pub fn release(&mut self, release: &MemberRelease, at: Offset) -> Result<(), Rejection> {
        if !self.fenced_group(&release.group, release.fence)?.is_dissolved() {
            return Err(Rejection::GroupChanged);
        }
        if self.claims.get(&release.instance) != Some(&release.group) {
            return Err(Rejection::InstanceChanged { instance: release.instance.clone() });
        }
        self.claims.remove(&release.instance);
        self.free_since.insert(release.instance.clone(), at.next());
        self.drop_oldest_release();
        if !self.claims.values().any(|group| group == &release.group) {
            self.groups.remove(&release.group);
        }
        Ok(())
    }

    /// Records or withdraws an operator's request to take an instance out of service.
    ///
    /// # Errors
    ///
    /// [`Rejection::NoChange`] if that changes nothing.
    pub fn request_stop(&mut self, request: &StopRequest) -> Result<(), Rejection> {
        let changed = if request.stop {
            self.stopping.insert(request.instance.clone())
        } else {
            self.stopping.remove(&request.instance)
        };
        if changed { Ok(()) } else { Err(Rejection::NoChange) }
    }

    fn fenced_group(&mut self, id: &GroupId, fence: FencingToken) -> Result<&mut Group, Rejection> {
        let group = self.groups.get_mut(id).ok_or(Rejection::GroupChanged)?;
        if group.fence == fence { Ok(group) } else { Err(Rejection::GroupChanged) }
    }

    fn drop_oldest_release(&mut self) {
        if self.free_since.len() <= MAX_RELEASES {
            return;
        }
        let oldest = self.free_since.iter().min_by_key(|(_, offset)| **offset);
        let Some((instance, offset)) = oldest.map(|(i, o)| (i.clone(), *o)) else { return };
        self.free_since.remove(&instance);
        self.free_since_floor = self.free_since_floor.max(offset);
    }
}

impl Group {
    fn formed(formation: &GroupFormation, at: Offset) -> Self {
        Self {
            id: formation.group.clone(),
            fence: at.into(),
            model: formation.model.clone(),
            version: formation.version.clone(),
            role: formation.role.clone(),
            domain: formation.domain.clone(),
            members: formation.members.clone(),
            replaces: formation.replaces.clone(),
            phase: Phase::Active,
        }
    }
}
