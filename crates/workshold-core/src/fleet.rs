//! The aggregate of groups, the instances they claim, and planned stops.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::Fence;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::Offset;
use workshold_protocol::ids::RoleName;
use workshold_protocol::ids::Version;
use workshold_protocol::record::EndCause;
use workshold_protocol::record::Formation;
use workshold_protocol::record::GroupEnd;
use workshold_protocol::record::Member;
use workshold_protocol::record::Release;
use workshold_protocol::record::Replaced;
use workshold_protocol::record::StopRequest;

use crate::bundles::InForce;
use crate::state::Rejection;

/// How many releases are remembered one by one; see [`Fleet::form`].
const MAX_RELEASES: usize = 4096;

/// Which instance is in which group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fleet {
    groups: BTreeMap<GroupId, Group>,
    claims: BTreeMap<InstanceId, GroupId>,
    /// For an instance that was free again, the first offset after its release.
    free_since: BTreeMap<InstanceId, Offset>,
    /// The same for all whose entry was dropped.
    free_since_floor: Offset,
    stopping: BTreeSet<InstanceId>,
}

/// A replica group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Its name.
    pub id: GroupId,
    /// The offset of its formation, which every order and report names.
    pub fence: Fence,
    /// What it serves.
    pub model: ModelName,
    /// Which version of it.
    pub version: Version,
    /// Which of the model's sizes it has.
    pub role: RoleName,
    /// Where its members are.
    pub domain: FabricDomain,
    /// Its members, the one that serves callers first.
    pub members: Vec<Member>,
    /// The group it stands in for, if any.
    pub replaces: Option<Replaced>,
    /// How far its life has come.
    pub phase: Phase,
}

/// How far a group's life has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It may serve.
    Active,
    /// It takes nothing new.
    Draining {
        /// The offset that says so; orders to drain carry it.
        since: Offset,
        /// Why.
        cause: EndCause,
    },
    /// It is over; its members are being ordered out.
    Dissolved {
        /// The offset that says so; orders to leave carry it.
        since: Offset,
        /// Why.
        cause: EndCause,
    },
}

impl Group {
    /// The member that serves callers.
    pub fn head(&self) -> &Member {
        &self.members[0]
    }

    /// Whether `instance` is one of its members.
    pub fn has(&self, instance: &InstanceId) -> bool {
        self.members.iter().any(|member| &member.instance == instance)
    }

    /// Orders groups from the oldest; those of one record by name.
    pub fn age_key(&self) -> (Fence, &GroupId) {
        (self.fence, &self.id)
    }

    /// Whether it may serve, as far as the log says.
    pub fn is_active(&self) -> bool {
        self.phase == Phase::Active
    }

    /// Whether it has ended.
    pub fn is_dissolved(&self) -> bool {
        matches!(self.phase, Phase::Dissolved { .. })
    }
}

impl Fleet {
    /// All groups that still claim an instance.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    /// One group.
    pub fn group(&self, id: &GroupId) -> Option<&Group> {
        self.groups.get(id)
    }

    /// The group that claims `instance`.
    pub fn claim_of(&self, instance: &InstanceId) -> Option<&GroupId> {
        self.claims.get(instance)
    }

    /// Whether an operator wants `instance` out of service.
    pub fn is_stopping(&self, instance: &InstanceId) -> bool {
        self.stopping.contains(instance)
    }

    /// Instances that operators want out of service.
    pub fn stopping(&self) -> impl Iterator<Item = &InstanceId> {
        self.stopping.iter()
    }

    /// The groups of `model` and `version` that may serve.
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
    /// The writer says how far it had read. An instance that was claimed and
    /// released after that makes the formation stale, so a late copy of an old
    /// formation never claims it again.
    ///
    /// # Errors
    ///
    /// The [`Rejection`] names the first thing that has moved.
    pub fn form(
        &mut self,
        formation: &Formation,
        in_force: Option<&InForce>,
        at: Offset,
    ) -> Result<(), Rejection> {
        self.check_wanted(formation, in_force)?;
        if self.groups.contains_key(&formation.group) {
            return Err(Rejection::Known);
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
        formation: &Formation,
        in_force: Option<&InForce>,
    ) -> Result<(), Rejection> {
        let in_force = in_force.ok_or(Rejection::BundleMoved { in_force: None })?;
        if in_force.hash != formation.bundle {
            return Err(Rejection::BundleMoved { in_force: Some(in_force.hash) });
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

    /// Whether the group to be replaced is still active and nobody else replaces it.
    fn may_replace(&self, formation: &Formation) -> bool {
        let Some(replaced) = &formation.replaces else { return false };
        let old = self.groups.get(&replaced.group);
        let is_there = old.is_some_and(|old| {
            old.is_active() && old.fence == replaced.fence && old.model == formation.model
        });
        is_there && self.replacement_of(&replaced.group).is_none()
    }

    /// The active group that stands in for `group`.
    pub fn replacement_of(&self, group: &GroupId) -> Option<&Group> {
        self.groups().find(|other| {
            let replaced = other.replaces.as_ref();
            other.is_active() && replaced.is_some_and(|replaced| &replaced.group == group)
        })
    }

    fn check_members(&self, formation: &Formation) -> Result<(), Rejection> {
        let mut seen = BTreeSet::new();
        for Member { instance, .. } in &formation.members {
            if !seen.insert(instance) || self.claims.contains_key(instance) {
                return Err(Rejection::Claimed { instance: instance.clone() });
            }
            let free_since = self.free_since.get(instance).unwrap_or(&self.free_since_floor);
            if *free_since > formation.relied_on || self.stopping.contains(instance) {
                return Err(Rejection::InstanceMoved { instance: instance.clone() });
            }
        }
        Ok(())
    }

    /// Lets a group take nothing new.
    ///
    /// # Errors
    ///
    /// [`Rejection::GroupMoved`] unless the group is active under that fence.
    pub fn drain(&mut self, end: &GroupEnd, at: Offset) -> Result<(), Rejection> {
        let group = self.fenced_group(&end.group, end.fence)?;
        if !group.is_active() {
            return Err(Rejection::GroupMoved);
        }
        group.phase = Phase::Draining { since: at, cause: end.cause };
        Ok(())
    }

    /// Ends a group.
    ///
    /// # Errors
    ///
    /// [`Rejection::GroupMoved`] if it has ended or the fence is another.
    pub fn dissolve(&mut self, end: &GroupEnd, at: Offset) -> Result<(), Rejection> {
        let group = self.fenced_group(&end.group, end.fence)?;
        if group.is_dissolved() {
            return Err(Rejection::GroupMoved);
        }
        group.phase = Phase::Dissolved { since: at, cause: end.cause };
        Ok(())
    }

    /// Frees a member of an ended group.
    ///
    /// # Errors
    ///
    /// [`Rejection::GroupMoved`] if the group is not over or another by now,
    /// [`Rejection::InstanceMoved`] if it does not claim the instance.
    pub fn release(&mut self, release: &Release, at: Offset) -> Result<(), Rejection> {
        if !self.fenced_group(&release.group, release.fence)?.is_dissolved() {
            return Err(Rejection::GroupMoved);
        }
        if self.claims.get(&release.instance) != Some(&release.group) {
            return Err(Rejection::InstanceMoved { instance: release.instance.clone() });
        }
        self.claims.remove(&release.instance);
        self.free_since.insert(release.instance.clone(), at.next());
        self.drop_oldest_release();
        if !self.claims.values().any(|group| group == &release.group) {
            self.groups.remove(&release.group);
        }
        Ok(())
    }

    /// Asks for an instance to be taken out of service, or takes that back.
    ///
    /// # Errors
    ///
    /// [`Rejection::Known`] if it is so already.
    pub fn request_stop(&mut self, request: &StopRequest) -> Result<(), Rejection> {
        let changed = if request.stop {
            self.stopping.insert(request.instance.clone())
        } else {
            self.stopping.remove(&request.instance)
        };
        if changed { Ok(()) } else { Err(Rejection::Known) }
    }

    fn fenced_group(&mut self, id: &GroupId, fence: Fence) -> Result<&mut Group, Rejection> {
        let group = self.groups.get_mut(id).ok_or(Rejection::GroupMoved)?;
        if group.fence == fence { Ok(group) } else { Err(Rejection::GroupMoved) }
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
    fn formed(formation: &Formation, at: Offset) -> Self {
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
