//! Checks the product's promises against what callers and upstreams recorded during a run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use displaydoc::Display;
use workshold_platform_standin::caller;
use workshold_platform_standin::instance::STREAM_EVENTS;
use workshold_platform_standin::monitor::Arrival;
use workshold_platform_standin::monitor::Run;
use workshold_platform_standin::monitor::Sent;

use crate::callers::CallerResult;
use crate::callers::CrashCause;
use crate::callers::Outcome;
use crate::callers::RequestKind;
use crate::fleet::Key;
use crate::nodes::KEY_REVOCATION_TIMEOUT;

/// A guarantee of the product that the soak checks. The names appear in printed breaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Promise {
    /// a caller receives the whole answer to its own request
    OwnWholeAnswer,
    /// what a caller takes for complete ends as an instance ended it
    CompleteIsWhole,
    /// what may run once runs at most once
    AtMostOnce,
    /// what was called not run has not run
    NotRunMeansNotRun,
    /// nothing runs that no caller sent, or for another team
    OnlyWhatWasAsked,
    /// a key that was taken away is refused in time
    KeysInTime,
    /// a configuration in force never reverts
    OnlyForward,
    /// after a silence of the store alone a new configuration is in force in time
    InForceInTime,
    /// who is leaving gets no new work
    LeavingGetsNothing,
    /// a planned stop cuts nothing
    StopCutsNothing,
    /// beside planned work alone nothing is cut, and what was read is answered or refused
    PlannedCutsNothing,
    /// groups serve whole, and nobody is in two
    WholeGroups,
    /// a node runs until it is told to stop
    KeepsRunning,
    /// all is served again soon after the last fault
    Recovers,
    /// a node keeps within its memory
    WithinMemory,
    /// work whose caller is gone ends
    EndsAbandoned,
    /// what ends whoever begins to run it is soon kept from all
    EndsFew,
    /// all nodes together send an instance no more than the limit that it names
    KeepsToLimits,
    /// a node sends nothing to an instance that has asked it for rest
    LetsRest,
    /// a node that loses its paths to all instances soon serves nearly as well as the others
    ServesCutOff,
}

/// A broken promise and the observation that shows it.
#[derive(Debug, Clone)]
pub struct Breach {
    /// The broken promise.
    pub promise: Promise,
    /// The observation, as printed.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.what)
    }
}

/// Everything that was recorded while a seed ran.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// The result of each request.
    pub outcomes: Vec<Outcome>,
    /// Requests that upstreams ran.
    pub runs: Vec<Run>,
    /// Requests that reached upstreams, including those that they refused.
    pub arrivals: Vec<Arrival>,
    /// Answers that upstreams sent to their last byte.
    pub sent: Vec<Sent>,
    /// All API keys that were ever configured, including revoked ones.
    pub keys: Vec<Key>,
    /// When each draining instance announced that it will end, by its name.
    pub leaving: BTreeMap<String, Instant>,
    /// Start of the first fault and end of the last one; no faults are injected outside this
    /// period. `None` if there is no such period.
    pub faults: Option<(Instant, Instant)>,
    /// Start and end of the planned work; `None` if there was none.
    pub planned: Option<(Instant, Instant)>,
    /// From the first silence of the store without other faults until the configuration written
    /// after the last one had time to propagate; `None` if there was none.
    pub silences: Option<(Instant, Instant)>,
    /// Periods in which some nodes had no path to any instance.
    pub cut_off: Vec<CutOffPeriod>,
    /// Periods of faults that may keep nodes from learning that an instance is draining.
    pub visibility_faults: Vec<(Instant, Instant)>,
}

/// A period in which some nodes had no path to any instance.
#[derive(Debug, Clone)]
pub struct CutOffPeriod {
    /// Indices of the nodes.
    pub nodes: Vec<usize>,
    /// When their paths were lost.
    pub from: Instant,
    /// When the paths were back.
    pub until: Instant,
}

/// Time after the loss of its paths within which a node serves again.
const CUT_OFF_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Requests that may fail at cut-off nodes, beside one in [`CUT_OFF_FAILURES_ONE_IN`] of all.
const CUT_OFF_FAILURES_MAX: usize = 10;
const CUT_OFF_FAILURES_ONE_IN: usize = 50;
/// The team that owns all keys.
const TEAM: &str = "night-desk";
/// Attempts that the configuration allows for a stream and for a repeatable request.
const ATTEMPTS_MAX: usize = 2;
/// A draining instance gets no new request after this: the product's bound plus one second for a
/// request that was sent just before.
const DRAIN_NOTICE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// A configuration that is written after the store answers again is in force on every node within
/// this time.
pub const CONFIG_PROPAGATION_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Instances that have to crash under a request before nodes recognise it as a crashing request.
const CRASHES_UNTIL_KNOWN: usize = 3;
/// Instances that have to crash under requests with one prompt part before nodes recognise it.
const PART_CRASHES_UNTIL_KNOWN: usize = 5;
/// Time until all nodes have heard that a request crashes instances.
const CRASH_GOSSIP_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Times that a crashing request may still be forwarded after [`CRASH_GOSSIP_TIMEOUT`].
const LATE_CRASHES_MAX: usize = 3;
/// Requests already in flight when an instance answers arrive within this time.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(500);
/// Further requests that may arrive during a backoff.
const REQUESTS_IN_BACKOFF_MAX: usize = 2;
/// Statuses that promise that the request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Returns every broken promise that the record shows.
pub fn judge(record: &Record) -> Vec<Breach> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &record.runs {
        runs.entry(&run.request).or_default().push(run);
    }
    let mut sent: HashMap<&str, Vec<&Sent>> = HashMap::new();
    for whole in &record.sent {
        sent.entry(&whole.request).or_default().push(whole);
    }
    let mut breaches = Vec::new();
    for outcome in &record.outcomes {
        let sent = sent.get(outcome.id.as_str()).map_or(&[][..], Vec::as_slice);
        let runs = runs.get(outcome.id.as_str()).map_or(&[][..], Vec::as_slice);
        let own = [
            check_whole_answer(outcome, runs),
            check_complete(outcome, sent),
            check_run_count(outcome, runs),
            check_not_run(outcome, runs),
            check_key_revocation(outcome, runs, &record.keys),
            check_config_in_force(outcome, record),
            check_uncut(outcome, record),
        ];
        breaches.extend(own.into_iter().flatten());
    }
    breaches.extend(check_only_requested(record));
    breaches.extend(check_version_order(record));
    breaches.extend(check_draining_instances(record));
    breaches
        .extend(CrashCause::ALL.iter().filter_map(|cause| check_crash_requests(record, *cause)));
    breaches.extend(check_retry_after(record));
    breaches.extend(check_announced_departures(record));
    breaches.extend(record.cut_off.iter().filter_map(|period| check_cut_off(period, record)));
    breaches
}

/// Checks that cut-off nodes serve at least two thirds as large a part of their requests as the
/// others. Requests with revoked keys and those whose callers left are not counted.
fn check_cut_off(period: &CutOffPeriod, record: &Record) -> Option<Breach> {
    let is_in_period = |outcome: &&Outcome| {
        outcome.sent >= period.from + CUT_OFF_TIMEOUT && outcome.sent < period.until
    };
    let is_served = |outcome: &Outcome| match &outcome.result {
        CallerResult::Answer { status: 401, .. } | CallerResult::Left => None,
        CallerResult::Answer { status, .. } => Some(*status == 200),
        CallerResult::NoConnection | CallerResult::Cut(_) => Some(false),
    };
    let mut cut_off = (0, 0);
    let mut others = (0, 0);
    for outcome in record.outcomes.iter().filter(is_in_period) {
        let Some(is_served) = is_served(outcome) else { continue };
        let is_cut_off = period.nodes.contains(&outcome.node.0);
        let (served, sent) = if is_cut_off { &mut cut_off } else { &mut others };
        *served += usize::from(is_served);
        *sent += 1;
    }
    let failures_max = CUT_OFF_FAILURES_MAX + (cut_off.1 + others.1) / CUT_OFF_FAILURES_ONE_IN;
    let is_worse = 3 * cut_off.0 * others.1 < 2 * others.0 * cut_off.1;
    let what = || {
        let ((served, sent), (others_served, others_sent)) = (cut_off, others);
        let nodes = &period.nodes;
        format!(
            "nodes {nodes:?} served {served} of {sent}, the others {others_served} of {others_sent}"
        )
    };
    let is_broken = is_worse && cut_off.1 - cut_off.0 > failures_max;
    is_broken.then(|| Breach { promise: Promise::ServesCutOff, what: what() })
}

/// Checks that crashing requests are forwarded only a few more times once enough instances have
/// crashed under them for one cause and all nodes had time to hear of that.
fn check_crash_requests(record: &Record, cause: CrashCause) -> Option<Breach> {
    let mut runs: Vec<&Run> =
        record.runs.iter().filter(|run| run.request.starts_with(cause.id_prefix())).collect();
    runs.sort_by_key(|run| run.at);
    let until_known = match cause {
        CrashCause::Content => CRASHES_UNTIL_KNOWN,
        CrashCause::PromptPart => PART_CRASHES_UNTIL_KNOWN,
    };
    let known = runs.get(until_known - 1)?.at;
    let late = runs.iter().filter(|run| run.at > known + CRASH_GOSSIP_TIMEOUT).count();
    let what = || {
        format!(
            "{cause:?}: {} ended, {late} of them {CRASH_GOSSIP_TIMEOUT:?} after {until_known}",
            runs.len()
        )
    };
    (late > LATE_CRASHES_MAX).then(|| Breach { promise: Promise::EndsFew, what: what() })
}

/// Checks that an instance gets at most two requests from a node while the Retry-After it sent to
/// that node lasts, not counting requests already in flight.
fn check_retry_after(record: &Record) -> Vec<Breach> {
    let nodes = request_targets(record);
    let mut arrivals: HashMap<_, Vec<&Arrival>> = HashMap::new();
    for arrival in &record.arrivals {
        if let Some((node, _)) = nodes.get(arrival.request.as_str()) {
            arrivals.entry((arrival.instance.as_str(), *node)).or_default().push(arrival);
        }
    }
    let mut breaches = Vec::new();
    for ((instance, node), arrivals) in arrivals {
        for (at, rest) in
            arrivals.iter().filter_map(|arrival| Some((arrival.at, arrival.retry_after?)))
        {
            let in_backoff = |a: &&&Arrival| a.at > at + IN_FLIGHT_TIMEOUT && a.at < at + rest;
            let got = arrivals.iter().filter(in_backoff).count();
            if got > REQUESTS_IN_BACKOFF_MAX {
                let what = format!("{instance} got {got} from node {node:?} in {rest:?} of rest");
                breaches.push(Breach { promise: Promise::LetsRest, what });
            }
        }
    }
    breaches
}

/// Checks that an instance which announces its departure in its answers gets no request that any
/// node received from a caller later than [`DRAIN_NOTICE_TIMEOUT`] after that.
fn check_announced_departures(record: &Record) -> Vec<Breach> {
    let nodes = request_targets(record);
    let mut announced_at: HashMap<&str, Instant> = HashMap::new();
    for arrival in record.arrivals.iter().filter(|arrival| arrival.leaves) {
        let first = announced_at.entry(arrival.instance.as_str()).or_insert(arrival.at);
        *first = arrival.at.min(*first);
    }
    let late = record.arrivals.iter().filter_map(|arrival| {
        let first = *announced_at.get(arrival.instance.as_str())?;
        let (node, sent) = nodes.get(arrival.request.as_str())?;
        let late = sent.saturating_duration_since(first);
        let describe =
            || format!("{} at {} from {node:?}, {late:?} on", arrival.request, arrival.instance);
        (late > DRAIN_NOTICE_TIMEOUT).then(describe)
    });
    late.map(|what| Breach { promise: Promise::LeavingGetsNothing, what }).collect()
}

/// Maps each request id to the node (and its incarnation) that it was sent to and the time.
fn request_targets(record: &Record) -> HashMap<&str, ((usize, u32), Instant)> {
    let of = |outcome: &Outcome| (outcome.node, outcome.sent);
    record.outcomes.iter().map(|outcome| (outcome.id.as_str(), of(outcome))).collect()
}

fn breach(promise: Promise, what: String) -> Option<Breach> {
    Some(Breach { promise, what })
}

/// Checks that a success carries the proof (stamp) of an instance that ran the request, and the
/// complete answer.
fn check_whole_answer(outcome: &Outcome, runs: &[&Run]) -> Option<Breach> {
    let CallerResult::Answer { status, stamp, text, .. } = &outcome.result else { return None };
    let (id, wrong) = (&outcome.id, Promise::OwnWholeAnswer);
    if (200..300).contains(status) && stamp.is_none() {
        return breach(wrong, format!("{id}: a success without proof"));
    }
    let stamp = stamp.as_ref()?;
    if !runs.iter().any(|run| &run.instance == stamp) {
        return breach(wrong, format!("{id}: the proof of {stamp}, which did not run it"));
    }
    if *status != 200 {
        // Status 500 is the instance's own failure, which a node passes on with its proof.
        return (*status != 500).then(|| Breach {
            promise: wrong,
            what: format!("{id}: proof of {stamp} with status {status}"),
        });
    }
    let is_whole = match outcome.kind {
        RequestKind::Chat => {
            let ids: Vec<u64> = (1..=STREAM_EVENTS).collect();
            let own = text.matches(&format!("of {id}\n")).count() as u64;
            caller::event_ids(text) == ids && own == STREAM_EVENTS
        }
        RequestKind::Print | RequestKind::Plate => {
            *text == format!("{stamp} {}", outcome.kind.path(id))
        }
    };
    let short: String = text.chars().take(80).collect();
    (!is_whole).then(|| Breach { promise: wrong, what: format!("{id}: not its answer: {short}") })
}

/// Checks that an answer which its caller took for complete ends as one that an instance sent to
/// its last byte; the first part of a stream may have come from another instance.
fn check_complete(outcome: &Outcome, sent: &[&Sent]) -> Option<Breach> {
    let CallerResult::Answer { status: 200, text, .. } = &outcome.result else { return None };
    let is_whole = |sent: &&Sent| match outcome.kind {
        RequestKind::Chat => text.ends_with(&sent.text),
        RequestKind::Print | RequestKind::Plate => *text == sent.text,
    };
    let what = || {
        let end: String = text.chars().skip(text.chars().count().saturating_sub(40)).collect();
        let sent: Vec<String> =
            sent.iter().map(|s| format!("{} bytes by {}", s.text.len(), s.instance)).collect();
        let (id, node, len) = (&outcome.id, outcome.node.0, text.len());
        format!(
            "{id} at node {node}: complete with {len} bytes up to {end:?}; sent whole: {sent:?}"
        )
    };
    (!sent.iter().any(is_whole)).then(|| Breach { promise: Promise::CompleteIsWhole, what: what() })
}

/// Checks that a request ran no more often than its kind allows.
fn check_run_count(outcome: &Outcome, runs: &[&Run]) -> Option<Breach> {
    let max_runs = if outcome.kind == RequestKind::Print { 1 } else { ATTEMPTS_MAX };
    if runs.len() <= max_runs {
        return None;
    }
    let at: Vec<&str> = runs.iter().map(|run| run.instance.as_str()).collect();
    breach(Promise::AtMostOnce, format!("{} ran at {}", outcome.id, at.join(", ")))
}

/// Checks that a run-once request that was answered as not run did not run.
fn check_not_run(outcome: &Outcome, runs: &[&Run]) -> Option<Breach> {
    let CallerResult::Answer { status, .. } = &outcome.result else { return None };
    let is_wrong =
        outcome.kind == RequestKind::Print && NOT_RUN_STATUSES.contains(status) && !runs.is_empty();
    let what = || format!("{} got {status} but ran at {}", outcome.id, runs[0].instance);
    is_wrong.then(|| Breach { promise: Promise::NotRunMeansNotRun, what: what() })
}

/// Checks that a request does not run if it was sent later than [`KEY_REVOCATION_TIMEOUT`] after
/// its key was revoked.
fn check_key_revocation(outcome: &Outcome, runs: &[&Run], keys: &[Key]) -> Option<Breach> {
    let key = keys.iter().find(|key| key.text == outcome.key)?;
    let (_, revoked) = key.revoked?;
    let late = outcome.sent.saturating_duration_since(revoked);
    let is_wrong = late > KEY_REVOCATION_TIMEOUT && !runs.is_empty();
    let what = || format!("{} ran, sent {late:?} after {} was taken away", outcome.id, key.text);
    is_wrong.then(|| Breach { promise: Promise::KeysInTime, what: what() })
}

/// Checks that a new key is accepted within [`CONFIG_PROPAGATION_TIMEOUT`] when silences of the
/// store are the only faults.
fn check_config_in_force(outcome: &Outcome, record: &Record) -> Option<Breach> {
    let (from, to) = record.silences?;
    let key = record.keys.iter().find(|key| key.text == outcome.key)?;
    let is_in_period = key.since >= from && outcome.sent <= to;
    let since = outcome.sent.saturating_duration_since(key.since);
    let is_valid = key.revoked.is_none_or(|(_, at)| at > outcome.ended);
    let is_denied = matches!(&outcome.result, CallerResult::Answer { status: 401, .. });
    if !(is_in_period && is_valid && is_denied && since > CONFIG_PROPAGATION_TIMEOUT) {
        return None;
    }
    let what = format!("{} with {} at node {:?}, {since:?} on", outcome.id, key.text, outcome.node);
    breach(Promise::InForceInTime, what)
}

/// Checks that no request which a node has read is cut off outside the fault period.
fn check_uncut(outcome: &Outcome, record: &Record) -> Option<Breach> {
    let (faults_start, faults_end) = record.faults?;
    let is_outside_faults = outcome.ended < faults_start || outcome.sent > faults_end;
    let CallerResult::Cut(why) = &outcome.result else { return None };
    let what = || format!("{} at node {}: {why}", outcome.id, outcome.node.0);
    let overlaps = |(from, to)| outcome.ended >= from && outcome.sent <= to;
    // The loss of a path is a fault like the others.
    if record.cut_off.iter().any(|period| overlaps((period.from, period.until))) {
        return None;
    }
    let promise = match record.planned {
        Some(planned) if overlaps(planned) => Promise::PlannedCutsNothing,
        _ => Promise::StopCutsNothing,
    };
    is_outside_faults.then(|| Breach { promise, what: what() })
}

/// Checks that every run belongs to a request that a caller sent, and to the right team.
fn check_only_requested(record: &Record) -> Vec<Breach> {
    let sent: HashMap<&str, ()> = record.outcomes.iter().map(|o| (o.id.as_str(), ())).collect();
    let wrong = record.runs.iter().filter(|run| {
        !sent.contains_key(run.request.as_str()) || run.team.as_deref() != Some(TEAM)
    });
    let describe = |run: &Run| format!("{} for {:?} at {}", run.request, run.team, run.instance);
    wrong.map(|run| Breach { promise: Promise::OnlyWhatWasAsked, what: describe(run) }).collect()
}

/// Checks that configuration versions never go back within one incarnation of a node: a request
/// served with a version's key shows that the version is in force there, so no later request may
/// be treated as an older version would.
fn check_version_order(record: &Record) -> Vec<Breach> {
    let key_of = |outcome: &Outcome| record.keys.iter().find(|key| key.text == outcome.key);
    let mut in_force: HashMap<(usize, u32), Vec<(Instant, u64)>> = HashMap::new();
    for outcome in &record.outcomes {
        let is_served = matches!(&outcome.result, CallerResult::Answer { stamp: Some(_), .. });
        if let Some(key) = key_of(outcome).filter(|_| is_served) {
            let versions = in_force.entry(outcome.node).or_default();
            versions.push((outcome.ended, key.since_version));
        }
    }
    let mut breaches = Vec::new();
    for outcome in &record.outcomes {
        let CallerResult::Answer { status, stamp, .. } = &outcome.result else { continue };
        let Some(key) = key_of(outcome) else { continue };
        let versions = in_force.get(&outcome.node).into_iter().flatten();
        let before = versions.filter(|(ended, _)| *ended < outcome.sent);
        let version = before.map(|(_, version)| *version).max().unwrap_or_default();
        let was_revoked_by = |v: u64| key.revoked.is_some_and(|(revoked, _)| revoked <= v);
        let is_valid_at_the_end = key.revoked.is_none_or(|(_, at)| at > outcome.ended);
        let is_denied = *status == 401 && key.since_version <= version && is_valid_at_the_end;
        let is_old = stamp.is_some() && was_revoked_by(version);
        if is_denied || is_old {
            let (id, node) = (&outcome.id, outcome.node);
            let what = format!(
                "{id} with {} got {status} at node {node:?}, where version {version} was in force",
                key.text
            );
            breaches.push(Breach { promise: Promise::OnlyForward, what });
        }
    }
    breaches
}

/// Checks that draining instances get no new work, unless a fault may have hidden the announcement
/// from nodes.
fn check_draining_instances(record: &Record) -> Vec<Breach> {
    let sent: HashMap<&str, Instant> =
        record.outcomes.iter().map(|outcome| (outcome.id.as_str(), outcome.sent)).collect();
    let mut breaches = Vec::new();
    for run in &record.runs {
        let Some(stated) = record.leaving.get(&run.instance) else { continue };
        let Some(sent) = sent.get(run.request.as_str()) else { continue };
        let is_late = run.at.saturating_duration_since(*stated) > DRAIN_NOTICE_TIMEOUT
            && sent.saturating_duration_since(*stated) > DRAIN_NOTICE_TIMEOUT;
        let overlaps = |(from, to): &(Instant, Instant)| *from <= run.at && *to >= *stated;
        if is_late && !record.visibility_faults.iter().any(overlaps) {
            let late = run.at - *stated;
            let what = format!("{} at {}, {late:?} after its word", run.request, run.instance);
            breaches.push(Breach { promise: Promise::LeavingGetsNothing, what });
        }
    }
    breaches
}
