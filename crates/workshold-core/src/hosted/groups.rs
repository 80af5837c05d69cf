//! Groups, assembled from what their members report.

use std::collections::BTreeMap;
use std::sync::Arc;

use smol_str::SmolStr;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::MAX_NAME_LEN;
use workshold_protocol::ids::ModelName;
use xxhash_rust::xxh3::xxh3_64;

use super::roster::Entry;
use super::roster::Instance;
use super::roster::MemberState;
use super::serving_config::Engine;
use super::serving_config::ModelSpec;

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

    /// The configured model that the group serves, by the group's name; `None` if it is not
    /// configured.
    pub fn model<'a>(&self, engine: &'a Engine) -> Option<&'a ModelSpec> {
        model_of(&self.id, engine)
    }

    /// Index of the group's model in the configuration; `None` if it is not configured.
    pub fn model_index(&self, engine: &Engine) -> Option<usize> {
        model_index_of(&self.id, engine)
    }
}

/// The configured model that a group of this name serves; `None` if it is not configured.
pub fn model_of<'a>(id: &GroupId, engine: &'a Engine) -> Option<&'a ModelSpec> {
    engine.models.get(model_index_of(id, engine)?)
}

fn model_index_of(id: &GroupId, engine: &Engine) -> Option<usize> {
    let (label, _) = id.as_str().rsplit_once('.')?;
    let index_of = |is_match: &dyn Fn(&ModelName) -> bool| {
        engine.models.iter().position(|spec| is_match(&spec.name))
    };
    index_of(&|name| name.as_str() == label)
        .or_else(|| index_of(&|name| label.len() == SHORT_LABEL_LEN && short_label(name) == label))
}

/// Digits of the longest epoch.
const EPOCH_DIGITS_MAX: usize = 20;
/// Length of the label that stands for a model in a group's name if the model's own name leaves no
/// room for the epoch.
const SHORT_LABEL_LEN: usize = MAX_NAME_LEN - EPOCH_DIGITS_MAX - 1;
/// Hexadecimal digits of the hash in a short label.
const LABEL_HASH_DIGITS: usize = 16;

/// Name of the group that serves `model` under `epoch`.
pub fn group_id(model: &ModelName, epoch: u64) -> GroupId {
    let in_full = GroupId::new(&format!("{model}.{epoch}"));
    let short = || GroupId::new(&format!("{}.{epoch}", short_label(model)));
    in_full.or_else(|_| short()).expect("a short label leaves room for the longest epoch")
}

/// The start of a model's name and a hash of the whole, which tells apart models whose names begin
/// alike.
fn short_label(model: &ModelName) -> String {
    let hash = xxh3_64(model.as_str().as_bytes());
    let start: String =
        model.as_str().chars().take(SHORT_LABEL_LEN - LABEL_HASH_DIGITS - 1).collect();
    format!("{start}-{hash:0LABEL_HASH_DIGITS$x}")
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
