//! What a node counts, through `cadence`, and tells on request.

use std::fmt::Write as _;

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;
use workshold_protocol::Millis;
use workshold_telemetry::exposition::Exposition;

use crate::node::Node;

macro_rules! metrics {
    ($($name:ident = $text:literal, $kind:literal, $what:literal;)*) => {
        /// Everything that is counted or timed.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Metric {
            $(#[doc = $what] $name,)*
        }

        impl Metric {
            /// All of them.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The name, behind the prefix.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Counter, gauge or histogram.
            pub const fn kind(self) -> &'static str {
                match self { $(Self::$name => $kind,)* }
            }

            /// What it says.
            pub const fn what(self) -> &'static str {
                match self { $(Self::$name => $what,)* }
            }
        }
    };
}

metrics! {
    Requests = "requests", "counter", "requests that were allowed";
    Answered = "answered", "counter", "requests whose whole answer went to the caller";
    NotRun = "not_run", "counter", "requests refused: they have not run";
    RequestsHeld = "requests_held", "counter", "requests refused because whoever begins to run such a one ends; they count as not_run too";
    Unknown = "unknown", "counter", "requests of which nobody knows whether they ran";
    AttemptsFailed = "attempts_failed", "counter", "attempts at an instance that failed";
    Withheld = "withheld", "counter", "sends withheld from instances that took none for now, by their own word";
    AttemptsNotNeeded = "attempts_not_needed", "counter", "attempts that another one made needless by speaking first";
    Repeats = "repeats", "counter", "repeats that the budget of their upstream allowed";
    RepeatsRefused = "repeats_refused", "counter", "repeats refused because the budget of their upstream was used up";
    StreamsMoved = "streams_moved", "counter", "streams that went on at another instance";
    StreamsCut = "streams_cut", "counter", "streams cut before their end";
    CallersGone = "callers_gone", "counter", "callers who left before the end";
    Orders = "orders", "counter", "orders given to instances";
    ConfigReads = "config_reads", "counter", "readings of the configuration from the store";
    ListReads = "list_reads", "counter", "readings of the list of instances from the store";
    LeaseCalls = "lease_calls", "counter", "renewals of the lease, and questions who holds it";
    Looks = "looks", "counter", "tries to reach an instance";
    LooksSilent = "looks_silent", "counter", "tries that nobody answered in time";
    LooksVoid = "looks_void", "counter", "tries that showed nothing: this node itself was held up";
    FirstEvent = "first_event_ms", "histogram", "from the request to its answer or first event, in ms";
    LongestGap = "longest_gap_ms", "histogram", "the longest pause between two events of a stream, in ms";
    InFlight = "in_flight", "gauge", "requests under way";
    ConfigAge = "config_age_ms", "gauge", "how long ago the configuration was known to be the newest, in ms";
    ListAge = "list_age_ms", "gauge", "how long ago the list of instances was read, in ms";
    StoreAge = "store_age_ms", "gauge", "how long ago the store answered, in ms";
    Targets = "targets", "gauge", "groups and plain instances that take requests";
    InDoubt = "in_doubt", "gauge", "instances that somebody cannot reach";
    Peers = "peers", "gauge", "other nodes that are heard";
    Limited = "limited", "gauge", "instances that name a limit of requests a second";
    Resting = "resting", "gauge", "instances that want nothing from this node for a while";
    Held = "held", "gauge", "contents of requests that are kept from all instances";
    Sharers = "sharers", "gauge", "nodes among which the slack of repeats is divided, this one included";
}

/// The beginning of every metric's name.
const PREFIX: &str = "workshold";

/// A node's metrics.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    exposition: Exposition,
}

impl Default for Metrics {
    fn default() -> Self {
        let exposition = Exposition::default();
        Self { client: StatsdClient::from_sink(PREFIX, exposition.clone()), exposition }
    }
}

impl Metrics {
    /// Counts one.
    pub fn count(&self, metric: Metric) {
        let counted = self.client.count(metric.name(), 1);
        debug_assert!(counted.is_ok(), "{metric:?}");
    }

    /// Notes how long something took.
    pub fn time(&self, metric: Metric, took: Millis) {
        let noted = self.client.time(metric.name(), took.0);
        debug_assert!(noted.is_ok(), "{metric:?}");
    }

    fn gauge(&self, metric: Metric, value: u64) {
        let noted = self.client.gauge(metric.name(), value);
        debug_assert!(noted.is_ok(), "{metric:?}");
    }

    /// All figures as text, the gauges as they are now.
    pub fn text(&self, node: &Node) -> Vec<u8> {
        let now = node.now();
        self.gauge(Metric::InFlight, node.in_flight() as u64);
        self.gauge(Metric::ConfigAge, node.config_age().map_or(u64::MAX, |(_, age)| age.0));
        self.gauge(Metric::ListAge, now.since(node.list.lock().read_at).0);
        self.gauge(Metric::StoreAge, node.store_silent_for().0);
        self.gauge(Metric::Targets, node.routing_table().len() as u64);
        self.gauge(Metric::InDoubt, node.suspicions.lock().iter().count() as u64);
        self.gauge(Metric::Peers, node.peers.lock().heard(now).count() as u64);
        self.gauge(Metric::Limited, node.instance_limits.lock().limits().count() as u64);
        self.gauge(Metric::Resting, node.instance_limits.lock().backing_off(now) as u64);
        self.gauge(Metric::Held, node.quarantine.lock().held(now).len() as u64);
        self.gauge(Metric::Sharers, node.peers.lock().max_node_count() as u64);
        self.exposition.text().unwrap_or_else(|err| format!("# {err}\n").into_bytes())
    }
}

/// The text of `docs/METRICS-PLATFORM.md`.
pub fn reference_page() -> String {
    let mut text = String::from(
        "# Metrics of a node on the platform\n\nServed as text at `/metrics` of the address for \
         other nodes and operators. Every name begins with `workshold_`.\n\n\
         | name | kind | what |\n| --- | --- | --- |\n",
    );
    for metric in Metric::ALL {
        let _ = writeln!(text, "| {} | {} | {} |", metric.name(), metric.kind(), metric.what());
    }
    text
}
