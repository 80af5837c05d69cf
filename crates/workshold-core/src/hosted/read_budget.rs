//! Bounds the bytes that a node holds for readers that do not read them.
//!
//! A reader is whoever takes the bytes: a caller that reads its answer, or an instance that reads
//! the body of a request. Each reader's state is reported as a whole, so a report that is lost or
//! repeated does no harm.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::Hash;

use workshold_protocol::Millis;

/// Bounds on the bytes that are held for readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadBudgetRules {
    /// Waiting bytes at which no more is read for one reader.
    pub stream_bytes: u64,
    /// Bytes held for all readers together.
    pub total_bytes: u64,
    /// A reader for which bytes are waiting is ended if it has taken none for this long.
    pub unread_max: Millis,
}

/// What is held for one reader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldBytes {
    /// Bytes that the reader could take now.
    pub waiting: u64,
    /// Bytes that cannot be passed on yet, such as the beginning of an event. They are no reason to
    /// stop reading: the rest has to be read before the reader can take them.
    pub partial: u64,
    /// How much the reader has taken so far: any number that grows when it takes something.
    pub taken: u64,
}

/// Why a reader is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// Bytes were waiting for it, and it took none for [`ReadBudgetRules::unread_max`].
    Unread,
    /// All readers together reached [`ReadBudgetRules::total_bytes`], and of those left it had gone
    /// without taking any bytes for longest.
    TotalReached,
}

/// The last report on one reader.
#[derive(Debug, Clone, Copy)]
struct Account {
    held: HeldBytes,
    /// Since when it has taken none of the bytes that are waiting for it.
    unread_since: Millis,
}

impl Account {
    fn bytes(&self) -> u64 {
        self.held.waiting + self.held.partial
    }
}

/// The bytes held for each reader and for all of them.
#[derive(Debug, Clone)]
pub struct ReadBudget<K> {
    rules: ReadBudgetRules,
    accounts: HashMap<K, Account>,
    total: u64,
}

impl<K: Copy + Ord + Hash> ReadBudget<K> {
    /// A budget without readers.
    pub fn new(rules: ReadBudgetRules) -> Self {
        Self { rules, accounts: HashMap::new(), total: 0 }
    }

    /// Puts other bounds in force.
    pub fn set_rules(&mut self, rules: ReadBudgetRules) {
        self.rules = rules;
    }

    /// Records what is held for a reader at `now`; the first report adds the reader.
    pub fn update(&mut self, reader: K, held: HeldBytes, now: Millis) {
        let account = self.accounts.entry(reader).or_insert(Account {
            held: HeldBytes { taken: held.taken, ..HeldBytes::default() },
            unread_since: now,
        });
        let had_none = account.held.waiting == 0;
        let has_taken = account.held.taken != held.taken;
        if had_none || has_taken || held.waiting == 0 {
            account.unread_since = now;
        }
        self.total -= account.bytes();
        account.held = held;
        self.total += account.bytes();
    }

    /// Drops a reader and what is held for it.
    pub fn remove(&mut self, reader: K) {
        if let Some(account) = self.accounts.remove(&reader) {
            self.total -= account.bytes();
        }
    }

    /// Whether no more may be read for this reader until it has taken some of the waiting bytes.
    pub fn is_full(&self, reader: K) -> bool {
        self.accounts
            .get(&reader)
            .is_some_and(|account| account.held.waiting >= self.rules.stream_bytes)
    }

    /// Bytes held for all readers together.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Whether readers have to be ended because all together reached their bound.
    pub fn is_total_reached(&self) -> bool {
        self.total >= self.rules.total_bytes
    }

    /// Number of readers.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there is no reader.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Drops the readers to end at `now`, and returns them: those that have taken nothing for too
    /// long, and then, while the total is reached, the one that has gone without taking any bytes
    /// for longest. A reader for which no bytes are waiting comes after all others.
    pub fn take_ended(&mut self, now: Millis) -> Vec<(K, EndReason)> {
        let unread_for = |account: &Account| match account.held.waiting {
            0 => Millis::ZERO,
            _ => now.since(account.unread_since),
        };
        let mut ended: Vec<(K, EndReason)> = self
            .accounts
            .iter()
            .filter(|(_, account)| unread_for(account) >= self.rules.unread_max)
            .map(|(reader, _)| (*reader, EndReason::Unread))
            .collect();
        ended.sort_unstable_by_key(|(reader, _)| *reader);
        ended.iter().for_each(|(reader, _)| self.remove(*reader));
        if !self.is_total_reached() {
            return ended;
        }
        let mut rest: Vec<(K, Account)> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.bytes() > 0)
            .map(|(reader, account)| (*reader, *account))
            .collect();
        rest.sort_unstable_by_key(|(reader, account)| {
            let has_waiting = account.held.waiting > 0;
            (Reverse(has_waiting), Reverse(unread_for(account)), Reverse(account.bytes()), *reader)
        });
        for (reader, _) in rest {
            if !self.is_total_reached() {
                break;
            }
            self.remove(reader);
            ended.push((reader, EndReason::TotalReached));
        }
        ended
    }
}
