//! Asks an instance, after a response of it has ended, whether the process that sent it still runs.

use std::time::Duration;

use workshold_core::hosted::response_end::ProcessEvidence;
use workshold_core::hosted::roster::Membership;
use workshold_http::client;
use workshold_http::client::FreshConnection;
use workshold_platform::instance_checks;
use workshold_platform::instance_checks::Answerer;
use workshold_platform::instance_checks::Report;
use workshold_protocol::Millis;

use crate::metrics::Metric;
use crate::node::ConnectError;
use crate::node::ConnectTimes;
use crate::node::Node;
use crate::routing_table::Target;

/// Time to connect to the instance over this node's own path.
const CONNECT_TIMEOUT: Millis = Millis(40);
/// Buffer of the connection, in bytes: reports are short.
const MAX_BUF_LEN: usize = 8 * 1024;
/// Pause before an instance that did not answer is asked again; it doubles each time.
const FIRST_RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Node {
    /// Asks the process of a target, again and again until something answers or `wait` is over.
    /// The evidence holds for responses that ended before this call.
    pub async fn check_process(&self, target: &Target, wait: Millis) -> ProcessEvidence {
        let asking = async {
            let mut interval = FIRST_RETRY_INTERVAL;
            loop {
                if let Some(evidence) = self.ask_process(target, wait).await {
                    return evidence;
                }
                tokio::time::sleep(interval).await;
                interval *= 2;
            }
        };
        let evidence = tokio::time::timeout(wait.to_duration(), asking).await;
        evidence.unwrap_or(ProcessEvidence::NoAnswer)
    }

    /// Asks the process of a target once: the head of a group for its report, which waits for no
    /// slot, and any other instance, or one that gives no reports, for its health. `None` if nothing
    /// answered.
    async fn ask_process(&self, target: &Target, within: Millis) -> Option<ProcessEvidence> {
        let Some(expected) = membership(target) else {
            return self.ask_health(target, within).await;
        };
        let connection = match self.connect_for_check(target, within).await {
            Ok(connection) => connection,
            Err(evidence) => return evidence,
        };
        let (address, id) = (&target.address, &target.id.id);
        match instance_checks::report(connection, address, id, within.to_duration()).await? {
            Report::Membership(reported) => {
                Some(ProcessEvidence::of_report(reported.as_ref(), expected))
            }
            Report::OtherInstance => Some(ProcessEvidence::OtherInstance),
            Report::Unsupported => self.ask_health(target, within).await,
        }
    }

    /// Sends a health check, whose answer names the instance; `None` if nothing answered.
    async fn ask_health(&self, target: &Target, within: Millis) -> Option<ProcessEvidence> {
        let connection = match self.connect_for_check(target, within).await {
            Ok(connection) => connection,
            Err(evidence) => return evidence,
        };
        let (address, path, id) = (&target.address, &target.health_path, &target.id.id);
        let answer = instance_checks::answerer(connection, address, path, id, within.to_duration());
        match answer.await? {
            Answerer::Same => Some(ProcessEvidence::Answers),
            Answerer::Other => Some(ProcessEvidence::OtherInstance),
            Answerer::Unsupported => Some(ProcessEvidence::NoAnswer),
            Answerer::Unnamed => None,
        }
    }

    /// Connects to a target, over a peer if need be. The error is what a failure shows.
    async fn connect_for_check(
        &self,
        target: &Target,
        within: Millis,
    ) -> Result<FreshConnection, Option<ProcessEvidence>> {
        self.metrics.count(Metric::ProcessChecks);
        let times = ConnectTimes { connect: CONNECT_TIMEOUT, lifetime: within };
        let connected = self.connect(&target.id, &target.address, times).await;
        let connection = connected.map_err(|err| match err {
            ConnectError::Refused => Some(ProcessEvidence::Refused),
            ConnectError::Silent | ConnectError::CutOff => None,
        })?;
        client::start(&target.address, connection.stream, MAX_BUF_LEN).await.map_err(|_| None)
    }
}

/// The membership of a target in its group when it was chosen; `None` if it serves without one.
fn membership(target: &Target) -> Option<&Membership> {
    let head = target.members.iter().find(|member| member.identity == target.id)?;
    head.membership.as_ref()
}
