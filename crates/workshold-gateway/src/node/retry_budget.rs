//! The retry budget of each upstream on this node.

use workshold_core::hosted::retry_policy::RetryBudget;
use workshold_core::hosted::retry_policy::RetryBudgetUsage;
use workshold_protocol::ids::ServiceName;

use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;

impl Node {
    /// Takes one retry out of a service's budget. Returns whether the budget allowed it.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let nodes = self.peers.lock().max_node_count();
        let take = |budget: &mut RetryBudget| (budget.take(now, nodes), budget.usage(now, nodes));
        let (is_taken, usage) = self.budget(service, take);
        if is_taken {
            self.metrics.count(Metric::Repeats);
        } else {
            self.metrics.count(Metric::RepeatsRefused);
            log_refusal(service, usage, nodes);
        }
        is_taken
    }

    /// Returns a retry to a service's budget because its request was never sent.
    pub fn return_retry(&self, service: &ServiceName) {
        self.budget(service, RetryBudget::refund);
    }

    /// Counts a request, which raises the number of retries that a service's budget allows.
    pub fn count_request(&self, service: &ServiceName) {
        let now = self.now();
        self.budget(service, |budget| budget.on_request(now));
    }

    /// Runs `act` on a service's budget, which is created on first use.
    fn budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock();
        if !budgets.contains_key(service) {
            budgets.insert(service.clone(), self.new_budget());
        }
        act(budgets.get_mut(service).expect("the budget was inserted above"))
    }

    /// A new budget. Unless the fleet starts for the first time, a process gets only part of it
    /// during its first window: the process before it, or other nodes, may have used the rest.
    fn new_budget(&self) -> RetryBudget {
        let settings = self.settings();
        if settings.node.is_first_start {
            return RetryBudget::new(settings.budget());
        }
        RetryBudget::for_restart(settings.budget(), self.started_at)
    }
}

/// Logs that a budget refused a retry.
fn log_refusal(service: &ServiceName, usage: RetryBudgetUsage, nodes: usize) {
    emit(
        Event::RepeatRefused,
        &[
            ("service", service.as_str()),
            ("requests", &usage.requests.to_string()),
            ("repeats", &usage.repeats.to_string()),
            ("allowed", &format!("{:.1}", usage.allowed)),
            ("nodes", &nodes.to_string()),
        ],
    );
}
