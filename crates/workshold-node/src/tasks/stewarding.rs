//! The steward of a fabric domain is the node that plans its groups and sends orders to
//! its instances. This task does so for the domains that this node is responsible for.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use workshold_core::steward;
use workshold_core::steward::Plan;
use workshold_core::steward::StewardTimers;
use workshold_core::steward::View;
use workshold_http::client;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::record::Envelope;
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::Order;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::tasks::log_maintenance::append;

const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a steward waits until it has replayed what it appended, so that its next plan
/// takes it into account.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Plans for each of this node's domains, for as long as the node runs.
pub async fn run(node: Arc<Node>) {
    let mut timers_by_domain: BTreeMap<FabricDomain, StewardTimers> = BTreeMap::new();
    let mut tick = tokio::time::interval(node.settings.times.plan_every.to_duration());
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        node.refresh_serving();
        let own_domains = own_domains(&node);
        timers_by_domain.retain(|domain, _| own_domains.contains(domain));
        for domain in own_domains {
            let timers = timers_by_domain.entry(domain.clone()).or_default();
            if let Some(plan) = plan(&node, &domain, timers) {
                execute(&node, plan).await;
            }
        }
    }
}

/// The domains of this data centre whose steward is this node; none during a planned stop.
fn own_domains(node: &Node) -> BTreeSet<FabricDomain> {
    if node.is_leaving() {
        return BTreeSet::new();
    }
    let (now, rules) = (node.now(), node.settings.membership_rules());
    let list = Arc::clone(&node.list.read());
    let local = list.iter().filter(|l| l.data_centre == node.settings.node.data_centre);
    let domains: BTreeSet<_> = local
        .filter_map(|listed| match &listed.kind {
            InstanceKind::Engine { domain, .. } => Some(domain.clone()),
            _ => None,
        })
        .collect();
    let membership = node.membership.read();
    domains.into_iter().filter(|domain| membership.is_steward_for(domain, now, &rules)).collect()
}

/// Makes a plan for one domain; `None` if the replayed state is missing or wrong.
fn plan(node: &Node, domain: &FabricDomain, timers: &mut StewardTimers) -> Option<Plan> {
    let list = Arc::clone(&node.list.read());
    let rules = node.settings.steward_rules();
    let log_state = node.log_state.read();
    let replay = log_state.replay.as_ref()?;
    if log_state.is_diverged {
        return None;
    }
    let observations = node.observations.read();
    let view = View {
        domain,
        state: replay.state(),
        observations: &observations,
        list: &list,
        now: node.now(),
    };
    Some(steward::plan(&view, timers, &rules))
}

/// Sends the plan's orders, records its decisions, and appends its facts to the log.
async fn execute(node: &Arc<Node>, plan: Plan) {
    let list = Arc::clone(&node.list.read());
    for (instance, order) in plan.orders {
        if let Some(address) = list.find(&instance).map(|listed| listed.address.clone()) {
            tokio::spawn(send_order(Arc::clone(node), address, instance, order));
        }
    }
    for decision in plan.decisions {
        node.record_decision(decision);
    }
    if plan.facts.is_empty() {
        return;
    }
    let envelope = Envelope::new(node.clock.wall(), plan.facts);
    // After a failure, the next plan has the same facts again if they still apply.
    if let Some(offset) = append(node, &envelope).await {
        let mut replayed = node.replayed.subscribe();
        let read_back = replayed.wait_for(|next| *next > offset);
        let _ = tokio::time::timeout(READ_BACK_TIMEOUT, read_back).await;
    }
}

/// Sends one order to an instance, without a retry: the next plans repeat it.
async fn send_order(node: Arc<Node>, address: String, instance: InstanceId, order: Order) {
    node.counters.orders.add(1);
    let sent: Result<serde_json::Value, _> =
        client::call(&address, Method::POST, "/engine/orders", Some(&order), ORDER_TIMEOUT).await;
    if let Err(err) = sent {
        let fields = [("instance", instance.as_str()), ("why", &err.to_string())];
        emit(Event::OrderFailed, &fields);
    }
}
