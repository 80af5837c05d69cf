//! How fresh the configuration is that a node goes by.
//!
//! What counts is when a question was *sent* that showed this version to be the
//! newest. Peers pass on what they know with its age, so a node that is cut off
//! from the store stays current as long as one of its peers is.

use workshold_protocol::Millis;

/// The newest version that a node holds and since when it is known to be the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConfigFreshness {
    version: Option<u64>,
    newest_at: Millis,
}

impl ConfigFreshness {
    /// The version held, if any.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Takes `version` into force, known to be the newest at `at`.
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
                self.version = Some(version);
                self.newest_at = at;
                true
            }
        }
    }

    /// Somebody saw that `version` was the newest at `at`.
    ///
    /// Returns whether that is a version that this node lacks.
    pub fn confirm(&mut self, version: u64, at: Millis) -> bool {
        if self.version == Some(version) {
            self.newest_at = self.newest_at.max(at);
        }
        self.version.is_none_or(|held| version > held)
    }

    /// How long ago the version held was known to be the newest.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.version.map(|_| now.since(self.newest_at))
    }

    /// Whether keys may be believed: nothing older than `bound`.
    pub fn is_within(&self, now: Millis, bound: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
