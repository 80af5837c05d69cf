//! The aggregate of idempotency keys: which node may run which request.
//!
//! A key carries the time it was made (UUID version 7). Keys made before the
//! floor are forgotten *and refused*, so what is forgotten never runs again. The
//! floor is itself a record, so every node refuses the same keys.

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
use workshold_protocol::record::KeyFloor;

use crate::state::Rejection;

/// The keys that are remembered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Keys {
    owners: BTreeMap<KeyDigest, Owner>,
    floor: Millis,
}

/// The one node that may run a key's request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The node.
    pub node: NodeId,
    /// The one of its lives in which it may.
    pub incarnation: Incarnation,
    /// What was asked.
    pub request: RequestDigest,
    /// When the key was made.
    pub key_time: Millis,
    /// The offset of the intent.
    pub at: Offset,
}

/// What a node that is asked to run a request finds under its key.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyStatus<'a> {
    /// Nobody has it: an intent may be written.
    Free,
    /// Somebody has it, for the same request.
    Owned(&'a Owner),
    /// Somebody has it, for another request.
    Reused,
    /// It is older than what is remembered.
    Forgotten,
}

impl Keys {
    /// What is known of a key.
    pub fn status(&self, key: &KeyDigest, time: Millis, request: &RequestDigest) -> KeyStatus<'_> {
        match self.owners.get(key) {
            Some(owner) if &owner.request == request => KeyStatus::Owned(owner),
            Some(_) => KeyStatus::Reused,
            None if time < self.floor => KeyStatus::Forgotten,
            None => KeyStatus::Free,
        }
    }

    /// Keys made before this are refused.
    pub fn floor(&self) -> Millis {
        self.floor
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Gives a key to the first node that asks for it in log order.
    ///
    /// # Errors
    ///
    /// [`Rejection::KeyTaken`] if a node has it, [`Rejection::KeyForgotten`] if
    /// the key is older than the floor.
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
    /// [`Rejection::Known`] if the floor is there or higher already.
    pub fn forget(&mut self, floor: KeyFloor) -> Result<(), Rejection> {
        if floor.before <= self.floor {
            return Err(Rejection::Known);
        }
        self.floor = floor.before;
        self.owners.retain(|_, owner| owner.key_time >= floor.before);
        Ok(())
    }
}

/// Reads the time out of a caller's idempotency key.
///
/// # Errors
///
/// [`Error::BadIdempotencyKey`] unless it is a UUID of version 7.
pub fn key_time(key: &str) -> Result<Millis, Error> {
    let uuid = Uuid::parse_str(key).map_err(|_| Error::BadIdempotencyKey)?;
    if uuid.get_version_num() != 7 {
        return Err(Error::BadIdempotencyKey);
    }
    let stamp = uuid.get_timestamp().ok_or(Error::BadIdempotencyKey)?;
    let (secs, nanos) = stamp.to_unix();
    Ok(Millis::from_secs(secs) + Millis(u64::from(nanos) / 1_000_000))
}
