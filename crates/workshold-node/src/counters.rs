//! Numbers that a node counts about itself.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Serialize;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident: $metric:literal, $text:literal;)*) => {
        /// What a node has counted since it started.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        /// A copy of [`Counters`] at some moment.
        #[derive(Debug, Clone, PartialEq, Eq, Serialize)]
        pub struct Counts {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// All names under which metrics are sent, and what they count.
            pub const METRICS: &'static [(&'static str, &'static str)] = &[$(($metric, $text),)*];

            /// The counts now.
            pub fn counts(&self) -> Counts {
                Counts { $($name: self.$name.get(),)* }
            }

            /// The counts in the order of [`Self::METRICS`].
            pub fn values(&self) -> Vec<u64> {
                vec![$(self.$name.get(),)*]
            }
        }
    };
}

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `n`.
    pub fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    /// The number so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

counters! {
    /// Requests that came.
    requests: "requests", "requests that came";
    /// Requests that ended as answered.
    answered: "answered", "requests whose whole answer went to the caller";
    /// Requests that ended as not run.
    not_run: "not_run", "requests that ended as not run";
    /// Requests that ended as unknown.
    unknown: "unknown", "requests of which it is unknown whether they ran";
    /// Attempts after the first.
    retries: "retries", "attempts after the first of a request";
    /// Streams taken up at another node.
    resumed: "resumed", "streams resumed by their callers";
    /// Streams cancelled because the caller was gone.
    cancelled: "cancelled", "streams cancelled because the caller was gone";
    /// Tokens sent to callers.
    tokens: "tokens", "tokens sent to callers";
    /// Bytes received for control.
    control_received: "control.received_bytes", "bytes received from peers, probes, log and list";
    /// Bytes sent for control.
    control_sent: "control.sent_bytes", "bytes sent to peers, probes, log and list";
    /// Probes sent.
    probes: "probes", "probes of instances sent";
    /// Questions asked of peers.
    questions: "questions", "questions asked of other nodes";
    /// Records applied.
    records: "records", "records of the log applied";
    /// Records passed over.
    records_passed_over: "records.passed_over", "records whose seal or content did not fit";
    /// Messages between nodes dropped.
    bad_messages: "peer.bad_messages", "messages between nodes whose seal did not fit";
    /// Appends made.
    appends: "appends", "appends to the log that were answered";
    /// Appends that failed or whose reply was lost.
    append_failures: "append.failures", "appends to the log without a good answer";
    /// Intents recorded.
    intents: "intents", "intents of this node that the log took";
    /// Orders sent.
    orders: "orders", "orders sent to instances";
}
