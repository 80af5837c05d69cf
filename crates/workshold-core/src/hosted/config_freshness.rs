//! How fresh the configuration is that a node uses.
//!
//! What counts is when the poll was *sent* whose answer showed this version to be the newest.
//! Peers pass on the version that they know with its age, so a node that can't reach the store
//! stays up to date as long as one of its peers does.

use workshold_protocol::Millis;

/// The version that a node holds, and when it was last known to be the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConfigFreshness {
    version: Option<u64>,
    newest_at: Millis,
    /// A newer version that a peer holds, and when it was known to be the newest.
    announced: Option<(u64, Millis)>,
}

impl ConfigFreshness {
    /// The version held; `None` before the first one is read.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Adopts `version`, which was the newest at `at`.
    ///
    /// Returns whether it is newer than the one held. An older one changes nothing.
    pub fn take(&mut self, version: u64, at: Millis) -> bool {
        match self.version {
            Some(held) if version < held => false,
            Some(held) if version == held => {
                self.newest_at = self.newest_at.max(at);
                false
            }
            _ => {
                let announced = self.announced.filter(|(announced, _)| *announced == version);
                self.version = Some(version);
                self.newest_at = announced.map_or(at, |(_, announced_at)| announced_at.max(at));
                true
            }
        }
    }

    /// Records that `version` was the newest at `at`, as this node or a peer saw.
    ///
    /// Returns whether this node lacks that version.
    pub fn confirm(&mut self, version: u64, at: Millis) -> bool {
        if self.version == Some(version) {
            self.newest_at = self.newest_at.max(at);
        }
        let is_lacking = self.version.is_none_or(|held| version > held);
        if is_lacking {
            self.announced = self.announced.max(Some((version, at)));
        }
        is_lacking
    }

    /// How long ago the version held was last known to be the newest; `None` without a version.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.version.map(|_| now.since(self.newest_at))
    }

    /// Whether the version held was known to be the newest less than `bound` ago. API keys are
    /// then trusted.
    pub fn is_within(&self, now: Millis, bound: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
