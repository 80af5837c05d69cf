//! Groups as their members state them.

use std::collections::BTreeMap;
use std::sync::Arc;

use smol_str::SmolStr;
use workshold_protocol::ids::GroupId;

use super::roster::Entry;
use super::roster::Instance;
use super::roster::MemberState;

/// One formation of a group, put together from its members' statements.
#[derive(Debug, Clone)]
pub struct Group {
    /// Its name.
    pub id: GroupId,
    /// Its formation.
    pub epoch: u64,
    /// Who says to be in it, by rank.
    pub members: BTreeMap<usize, Arc<Instance>>,
}

impl Group {
    /// The member that takes requests, if it is known.
    pub fn head(&self) -> Option<&Arc<Instance>> {
        self.members.get(&0)
    }

    /// What the head says of the group.
    pub fn state(&self) -> Option<MemberState> {
        self.head().and_then(|head| head.membership.as_ref()).map(|own| own.state)
    }

    /// The model that it serves; part of its name.
    pub fn model(&self) -> &str {
        model_of(&self.id)
    }
}

/// The name of a formation.
///
/// # Panics
///
/// If the model's name leaves no room for a number.
pub fn group_id(model: &str, epoch: u64) -> GroupId {
    GroupId::new(&format!("{model}.{epoch}")).expect("a model's name and a number are a name")
}

/// The model in the name of a formation.
pub fn model_of(id: &GroupId) -> &str {
    let text = id.as_str();
    text.rsplit_once('.').map_or(text, |(model, _)| model)
}

/// Puts statements together; groups with the same epoch and name are one.
pub fn collate<'a>(entries: impl Iterator<Item = &'a Entry>) -> Vec<Group> {
    let mut groups: BTreeMap<(u64, SmolStr), Group> = BTreeMap::new();
    for entry in entries {
        let Some(own) = &entry.instance.membership else { continue };
        let key = (own.epoch, SmolStr::new(own.group.as_str()));
        let group = groups.entry(key).or_insert_with(|| Group {
            id: own.group.clone(),
            epoch: own.epoch,
            members: BTreeMap::new(),
        });
        group.members.insert(own.rank, Arc::clone(&entry.instance));
    }
    groups.into_values().collect()
}
