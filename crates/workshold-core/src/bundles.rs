//! The bundles in the log: those published, and the one in force.
//!
//! A bundle is the operators' configuration of models, services and teams. It is
//! published first and takes effect when it is signed off.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::ids::BundleHash;
use workshold_protocol::ids::Offset;
use workshold_protocol::record::SignOff;

use crate::state::Rejection;

/// Published bundles that are kept; beyond it the oldest that is not in force is dropped.
const MAX_PENDING: usize = 16;

/// The bundle in force and the published ones that can still be signed off.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Bundles {
    published: BTreeMap<BundleHash, Published>,
    in_force: Option<InForce>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Published {
    bundle: Arc<Bundle>,
    at: Offset,
}

/// The bundle in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// Hash of its content, which identifies it.
    pub hash: BundleHash,
    /// The configuration itself.
    pub bundle: Arc<Bundle>,
    /// Log offset of its sign-off.
    pub since: Offset,
    /// Number of sign-offs so far, this one included.
    pub generation: u64,
}

impl Bundles {
    /// The bundle in force; `None` until the first sign-off.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// The published bundles that can be signed off, in the order of their hashes.
    pub fn published(&self) -> impl Iterator<Item = (&BundleHash, &Bundle)> {
        self.published.iter().map(|(hash, published)| (hash, &*published.bundle))
    }

    /// Applies the publication of a bundle.
    ///
    /// # Errors
    ///
    /// [`Rejection::NoChange`] if the bundle has been published already.
    pub fn publish(&mut self, bundle: &Bundle, at: Offset) -> Result<(), Rejection> {
        let hash = bundle.hash();
        if self.published.contains_key(&hash) {
            return Err(Rejection::NoChange);
        }
        self.published.insert(hash, Published { bundle: Arc::new(bundle.clone()), at });
        self.drop_oldest_pending();
        Ok(())
    }

    /// Puts a published bundle in force if its parent is the one in force now.
    ///
    /// # Errors
    ///
    /// [`Rejection::BundleChanged`] names the bundle in force if that is not the
    /// parent; [`Rejection::UnknownBundle`] if the new one is not among the
    /// published bundles.
    pub fn sign_off(&mut self, sign_off: &SignOff, at: Offset) -> Result<(), Rejection> {
        let current = self.in_force.as_ref().map(|in_force| in_force.hash);
        if current != sign_off.parent {
            return Err(Rejection::BundleChanged { in_force: current });
        }
        let published = self.published.get(&sign_off.bundle).ok_or(Rejection::UnknownBundle)?;
        let generation = self.in_force.as_ref().map_or(0, |in_force| in_force.generation) + 1;
        let bundle = Arc::clone(&published.bundle);
        self.in_force = Some(InForce { hash: sign_off.bundle, bundle, since: at, generation });
        Ok(())
    }

    fn drop_oldest_pending(&mut self) {
        let current = self.in_force.as_ref().map(|in_force| in_force.hash);
        while self.published.len() > MAX_PENDING {
            let pending = self.published.iter().filter(|(hash, _)| Some(**hash) != current);
            let oldest = pending.min_by_key(|(_, published)| published.at).map(|(hash, _)| *hash);
            let Some(oldest) = oldest else { return };
            self.published.remove(&oldest);
        }
    }
}
