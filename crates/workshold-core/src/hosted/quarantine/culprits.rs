//! Finds which fingerprints explain the ends of instances.
//!
//! At each end several requests were starting or queued, each with its content and the parts of its
//! prompt, and one of these is the cause. Fingerprints that no request has completed with explain
//! them before others, and those with more ends before those with fewer; what is left over counts
//! against the rest.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use super::KeyKind;
use super::entry::Entry;
use crate::hosted::fingerprint::Fingerprint;

/// A fingerprint explains the ends of another that no request has completed with either if it has
/// this many times as many. With fewer both are held until a request shows that one is sound: a
/// frequent part, of which none has completed yet, may be at more ends than the one that causes
/// them.
const DOMINANCE: usize = 2;

/// The most ends of a culprit of each sort that was at one end; 0 without any.
#[derive(Debug, Clone, Copy, Default)]
struct Explanation {
    content: usize,
    new_part: usize,
    sound_part: usize,
}

impl Explanation {
    fn add(&mut self, culprit: &Entry) {
        let most = match culprit.kind {
            KeyKind::Content => &mut self.content,
            KeyKind::PromptPart if culprit.cleared.is_none() => &mut self.new_part,
            KeyKind::PromptPart => &mut self.sound_part,
        };
        *most = culprit.independent.max(*most);
    }

    /// Whether the end does not count against an entry. One content does not explain the ends of
    /// another: each is in few requests, so there is little to tell them apart by.
    fn explains(self, entry: &Entry) -> bool {
        let most_of_parts = self.new_part.max(self.sound_part);
        let needed = DOMINANCE * entry.independent;
        match entry.kind {
            KeyKind::Content => most_of_parts >= needed,
            KeyKind::PromptPart if entry.cleared.is_none() => {
                most_of_parts.max(self.content) >= needed
            }
            KeyKind::PromptPart => {
                self.new_part > 0 || self.content > 0 || self.sound_part > entry.independent
            }
        }
    }
}

/// Counts the ends of each entry that no other one explains.
pub(super) fn update_counts(entries: &mut BTreeMap<Fingerprint, Entry>) {
    let mut explanations: HashMap<u64, Explanation> = HashMap::new();
    let mut culprits = BTreeSet::new();
    for entry in entries.values_mut() {
        entry.independent = entry.independent_ends();
        entry.count = entry.independent;
    }
    loop {
        let likeliest = likeliest_culprits(entries, &culprits);
        if likeliest.is_empty() {
            return;
        }
        for culprit in likeliest.iter().map(|culprit| &entries[culprit]) {
            for end in culprit.ends.values().filter(|end| culprit.is_uncleared(end.at)) {
                explanations.entry(end.incarnation).or_default().add(culprit);
            }
        }
        culprits.extend(likeliest);
        let others = entries.iter_mut().filter(|(fingerprint, _)| !culprits.contains(fingerprint));
        for (_, entry) in others.filter(|(_, entry)| entry.count > 0) {
            entry.count = entry.count_ends(|incarnation| {
                explanations.get(&incarnation).is_some_and(|found| found.explains(entry))
            });
        }
    }
}

/// The fingerprints that most likely caused ends that no culprit explains yet: those that no
/// request has completed with before others, then those with the most ends.
fn likeliest_culprits(
    entries: &BTreeMap<Fingerprint, Entry>,
    culprits: &BTreeSet<Fingerprint>,
) -> Vec<Fingerprint> {
    let candidates: Vec<(&Fingerprint, &Entry)> = entries
        .iter()
        .filter(|(fingerprint, entry)| entry.is_culprit() && !culprits.contains(fingerprint))
        .collect();
    let likelihood = |entry: &Entry| (entry.cleared.is_none(), entry.count);
    let highest = candidates.iter().map(|(_, entry)| likelihood(entry)).max();
    let likeliest = candidates.iter().filter(|(_, entry)| Some(likelihood(entry)) == highest);
    likeliest.map(|(fingerprint, _)| **fingerprint).collect()
}
