//! Groups, assembled from what their members report.

use std::collections::BTreeMap;
use std::sync::Arc;

use smol_str::SmolStr;
use workshold_protocol::ids::GroupId;

use super::roster::Entry;
use super::roster::Instance;
use super::roster::MemberState;

/// A group under one epoch, assembled from its members' reports.
#[derive(Debug, Clone)]
pub struct Group {
    /// Name of the group.
    pub id: GroupId,
    /// Epoch under which it was formed.
    pub epoch: u64,
    /// Instances that report membership, by rank.
    pub members: BTreeMap<usize, Arc<Instance>>,
}

impl Group {
    /// The member of rank 0, which takes the group's requests; `None` if it does not report
    /// membership.
    pub fn head(&self) -> Option<&Arc<Instance>> {
        self.members.get(&0)
    }

    /// State that the head reports; `None` without a head.
    pub fn state(&self) -> Option<MemberState> {
        self.head().and_then(|head| head.membership.as_ref()).map(|membership| membership.state)
    }

    /// The model that the group serves, which is part of the group's name.
    pub fn model(&self) -> &str {
        model_of(&self.id)
    }
}

/// Name of the group that serves `model` under `epoch`.
///
/// # Panics
///
/// If the model's name is so long that the epoch does not fit into the group's name.
pub fn group_id(model: &str, epoch: u64) -> GroupId {
    GroupId::new(&format!("{model}.{epoch}")).expect("the model's name leaves room for an epoch")
}

/// The model in a group's name.
pub fn model_of(id: &GroupId) -> &str {
    let text = id.as_str();
    text.rsplit_once('.').map_or(text, |(model, _)| model)
}

/// Assembles groups from instance entries: members that report the same epoch and name form one
/// group.
pub fn assemble_groups<'a>(entries: impl Iterator<Item = &'a Entry>) -> Vec<Group> {
    let mut groups: BTreeMap<(u64, SmolStr), Group> = BTreeMap::new();
    for entry in entries {
        let Some(membership) = &entry.instance.membership else { continue };
        let key = (membership.epoch, SmolStr::new(membership.group.as_str()));
        let group = groups.entry(key).or_insert_with(|| Group {
            id: membership.group.clone(),
            epoch: membership.epoch,
            members: BTreeMap::new(),
        });
        group.members.insert(membership.rank, Arc::clone(&entry.instance));
    }
    groups.into_values().collect()
}
