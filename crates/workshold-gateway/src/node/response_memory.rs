//! Bounds what a node holds of responses that it cannot pass on yet: bodies that are buffered until
//! they are complete, and the beginnings of events.

use std::collections::HashMap;
use std::sync::Arc;

use displaydoc::Display;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// The bytes that a node holds of all responses together. Clones share them.
///
/// Once they exceed the bound, the response that holds most is ended: an answer is short compared
/// with bytes that have no end.
#[derive(Debug, Clone, Default)]
pub struct ResponseMemory(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    total: u64,
    next_key: u64,
    holders: HashMap<u64, Holder>,
}

#[derive(Debug)]
struct Holder {
    bytes: u64,
    end_wanted: Arc<Notify>,
}

/// a response was ended because the node holds too much of all responses
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct MemoryExceeded;

impl std::error::Error for MemoryExceeded {}

impl ResponseMemory {
    /// Adds a response of which nothing is held yet. `total_max` bounds what is held of all
    /// responses when this one grows, in bytes.
    pub fn begin(&self, total_max: u64) -> HeldResponse {
        let key = {
            let mut state = self.0.lock();
            state.next_key += 1;
            state.next_key
        };
        let end_wanted = Arc::new(Notify::new());
        HeldResponse { memory: self.clone(), key, total_max, bytes: 0, end_wanted }
    }

    /// Bytes that are held now.
    pub fn total(&self) -> u64 {
        self.0.lock().total
    }
}

impl State {
    /// Sets what a response holds, and ends those that hold most until the bound is kept. Returns
    /// whether this one may go on.
    fn set(&mut self, response: &HeldResponse, bytes: u64) -> bool {
        self.remove(response.key);
        if bytes > 0 {
            let end_wanted = Arc::clone(&response.end_wanted);
            self.holders.insert(response.key, Holder { bytes, end_wanted });
            self.total += bytes;
        }
        let mut may_go_on = true;
        while self.total > response.total_max {
            let largest = self.holders.iter().max_by_key(|(key, holder)| (holder.bytes, **key));
            let Some((&key, holder)) = largest else { break };
            holder.end_wanted.notify_one();
            may_go_on &= key != response.key;
            self.remove(key);
        }
        may_go_on
    }

    fn remove(&mut self, key: u64) {
        if let Some(holder) = self.holders.remove(&key) {
            self.total -= holder.bytes;
        }
    }
}

/// What a node holds of one response.
#[derive(Debug)]
pub struct HeldResponse {
    memory: ResponseMemory,
    key: u64,
    total_max: u64,
    bytes: u64,
    end_wanted: Arc<Notify>,
}

impl HeldResponse {
    /// Sets how many bytes are held now.
    ///
    /// # Errors
    ///
    /// [`MemoryExceeded`] if this response was ended; its bytes no longer count.
    pub fn set(&mut self, bytes: u64) -> Result<(), MemoryExceeded> {
        if bytes == self.bytes {
            return Ok(());
        }
        let may_go_on = self.memory.0.lock().set(self, bytes);
        self.bytes = bytes;
        may_go_on.then_some(()).ok_or(MemoryExceeded)
    }

    /// Waits until this response is ended because others need the memory. Cancel safe.
    pub async fn ended(&self) {
        self.end_wanted.notified().await;
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.0.lock().remove(self.key);
        }
    }
}
