//! A node's metrics, recorded through `cadence` and served as text at `/metrics`.

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
        /// A metric of the node.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Metric {
            $(#[doc = $what] $name,)*
        }

        impl Metric {
            /// All metrics, in the order of their page.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The name without its prefix.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// `counter`, `gauge` or `histogram`.
            pub const fn kind(self) -> &'static str {
                match self { $(Self::$name => $kind,)* }
            }

            /// What it measures, and the unit, for the page of metrics.
            pub const fn what(self) -> &'static str {
                match self { $(Self::$name => $what,)* }
            }
        }
    };
}

metrics! {
    Requests = "requests", "counter", "requests that passed routing, authorization and the quarantine";
    Answered = "answered", "counter", "requests whose complete answer went to the caller";
    NotRun = "not_run", "counter", "requests refused without having run";
    Shed = "shed", "counter", "requests refused because those that go before them take what their model accepts; counted in not_run too";
    RequestsHeld = "requests_held", "counter", "requests refused because their content or a part of their prompt is quarantined: instances ended when they began to run it; counted in not_run too";
    Unknown = "unknown", "counter", "requests of which it is unknown whether they ran";
    AttemptsFailed = "attempts_failed", "counter", "attempts at an instance that failed";
    Withheld = "withheld", "counter", "sends withheld because the instance had asked for none now";
    AttemptsNotNeeded = "attempts_not_needed", "counter", "attempts dropped because another attempt of the request answered first";
    Repeats = "repeats", "counter", "retries that the retry budget of their upstream allowed";
    RepeatsRefused = "repeats_refused", "counter", "retries refused because the retry budget of their upstream was used up";
    StreamsMoved = "streams_moved", "counter", "streams that continued at another instance";
    StreamsCut = "streams_cut", "counter", "streams ended before their last event";
    CallersGone = "callers_gone", "counter", "callers who disconnected before the end of the answer";
    SlowCallers = "slow_callers", "counter", "callers disconnected because they did not read their answers; not counted in callers_gone";
    BodiesNotTaken = "bodies_not_taken", "counter", "attempts ended because the instance did not take the request's body";
    UnframedBelieved = "unframed_believed", "counter", "responses that ended with their connections and were taken for complete";
    UnframedNotBelieved = "unframed_not_believed", "counter", "responses that ended with their connections and were not taken for complete";
    NoAnswers = "no_answers", "counter", "attempts ended because the instance sent bytes that are no answer, such as malformed ones or ones without end; counted in attempts_failed too";
    TunnelsAsked = "tunnels_asked", "counter", "connections to instances that a peer was asked to open and forward";
    TunnelsOpened = "tunnels_opened", "counter", "connections to instances opened and forwarded for other nodes";
    TunnelsRefused = "tunnels_refused", "counter", "connections to instances that another node asked for and did not get";
    Orders = "orders", "counter", "orders given to instances";
    ConfigReads = "config_reads", "counter", "reads of the configuration from the store";
    ListReads = "list_reads", "counter", "reads of the list of instances from the store";
    LeaseCalls = "lease_calls", "counter", "renewals of the lease at the store";
    DiscoveryCalls = "discovery_calls", "counter", "queries of the store for other nodes";
    Looks = "looks", "counter", "probes of an instance";
    LooksSilent = "looks_silent", "counter", "probes that were not answered in time";
    LooksVoid = "looks_void", "counter", "probes that showed nothing because this node itself was delayed";
    ProcessChecks = "process_checks", "counter", "questions to an instance whether the process that sent a response still runs";
    FirstEvent = "first_event_ms", "histogram", "time from the request to its answer or first event, in ms";
    LongestGap = "longest_gap_ms", "histogram", "the longest pause between two events of a stream, in ms";
    InFlight = "in_flight", "gauge", "requests under way";
    ConfigAge = "config_age_ms", "gauge", "time since the configuration was last known to be the newest, in ms";
    ListAge = "list_age_ms", "gauge", "time since the list of instances was read, in ms";
    StoreAge = "store_age_ms", "gauge", "time since the store answered, in ms";
    Targets = "targets", "gauge", "groups and plain instances that take requests";
    InDoubt = "in_doubt", "gauge", "suspected instances: those that this node or a peer cannot reach";
    PathsLost = "paths_lost", "gauge", "instances that peers reach and this node does not";
    Peers = "peers", "gauge", "other nodes whose messages arrive";
    Limited = "limited", "gauge", "instances that have announced a limit of requests per second";
    Resting = "resting", "gauge", "instances that have asked this node to send no requests for a while";
    Cold = "cold", "gauge", "instances that are cold and get few requests";
    Evacuated = "evacuated", "gauge", "data centres that are evacuated: their instances get no requests";
    Held = "held", "gauge", "fingerprints of requests that are quarantined from all instances";
    UnreadBytes = "unread_bytes", "gauge", "bytes held for callers and instances that have not read them";
    ResponseBytes = "response_bytes", "gauge", "bytes held of responses that cannot be passed on yet";
    Sharers = "sharers", "gauge", "nodes that share the slack of the retry budget, including this one";
}

/// Prefix of every metric's name.
const PREFIX: &str = "workshold";

/// The metrics client, and the text format that it writes to.
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
    /// Increments a counter by one.
    pub fn count(&self, metric: Metric) {
        let counted = self.client.count(metric.name(), 1);
        debug_assert!(counted.is_ok(), "{metric:?}");
    }

    /// Records a duration in a histogram.
    pub fn time(&self, metric: Metric, took: Millis) {
        let noted = self.client.time(metric.name(), took.0);
        debug_assert!(noted.is_ok(), "{metric:?}");
    }

    /// Sets a gauge.
    fn gauge(&self, metric: Metric, value: u64) {
        let noted = self.client.gauge(metric.name(), value);
        debug_assert!(noted.is_ok(), "{metric:?}");
    }

    /// All metrics in the text format; gauges are sampled now.
    pub fn text(&self, node: &Node) -> Vec<u8> {
        let now = node.now();
        self.gauge(Metric::InFlight, node.in_flight() as u64);
        self.gauge(Metric::ConfigAge, node.config_age().map_or(u64::MAX, |(_, age)| age.0));
        self.gauge(Metric::ListAge, now.since(node.list.lock().read_at).0);
        self.gauge(Metric::StoreAge, node.store_silent_for().0);
        self.gauge(Metric::Targets, node.routing_table().len() as u64);
        self.gauge(Metric::InDoubt, node.suspicions.lock().iter().count() as u64);
        self.gauge(Metric::PathsLost, node.lost_paths() as u64);
        self.gauge(Metric::Peers, node.peers.lock().heard(now).count() as u64);
        self.gauge(Metric::Limited, node.instance_limits.lock().limits().count() as u64);
        self.gauge(Metric::Resting, node.instance_limits.lock().backing_off(now) as u64);
        self.gauge(Metric::Cold, node.cold_instances.lock().count(now) as u64);
        self.gauge(Metric::Evacuated, node.evacuations.lock().all(now).count() as u64);
        self.gauge(Metric::Held, node.quarantine.lock().quarantined(now).len() as u64);
        self.gauge(Metric::UnreadBytes, node.readers.held_bytes());
        self.gauge(Metric::ResponseBytes, node.responses.total());
        self.gauge(Metric::Sharers, node.peers.lock().max_node_count() as u64);
        self.exposition.text().unwrap_or_else(|err| format!("# {err}\n").into_bytes())
    }
}

/// The text of `docs/METRICS-PLATFORM.md`: the metrics as a Markdown table.
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
