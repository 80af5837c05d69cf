//! Rate limits, backoffs and departures that instances announce, and the permit that every request
//! to an instance needs.

use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use workshold_core::hosted::cold_start::ColdLimit;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::instance_limits;
use workshold_core::hosted::instance_limits::LimitReport;
use workshold_core::hosted::instance_limits::Rate;
use workshold_core::hosted::instance_limits::SenderShare;
use workshold_core::hosted::instance_limits::Withheld;
use workshold_core::hosted::instance_limits::WithheldReason;
use workshold_http::body::Body;
use workshold_http::client::CallError;
use workshold_http::client::ConnectionTask;
use workshold_http::client::FreshConnection;
use workshold_platform::response_headers::AnnouncedLimit;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::loads::instance_hash;
use crate::metrics::Metric;
use crate::node::Node;
use crate::peers::WireLimit;
use crate::routing_table::Target;

/// Most rate limits in one heartbeat: changed ones first, then the others in turn.
const MAX_LIMITS_REPORTED: usize = 8;
/// Time for which heartbeats tell that an instance is leaving, after it was first heard. After
/// that only if its list entry does not tell.
const LEAVING_REPORT_TIME: Millis = Millis(5_000);
/// Most leaving instances in one heartbeat.
const MAX_LEAVING_REPORTED: usize = 32;

/// Permission to send one request to an instance, counted against its rate limit and against what
/// it takes while it is cold. Callers' requests can be sent only through a permit, so that no code
/// path can bypass these limits, or send to an evacuated data centre.
#[derive(Debug)]
pub struct Permit(());

impl Permit {
    /// Sends the request and waits for the response's head for at most `within`.
    ///
    /// # Errors
    ///
    /// [`CallError`] of the connection.
    pub async fn send(
        self,
        connected: FreshConnection,
        req: Request<Body>,
        within: Duration,
    ) -> Result<(Response<Incoming>, ConnectionTask), CallError> {
        connected.send(req, within).await
    }
}

impl Node {
    /// Handles the rate limit, or the absence of one, in the answer to a request sent at `asked`.
    pub fn on_rate_limit(&self, id: &Identity, limit: AnnouncedLimit, asked: Millis) {
        let limit = match limit {
            AnnouncedLimit::PerSecond(limit) => Some(Rate::per_s(limit)),
            AnnouncedLimit::None => None,
            AnnouncedLimit::Unreadable => return,
        };
        self.apply_limit_report(
            id,
            LimitReport { limit, request_sent_at: asked, answer_received_at: self.now() },
        );
    }

    /// Handles the backoff that a refusal asks of this node, if it names one.
    pub fn on_backoff(&self, id: &Identity, rest: Option<Millis>) {
        let Some(rest) = rest else { return };
        self.instance_limits.lock().on_backoff(id, rest, self.now());
        let rest_ms = rest.0.to_string();
        emit(Event::InstanceRests, &[("instance", id.as_str()), ("rest_ms", &*rest_ms)]);
    }

    /// Handles whether an answer says that its instance is shutting down.
    pub fn on_leaving(&self, id: &Identity, leaves: bool) {
        if !leaves || !self.instance_limits.lock().on_leaving(id, self.now()) {
            return;
        }
        emit(Event::InstanceLeaves, &[("instance", id.as_str())]);
        self.list.lock().roster.on_leaving(id);
        self.on_list_changed();
        self.planning_wanted.notify_one();
        self.heartbeat_wanted.notify_one();
    }

    /// Handles a peer's report of incarnations that are shutting down, by their hashes.
    pub fn on_reported_leaving(&self, hashes: &[u32]) {
        for instance in hashes {
            let id = self.list.lock().by_instance_hash.get(instance).cloned();
            if let Some(id) = id {
                self.on_leaving(&id, true);
            }
        }
    }

    /// Hashes of the incarnations that this node reports to peers as shutting down, the latest
    /// ones first.
    pub fn leaving_to_report(&self) -> Vec<u32> {
        let now = self.now();
        let instance_limits = self.instance_limits.lock();
        let recent = instance_limits.recently_leaving(LEAVING_REPORT_TIME, now);
        let all = instance_limits.recently_leaving(Millis(u64::MAX), now);
        drop(instance_limits);
        let list = self.list.lock();
        let is_hidden = |id: &Identity| {
            let entry = list.roster.incarnation(id);
            entry.is_some_and(|entry| !entry.instance.is_leaving && entry.unlisted_since.is_none())
        };
        let older = all.into_iter().skip(recent.len()).filter(is_hidden);
        let reported = recent.iter().cloned().chain(older);
        reported.take(MAX_LEAVING_REPORTED).map(|id| instance_hash(&id)).collect()
    }

    /// Handles rate limits in a peer's datagram that arrived after `since`.
    pub fn on_reported_limits(&self, limits: &[WireLimit], since: Millis) {
        for limit in limits {
            let id = self.list.lock().by_instance_hash.get(&limit.instance).cloned();
            if let Some(id) = id {
                self.apply_limit_report(&id, limit.report(since));
            }
        }
    }

    /// Applies a rate limit. If it is new, peers are told at once.
    fn apply_limit_report(&self, id: &Identity, report: LimitReport) {
        let mut instance_limits = self.instance_limits.lock();
        let was = instance_limits.limit(id);
        let is_news = instance_limits.on_limit_report(id, report);
        drop(instance_limits);
        if !is_news {
            return;
        }
        self.heartbeat_wanted.notify_one();
        let text = |rate: Option<Rate>| rate.map_or_else(String::new, |r| r.as_per_s().to_string());
        let (limit, was) = (text(report.limit), text(was));
        let fields = [("instance", id.as_str()), ("limit", &*limit), ("was", &*was)];
        emit(Event::InstanceLimited, &fields);
    }

    /// Rate limits that this node reports to peers.
    pub fn limits_to_report(&self) -> Vec<WireLimit> {
        let now = self.now();
        let limits = self.instance_limits.lock().next_to_gossip(MAX_LIMITS_REPORTED);
        limits.iter().map(|(id, report)| WireLimit::new(id, *report, now)).collect()
    }

    /// Checks whether a request of this node may go to a target now, without counting one.
    ///
    /// # Errors
    ///
    /// [`Withheld`] if it may not.
    pub fn check_target(&self, target: &Target) -> Result<(), Withheld> {
        if self.is_evacuated(&target.data_centre) {
            return Err(Withheld { until: None, why: WithheldReason::Evacuated });
        }
        let now = self.now();
        let share = self.rate_limit_share(&target.id);
        self.instance_limits.lock().check(&target.id, share, now)?;
        let Some((limit, share)) = self.cold_limit(target) else { return Ok(()) };
        let left = self.cold_instances.lock().time_until_send(&target.id, limit, share, now);
        if left == Millis::ZERO {
            return Ok(());
        }
        Err(Withheld { until: Some(now + left), why: WithheldReason::Cold })
    }

    /// Whether nothing withholds a request from any instance now, so that targets need no check.
    pub fn accepts_any_target(&self) -> bool {
        self.instance_limits.lock().is_empty()
            && self.cold_instances.lock().is_empty()
            && self.evacuations.lock().is_empty(self.now())
    }

    /// Takes the permit for one request to a target; called just before it is sent.
    ///
    /// # Errors
    ///
    /// [`Withheld`] if no request of this node may go there now.
    pub fn permit(&self, target: &Target) -> Result<Permit, Withheld> {
        let now = self.now();
        let share = self.rate_limit_share(&target.id);
        let allowed = self.check_target(target);
        let taken = allowed.and_then(|()| self.instance_limits.lock().take(&target.id, share, now));
        taken.inspect_err(|_| self.metrics.count(Metric::Withheld))?;
        self.cold_instances.lock().on_sent(&target.id, now);
        Ok(Permit(()))
    }

    /// This node's share of an instance's rate limit. Without a limit every node may send.
    fn rate_limit_share(&self, id: &Identity) -> SenderShare {
        let limit = self.instance_limits.lock().limit(id);
        let Some(limit) = limit else { return SenderShare { is_sender: true, senders: 1 } };
        self.share_among(id, |nodes| instance_limits::senders(limit, nodes))
    }

    /// What a target takes because it is cold, and this node's share of it; `None` if it is warm.
    fn cold_limit(&self, target: &Target) -> Option<(ColdLimit, SenderShare)> {
        if !self.cold_instances.lock().is_cold(&target.id, self.now()) {
            return None;
        }
        let serving_config = self.serving_config()?;
        let cold_start = serving_config.upstreams.get(&target.service)?.cold_start?;
        let limit = self.settings().cold_limit(cold_start);
        Some((limit, self.share_among(&target.id, |nodes| limit.senders(nodes))))
    }

    /// This node's share if there are `senders` of so many nodes to an instance.
    fn share_among(&self, id: &Identity, senders: impl Fn(usize) -> usize) -> SenderShare {
        let settings = self.settings();
        let peers = self.peers.lock();
        let senders = senders(peers.max_node_count());
        let is_first =
            || peers.is_sender_for(&settings.node.name, instance_hash(id), senders, self.now());
        SenderShare { is_sender: !self.is_leaving() && is_first(), senders }
    }
}
