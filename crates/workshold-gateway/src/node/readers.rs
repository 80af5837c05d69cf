//! Callers that read answers and instances that read request bodies, and the bytes held for them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use smol_str::SmolStr;
use workshold_core::hosted::read_budget::EndReason;
use workshold_core::hosted::read_budget::HeldBytes;
use workshold_core::hosted::read_budget::ReadBudget;
use workshold_core::hosted::read_budget::ReadBudgetRules;
use workshold_http::write_progress::WriteProgress;

use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;

/// Who reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderKind {
    /// A caller, an answer.
    Caller,
    /// An instance, the body of a request.
    Instance,
}

/// Reads what a node sends on one connection.
#[derive(Debug)]
pub struct Reader {
    kind: ReaderKind,
    request_id: SmolStr,
    progress: Arc<WriteProgress>,
    /// Bytes that cannot be passed on yet.
    partial: AtomicU64,
    /// Whether all was handed over to the connection.
    is_over: AtomicBool,
    end_reason: OnceLock<EndReason>,
}

impl Reader {
    /// What its connection has sent, and what waits to be sent.
    pub fn progress(&self) -> &Arc<WriteProgress> {
        &self.progress
    }

    /// Why the node has ended it; `None` if it has not.
    pub fn end_reason(&self) -> Option<EndReason> {
        self.end_reason.get().copied()
    }

    /// Sets how many bytes cannot be passed on yet, such as the beginning of an event.
    pub fn set_partial(&self, bytes: usize) {
        self.partial.store(bytes as u64, Ordering::Relaxed);
    }

    /// Records that nothing more will be handed over. It is forgotten once it has read the rest.
    pub fn set_over(&self) {
        self.set_partial(0);
        self.is_over.store(true, Ordering::Relaxed);
    }

    fn held(&self) -> HeldBytes {
        HeldBytes {
            waiting: self.progress.waiting(),
            partial: self.partial.load(Ordering::Relaxed),
            taken: self.progress.written(),
        }
    }

    fn is_finished(&self) -> bool {
        let is_over = self.is_over.load(Ordering::Relaxed);
        self.progress.is_closed() || (is_over && self.progress.waiting() == 0)
    }
}

/// All readers of a node, by connection.
#[derive(Debug)]
pub struct Readers(Mutex<ReadersState>);

#[derive(Debug)]
struct ReadersState {
    budget: ReadBudget<u64>,
    by_connection: HashMap<u64, Arc<Reader>>,
}

impl Readers {
    /// No readers yet.
    pub fn new(rules: ReadBudgetRules) -> Self {
        let budget = ReadBudget::new(rules);
        Self(Mutex::new(ReadersState { budget, by_connection: HashMap::new() }))
    }

    /// Bytes held for all readers together, as last reported.
    pub fn held_bytes(&self) -> u64 {
        self.0.lock().budget.total()
    }

    /// Number of readers that have not finished.
    pub fn len(&self) -> usize {
        self.0.lock().by_connection.len()
    }

    /// Whether there are no readers.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl ReadersState {
    /// The readers to end, which are forgotten.
    fn take_ended(&mut self, node: &Node) -> Vec<(Arc<Reader>, EndReason)> {
        let ended = self.budget.take_ended(node.now());
        let reader = |(key, reason)| Some((self.by_connection.remove(&key)?, reason));
        ended.into_iter().filter_map(reader).collect()
    }
}

impl Node {
    /// Adds the reader of a connection; it replaces the connection's earlier one.
    pub fn add_reader(
        &self,
        kind: ReaderKind,
        request_id: SmolStr,
        progress: Arc<WriteProgress>,
    ) -> Arc<Reader> {
        let reader = Arc::new(Reader {
            kind,
            request_id,
            progress,
            partial: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            end_reason: OnceLock::new(),
        });
        let key = reader.progress.connection();
        self.readers.0.lock().by_connection.insert(key, Arc::clone(&reader));
        reader
    }

    /// Forgets the reader of a connection.
    pub fn remove_reader(&self, reader: &Reader) {
        let key = reader.progress.connection();
        let mut readers = self.readers.0.lock();
        readers.by_connection.remove(&key);
        readers.budget.remove(key);
    }

    /// Accounts for bytes that were just handed over to a reader, and ends those that have gone
    /// unread longest if the total is reached.
    pub fn note_reader(&self, reader: &Reader) {
        let key = reader.progress.connection();
        let mut readers = self.readers.0.lock();
        if !readers.by_connection.contains_key(&key) {
            return;
        }
        readers.budget.update(key, reader.held(), self.now());
        // The periodic check finds those that have taken nothing for too long.
        if !readers.budget.is_total_reached() {
            return;
        }
        let ended = readers.take_ended(self);
        drop(readers);
        self.end_readers(ended);
    }

    /// Whether no more may be read for this reader now.
    pub fn is_reader_full(&self, reader: &Reader) -> bool {
        let key = reader.progress.connection();
        let mut readers = self.readers.0.lock();
        if !readers.by_connection.contains_key(&key) {
            return false;
        }
        readers.budget.update(key, reader.held(), self.now());
        readers.budget.is_full(key)
    }

    /// Forgets the readers that have finished, and ends those that have taken nothing for too long.
    pub fn check_readers(&self) {
        let now = self.now();
        let rules = self.settings().read_budget_rules();
        let mut readers = self.readers.0.lock();
        let ReadersState { budget, by_connection } = &mut *readers;
        budget.set_rules(rules);
        by_connection.retain(|key, reader| {
            let is_finished = reader.is_finished();
            if is_finished {
                budget.remove(*key);
            } else {
                budget.update(*key, reader.held(), now);
            }
            !is_finished
        });
        let ended = readers.take_ended(self);
        drop(readers);
        self.end_readers(ended);
    }

    /// Closes the connections of readers, and logs why.
    fn end_readers(&self, ended: Vec<(Arc<Reader>, EndReason)>) {
        for (reader, reason) in ended {
            // A reader is ended once, since it is forgotten at the same time.
            let _ = reader.end_reason.set(reason);
            let held = reader.held();
            reader.progress.abort();
            let (event, metric) = match reader.kind {
                ReaderKind::Caller => (Event::SlowCallerEnded, Metric::SlowCallers),
                ReaderKind::Instance => (Event::BodyNotTaken, Metric::BodiesNotTaken),
            };
            let why = match reason {
                EndReason::Unread => "nothing was read for too long while bytes were waiting",
                EndReason::TotalReached => "the bytes held for all readers reached their bound",
            };
            self.metrics.count(metric);
            emit(
                event,
                &[
                    ("request", &reader.request_id),
                    ("why", why),
                    ("waiting", &held.waiting.to_string()),
                    ("partial", &held.partial.to_string()),
                    ("written", &held.taken.to_string()),
                ],
            );
        }
    }
}
