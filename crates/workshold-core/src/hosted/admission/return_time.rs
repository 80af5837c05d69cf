//! When refused callers are told to return, and whether they do.
//!
//! No node stores when a caller may return: its earliest return follows from its request's
//! fingerprint and the route's time limit, and how long it has waited from the time left that it
//! states. So nodes that have restarted, or that never saw a caller, recognise that it returns as
//! told.
//!
//! Two kinds of callers can't be told from those that return as told, and gain that place: one that
//! states less time left than it has, and one that was told a time later than its earliest return
//! and returns before that time. One that then repeats its request at many nodes is admitted nearly
//! always (`tests/admission_fleet.rs` has a test that fails for it).

use std::collections::VecDeque;

use workshold_protocol::Millis;

use super::ArrivalKind;
use super::unit_hash;

/// The earliest return of any caller: less time would hardly change the load.
const WAIT_MIN: Millis = Millis(300);
/// Callers honour a return time of up to their time left divided by this.
const HONOURED_DIVISOR: u64 = 3;
/// How much too early a return may be: callers round times to milliseconds, and timers fire early.
const EARLY_TOLERANCE: Millis = Millis(10);
/// The latest return that is told: by then the load has changed beyond prediction.
const RETRY_AFTER_MAX: Millis = Millis::from_secs(60);
/// Fraction of a return time beyond the ledger's window over which such returns are spread.
const LATE_SPREAD: f64 = 0.25;
/// Length of the ledger's slots, and their number: 25 s in all, a third of the longest time limits.
const SLOT: Millis = Millis(100);
const SLOTS: usize = 256;
/// A clock that is behind by no more than this is one that several threads read.
const CLOCK_TOLERANCE: Millis = Millis(1_000);
/// Number of refusals that are remembered: many more than a node makes in [`WAIT_MIN`].
const REFUSALS_MAX: usize = 1_024;
/// Distinguish the hashes of one fingerprint.
const EARLIEST_PURPOSE: u64 = 2;
const SPREAD_PURPOSE: u64 = 3;

/// A request as return times see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedRequest {
    /// Hash of its path, caller and body.
    pub fingerprint: u64,
    /// The route's time limit.
    pub time_limit: Millis,
    /// Time left until its deadline, as the caller states it.
    pub time_left: Millis,
}

impl TimedRequest {
    /// The shortest time between the first attempt and the return that counts as told.
    pub fn earliest_return(&self) -> Millis {
        let latest = self.time_limit.0 / HONOURED_DIVISOR;
        let first = latest.min(WAIT_MIN.0);
        let spread = (latest - first) as f64 * unit_hash(self.fingerprint, EARLIEST_PURPOSE);
        Millis(first + spread as u64)
    }

    /// How long the caller has been trying: zero if it states no time left or more than the limit.
    pub fn waited(&self) -> Millis {
        if self.time_left == Millis::ZERO {
            return Millis::ZERO;
        }
        self.time_limit - self.time_left
    }

    /// Whether the caller has waited for at least [`Self::earliest_return`].
    pub fn returns_as_told(&self) -> bool {
        let waited = self.waited();
        waited > Millis::ZERO && waited + EARLY_TOLERANCE >= self.earliest_return()
    }

    /// The longest return time that the caller honours.
    fn longest_honoured(&self) -> Millis {
        let is_absurd = self.time_left == Millis::ZERO || self.time_left > self.time_limit;
        let time_left = if is_absurd { self.time_limit } else { self.time_left };
        Millis(time_left.0 / HONOURED_DIVISOR)
    }

    /// The shortest time from now until a return that counts as told.
    fn shortest_wait(&self) -> Millis {
        let until_earliest = self.earliest_return() - self.waited();
        until_earliest.max(WAIT_MIN.min(self.longest_honoured()))
    }
}

/// The work ahead of a caller that returns, as the share of one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Requests above the available capacity.
    pub excess: f64,
    /// Requests completed per second. Zero if unknown; then no capacity is predicted and callers
    /// are told their earliest return.
    pub completed_per_s: f64,
}

impl Backlog {
    /// Requests that can be served within `time`, beyond the excess; none below zero.
    fn capacity_within(&self, time: Millis) -> f64 {
        self.completed_per_s * time.as_secs_f64() - self.excess
    }

    /// `None` if nothing can be predicted from it.
    fn checked(self) -> Option<Self> {
        let is_known = self.completed_per_s.is_finite() && self.completed_per_s > 0.0;
        let excess = if self.excess.is_finite() { self.excess.max(0.0) } else { 0.0 };
        is_known.then_some(Self { excess, ..self })
    }
}

/// The returns that this node has told callers, counted by time, so that no more of them fall into
/// any period than capacity is expected to appear for.
#[derive(Debug, Clone)]
pub struct ReturnLedger {
    /// Returns in each slot; `first_slot` is the number of the first one.
    slots: VecDeque<u32>,
    first_slot: u64,
}

impl Default for ReturnLedger {
    fn default() -> Self {
        Self { slots: VecDeque::from([0; SLOTS]), first_slot: 0 }
    }
}

impl ReturnLedger {
    /// The time after which the caller of the refused `request` is told to return.
    ///
    /// That is its earliest return, or the time until capacity appears for it if that is longer.
    /// A caller that wouldn't honour so long a time is told it all the same, but isn't counted.
    pub fn retry_after(&mut self, request: TimedRequest, backlog: Backlog, now: Millis) -> Millis {
        let now = self.advance(now);
        let shortest = request.shortest_wait();
        let Some(backlog) = backlog.checked() else {
            return self.count(request, shortest, now);
        };
        let asked_slot = self.slot_index(now + shortest);
        let slot = self.first_open_slot(asked_slot, backlog, now);
        let spread = unit_hash(request.fingerprint, SPREAD_PURPOSE);
        if slot >= SLOTS {
            return self.beyond_window(backlog, spread, now).max(shortest);
        }
        if slot == asked_slot {
            return self.count(request, shortest, now);
        }
        let begin = self.slot_begin(slot) - now;
        let within_slot = Millis((SLOT.0 as f64 * spread) as u64);
        let longest = request.longest_honoured();
        let is_honoured = begin <= longest;
        let told = begin + within_slot;
        self.count(request, if is_honoured { told.min(longest) } else { told }, now)
    }

    /// Moves the first slot to `now`. Returns `now`, or the begin of the first slot if that is a
    /// little later.
    fn advance(&mut self, now: Millis) -> Millis {
        let slot = now.0 / SLOT.0;
        let begin = self.slot_begin(0);
        if now < begin && begin - now <= CLOCK_TOLERANCE {
            return begin;
        }
        // A clock that has jumped back or far ahead leaves nothing of the ledger.
        let passed =
            slot.checked_sub(self.first_slot).map_or(SLOTS as u64, |n| n.min(SLOTS as u64));
        for _ in 0..passed {
            self.slots.pop_front();
            self.slots.push_back(0);
        }
        self.first_slot = slot;
        now
    }

    /// The first slot from `from` on in which one more return leaves capacity for those told
    /// before, there and in all later slots; `SLOTS` if there is none.
    fn first_open_slot(&self, from: usize, backlog: Backlog, now: Millis) -> usize {
        let mut told: u32 = self.slots.iter().sum();
        for slot in (from.min(SLOTS)..SLOTS).rev() {
            let time = self.slot_begin(slot) - now;
            if f64::from(told) > backlog.capacity_within(time) {
                return slot + 1;
            }
            told -= self.slots[slot];
        }
        from
    }

    /// A return time later than all slots.
    fn beyond_window(&self, backlog: Backlog, spread: f64, now: Millis) -> Millis {
        let told: u32 = self.slots.iter().sum();
        let wait_s = (backlog.excess + f64::from(told)) / backlog.completed_per_s;
        let wait = Millis((wait_s * 1000.0) as u64).max(self.slot_begin(SLOTS) - now);
        let spread_out = wait.0 as f64 * (1.0 + LATE_SPREAD * spread);
        Millis(spread_out as u64).min(RETRY_AFTER_MAX)
    }

    /// Counts the return at `now + told` if the caller honours it, and returns `told`.
    fn count(&mut self, request: TimedRequest, told: Millis, now: Millis) -> Millis {
        let index = self.slot_index(now + told);
        if told <= request.longest_honoured()
            && let Some(returns) = self.slots.get_mut(index)
        {
            *returns = returns.saturating_add(1);
        }
        told
    }

    fn slot_index(&self, at: Millis) -> usize {
        let index = (at.0 / SLOT.0).saturating_sub(self.first_slot);
        usize::try_from(index).unwrap_or(SLOTS)
    }

    fn slot_begin(&self, index: usize) -> Millis {
        Millis(self.first_slot.saturating_add(index as u64).saturating_mul(SLOT.0))
    }
}

/// One refusal that this node made.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    fingerprint: u64,
    /// When it was refused, and for how long an attempt that hasn't waited counts as early.
    refused_at: Millis,
    early_for: Millis,
    /// The same for an attempt that has waited, if one such was refused.
    return_refused_at: Millis,
    return_early_for: Millis,
}

/// The fingerprints that this node refused lately. A new one may overwrite another, which is then
/// forgotten; a fingerprint that wasn't refused is never taken for one that was.
#[derive(Debug, Clone)]
pub struct RecentRefusals {
    refusals: Vec<Option<Refusal>>,
}

impl Default for RecentRefusals {
    fn default() -> Self {
        Self { refusals: vec![None; REFUSALS_MAX] }
    }
}

impl RecentRefusals {
    /// Records that `request` was refused at `now` and told to return after `retry_after`.
    pub fn on_refusal(&mut self, request: TimedRequest, retry_after: Millis, now: Millis) {
        let early_for = retry_after.min(request.earliest_return());
        let entry = &mut self.refusals[slot_of(request.fingerprint)];
        let earlier = entry.filter(|refusal| refusal.fingerprint == request.fingerprint);
        let mut refusal = earlier.unwrap_or(Refusal {
            fingerprint: request.fingerprint,
            refused_at: now,
            early_for,
            return_refused_at: Millis::ZERO,
            return_early_for: Millis::ZERO,
        });
        refusal.refused_at = now;
        refusal.early_for = early_for;
        if request.returns_as_told() {
            refusal.return_refused_at = now;
            refusal.return_early_for = early_for;
        }
        *entry = Some(refusal);
    }

    /// How `request`, arriving at `now`, relates to earlier refusals.
    pub fn kind(&self, request: TimedRequest, now: Millis) -> ArrivalKind {
        let entry = self.refusals[slot_of(request.fingerprint)];
        let refusal = entry.filter(|refusal| refusal.fingerprint == request.fingerprint);
        let returns = request.returns_as_told();
        let is_early = refusal.is_some_and(|refusal| match returns {
            true => is_within(refusal.return_refused_at, refusal.return_early_for, now),
            false => is_within(refusal.refused_at, refusal.early_for, now),
        });
        match (is_early, returns) {
            (true, _) => ArrivalKind::Early,
            (false, true) => ArrivalKind::Returning,
            (false, false) => ArrivalKind::New,
        }
    }
}

/// Whether `now` is earlier than `period` after `refused_at`. A clock that has jumped back says
/// nothing about the time since.
fn is_within(refused_at: Millis, period: Millis, now: Millis) -> bool {
    now >= refused_at && now.since(refused_at) + EARLY_TOLERANCE < period
}

fn slot_of(fingerprint: u64) -> usize {
    (fingerprint % REFUSALS_MAX as u64) as usize
}
