//! A background task that ends by a fault of the program.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;
use workshold_gateway::daemon;
use workshold_gateway::daemon::DaemonError;
use workshold_gateway::settings::Settings;
use workshold_http::dial::Dial;
use workshold_http::dial::Dialing;
use workshold_http::dial::TcpDialer;
use workshold_http::signals::Signals;
use workshold_platform_standin::caller;
use workshold_platform_standin::caller::Failure;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::instance::InstanceBehaviour;
use workshold_platform_standin::wait_for;

use crate::support::sees_open_group;
use crate::support::test_settings;

/// Planned stop, in seconds, and how long callers may use an address.
const BOUNDS: &str = "stop_within_s = 3.0\naddresses_good_at_most_s = 0.5";
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Longer than the node takes to probe an instance that has refused a connection.
const PROBE_TIME: Duration = Duration::from_millis(500);

/// Panics, once armed, when it is to connect to an engine, as the task does that probes suspected
/// instances.
struct PanickingDialer {
    engines: Vec<SocketAddr>,
    is_armed: Arc<AtomicBool>,
}

impl Dial for PanickingDialer {
    fn dial(&self, address: SocketAddr) -> Dialing {
        let is_fatal = self.is_armed.load(Ordering::Relaxed) && self.engines.contains(&address);
        assert!(!is_fatal, "the dialer was told to panic");
        TcpDialer.dial(address)
    }
}

/// Runs a node on a runtime of its own, which ends with it, as those of a process do.
fn run_node(settings: Settings, dialer: PanickingDialer) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let signals = Signals::new().unwrap();
        daemon::run(settings, PathBuf::from("/nonexistent"), signals, Box::new(dialer)).await
    })
}

/// Guards against a fault in one task, such as in a plan for one model, that cuts the requests of
/// all callers.
#[tokio::test]
async fn a_background_task_that_panics_cuts_no_request() {
    let deployment = Deployment::start(2, 2).await;
    let settings = test_settings("n-1", deployment.store.address, BOUNDS, true);
    let (callers, control) = (settings.listen.callers, settings.control());
    let is_armed = Arc::new(AtomicBool::new(false));
    let engines = deployment.engines.iter().map(|engine| engine.address()).collect();
    let dialer = PanickingDialer { engines, is_armed: Arc::clone(&is_armed) };
    let node = std::thread::spawn(move || run_node(settings, dialer));
    wait_for("an open group", || sees_open_group(control)).await;
    deployment.engines.iter().for_each(|engine| engine.stop_listening());
    deployment.gates.iter().for_each(|gate| gate.set_behaviour(InstanceBehaviour::Slow));
    // Makes the node suspect an engine.
    let _ = caller::send(callers, caller::request("r-0", "/chat/x", "k1")).await;
    tokio::time::sleep(PROBE_TIME).await;
    is_armed.store(true, Ordering::Relaxed);
    let mut sent = JoinSet::new();
    while !node.is_finished() {
        let id = format!("r-{}", sent.len() + 1);
        sent.spawn(async move {
            let mut req = caller::request(&id, "/print/x", "k1");
            req.headers_mut().insert("x-deadline-milliseconds", "900".parse().unwrap());
            caller::send(callers, req).await
        });
        assert!(sent.len() < 200, "the node does not end");
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    assert!(matches!(node.join().unwrap(), Err(DaemonError::TaskEnded)));
    let mut served = 0;
    while let Some(answer) = sent.join_next().await {
        match answer.unwrap() {
            Ok((res, _)) if res.status() == 200 => served += 1,
            Ok((res, _)) => assert_eq!(res.status(), 503),
            Err(Failure::NoConnection(_)) => {}
            Err(err) => panic!("{err}"),
        }
    }
    assert!(served > 0);
}
