//! The idempotency keys in the log: which node may run the request of which key.
//!
//! A key contains its creation time (UUID version 7). Keys created before the floor
//! are forgotten *and refused*, so the request of a forgotten key never runs again.
//! The floor is set by log records, so every node refuses the same keys.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use workshold_protocol::Error;
use workshold_protocol::Millis;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::KeyDigest;
use workshold_protocol::ids::NodeId;
use workshold_protocol::ids::Offset;
use workshold_protocol::ids::RequestDigest;
use workshold_protocol::record::Intent;
use workshold_protocol::record::KeyExpiry;

use crate::state::Rejection;

/// The keys that are known, and the time before which keys are refused.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Keys {
    owners: BTreeMap<KeyDigest, Owner>,
    floor: Millis,
}

/// The one node that may run the request of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The node.
    pub node: NodeId,
    /// The only incarnation of the node that may run the request.
    pub incarnation: Incarnation,
    /// Digest of the request.
    pub request: RequestDigest,
    /// Creation time of the key.
    pub key_time: Millis,
    /// Log offset of the intent that claimed the key.
    pub at: Offset,
}

/// What the log says of the key of a request that arrives at a node.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyStatus<'a> {
    /// No node owns the key: a node may append an intent to claim it.
    Free,
    /// A node owns the key, for the same request.
    Owned(&'a Owner),
    /// A node owns the key, for another request.
    Reused,
    /// The key was created before the floor.
    Forgotten,
}

impl Keys {
    /// Looks up `key`, which was created at `time` and came with `request`.
    pub fn status(&self, key: &KeyDigest, time: Millis, request: &RequestDigest) -> KeyStatus<'_> {
        match self.owners.get(key) {
            Some(owner) if &owner.request == request => KeyStatus::Owned(owner),
            Some(_) => KeyStatus::Reused,
            None if time < self.floor => KeyStatus::Forgotten,
            None => KeyStatus::Free,
        }
    }

    /// Keys created before this time are refused.
    pub fn floor(&self) -> Millis {
        self.floor
    }

    /// Number of known keys.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Gives a key to the node whose intent comes first in the log.
    ///
    /// # Errors
    ///
    /// [`Rejection::KeyTaken`] if a node owns the key already,
    /// [`Rejection::KeyForgotten`] if the key was created before the floor.
    pub fn claim(&mut self, intent: &Intent, at: Offset) -> Result<(), Rejection> {
        if intent.key_time < self.floor {
            return Err(Rejection::KeyForgotten);
        }
        if self.owners.contains_key(&intent.key) {
            return Err(Rejection::KeyTaken);
        }
        let owner = Owner {
            node: intent.node.clone(),
            incarnation: intent.incarnation,
            request: intent.request,
            key_time: intent.key_time,
            at,
        };
        self.owners.insert(intent.key, owner);
        Ok(())
    }

    /// Raises the floor and forgets all keys below it.
    ///
    /// # Errors
    ///
    /// [`Rejection::NoChange`] if the floor is as high already.
    pub fn forget(&mut self, floor: KeyExpiry) -> Result<(), Rejection> {
        if floor.before <= self.floor {
            return Err(Rejection::NoChange);
        }
        self.floor = floor.before;
        self.owners.retain(|_, owner| owner.key_time >= floor.before);
        Ok(())
    }
}

/// Extracts the creation time from a caller's idempotency key.
///
/// # Errors
///
/// [`Error::BadIdempotencyKey`] unless the key is a UUID of version 7.
pub fn key_time(key: &str) -> Result<Millis, Error> {
    let uuid = Uuid::parse_str(key).map_err(|_| Error::BadIdempotencyKey)?;
    if uuid.get_version_num() != 7 {
        return Err(Error::BadIdempotencyKey);
    }
    let stamp = uuid.get_timestamp().ok_or(Error::BadIdempotencyKey)?;
    let (secs, nanos) = stamp.to_unix();
    Ok(Millis::from_secs(secs) + Millis(u64::from(nanos) / 1_000_000))
}
