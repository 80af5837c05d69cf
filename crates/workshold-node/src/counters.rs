//! Counters of a node, which are sent as metrics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Serialize;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident: $metric:literal, $text:literal;)*) => {
        /// All counters of a node; they start at 0 with the process.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        /// A snapshot of [`Counters`].
        #[derive(Debug, Clone, PartialEq, Eq, Serialize)]
        pub struct Counts {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// Name of each metric, and what it counts.
            pub const METRICS: &'static [(&'static str, &'static str)] = &[$(($metric, $text),)*];

            /// Current values by name.
            pub fn counts(&self) -> Counts {
                Counts { $($name: self.$name.get(),)* }
            }

            /// Current values in the order of [`Self::METRICS`].
            pub fn values(&self) -> Vec<u64> {
                vec![$(self.$name.get(),)*]
            }
        }
    };
}

/// A counter that only increases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `n`.
    pub fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    /// Current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

counters! {
    /// Requests received on the callers' listener.
    requests: "requests", "requests received from callers";
    /// Requests whose whole answer was sent.
    answered: "answered", "requests whose whole answer was sent to the caller";
    /// Requests that failed without having run.
    not_run: "not_run", "requests that failed and were not run";
    /// Requests that failed and may have run.
    unknown: "unknown", "requests that failed and may have run";
    /// Attempts after the first one of a request.
    retries: "retries", "attempts after the first of a request";
    /// Streams that their callers resumed at this node.
    resumed: "resumed", "streams resumed by their callers";
    /// Streams cancelled because the caller disconnected or stopped reading.
    cancelled: "cancelled", "streams cancelled because the caller was gone";
    /// Tokens sent to callers.
    tokens: "tokens", "tokens sent to callers";
    /// Bytes of control traffic received; those of probes are estimated.
    control_received: "control.received_bytes", "bytes received from peers, probes, log and list";
    /// Bytes of control traffic sent; those of probes are estimated.
    control_sent: "control.sent_bytes", "bytes sent to peers, probes, log and list";
    /// Probes sent to instances.
    probes: "probes", "probes sent to instances";
    /// Requests sent to other nodes.
    questions: "questions", "requests sent to other nodes";
    /// Records of the log that were applied to the state.
    records: "records", "records of the log applied";
    /// Records of the log that were skipped because they are invalid.
    records_passed_over: "records.passed_over", "records skipped for an invalid seal or content";
    /// Messages from other nodes that were dropped because they are invalid.
    bad_messages: "peer.bad_messages", "messages between nodes dropped for an invalid seal";
    /// Appends that the log confirmed.
    appends: "appends", "appends that the log confirmed";
    /// Appends that failed or whose reply was lost.
    append_failures: "append.failures", "appends to the log without a confirmation";
    /// Intents of this node that were read back from the log.
    intents: "intents", "intents of this node recorded in the log";
    /// Orders sent to instances by this node's stewards.
    orders: "orders", "orders sent to instances";
}
