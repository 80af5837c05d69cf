//! The daemon as a separate process: checks of its settings, planned stops and reloads.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::deployment::config;
use workshold_platform_standin::free_address;
use workshold_platform_standin::instance::InstanceBehaviour;
use workshold_platform_standin::instance::STREAM_EVENTS;
use workshold_platform_standin::store::StandInStore;
use workshold_platform_standin::wait_for;

use crate::support::sees_open_group;
use crate::support::wire::read_request;
use crate::support::wire::respond;

const BINARY: &str = env!("CARGO_BIN_EXE_workshold-gateway");

/// A node in a separate process, which is killed when dropped.
struct NodeProcess {
    child: Child,
    settings: PathBuf,
    callers: SocketAddr,
    readiness: SocketAddr,
    control: SocketAddr,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Fails if the process has ended by itself, which most of these tests expect.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

impl NodeProcess {
    async fn start(name: &str, store: SocketAddr, stop_within_s: f64) -> Self {
        let [callers, readiness, directory, control] = [(); 4].map(|()| free_address());
        let text = format!(
            "[node]\nname = \"{name}\"\ndata_centre = \"a\"\nis_first_start = true\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             directory = \"{directory}\"\npeers_port = {}\n[store]\naddress = \"{store}\"\nparts = 4\n\
             [limits]\ndescriptors = 1000\n\
             [bounds]\nstop_within_s = {stop_within_s}\naddresses_good_at_most_s = 0.5\n",
            control.port(),
        );
        let settings = std::env::temp_dir().join(format!("{name}-{}.toml", control.port()));
        fs::write(&settings, text).unwrap();
        let child = Command::new(BINARY)
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let process = Self { child, settings, callers, readiness, control };
        wait_for("a ready process", || process.is_ready()).await;
        process
    }

    async fn is_ready(&self) -> bool {
        caller::is_ready(self.readiness).await
    }

    async fn wait_for_open_group(&self) {
        wait_for("an open group", || sees_open_group(self.control)).await;
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap();
        assert!(sent.success());
    }

    async fn wait_for_exit(&mut self, within: Duration) -> ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(began.elapsed() < within, "the process did not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn a_planned_stop_serves_callers_that_hold_its_address_and_cuts_no_stream() {
    let deployment = Deployment::start(2, 1).await;
    let mut node = NodeProcess::start("stop", deployment.store.address, 8.0).await;
    node.wait_for_open_group().await;
    let (res, _driver) =
        caller::open(node.callers, caller::request("r-1", "/chat/x", "k1")).await.unwrap();
    node.signal("TERM");
    wait_for("a node that is no longer ready", || async { !node.is_ready().await }).await;
    // Callers that still hold its address are served.
    let (while_stopping, _) =
        caller::send(node.callers, caller::request("r-2", "/print/x", "k1")).await.unwrap();
    assert_eq!(while_stopping.status(), 200);
    let text = res.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8(text.to_vec()).unwrap();
    assert_eq!(caller::event_ids(&text), (1..=STREAM_EVENTS).collect::<Vec<u64>>());
    assert!(node.wait_for_exit(Duration::from_secs(8)).await.success());
}

#[tokio::test]
async fn a_planned_stop_keeps_its_deadline_despite_an_endless_stream() {
    let deployment = Deployment::start(2, 0).await;
    let mut node = NodeProcess::start("endless", deployment.store.address, 3.0).await;
    node.wait_for_open_group().await;
    deployment.engines.iter().for_each(|engine| engine.set_behaviour(InstanceBehaviour::Endless));
    let (_res, _driver) =
        caller::open(node.callers, caller::request("r-1", "/chat/x", "k1")).await.unwrap();
    let began = Instant::now();
    node.signal("TERM");
    assert!(node.wait_for_exit(Duration::from_secs(6)).await.success());
    assert!(began.elapsed() < Duration::from_millis(3_500), "{:?}", began.elapsed());
}

/// Guards against a stream that looks complete to an HTTP/1.0 caller, which gets no chunks, because
/// its node ended.
#[rstest]
#[case::killed("KILL")]
#[case::stopped("TERM")]
#[case::stopped_in_a_hurry("TERM TERM")]
#[tokio::test]
async fn a_stream_that_the_end_of_its_node_cuts_is_reset_for_http_1_0(#[case] signals: &str) {
    let deployment = Deployment::start(2, 0).await;
    let name = format!("http-1-0-{}", signals.replace(' ', "-").to_lowercase());
    let mut node = NodeProcess::start(&name, deployment.store.address, 2.0).await;
    node.wait_for_open_group().await;
    deployment.engines.iter().for_each(|engine| engine.set_behaviour(InstanceBehaviour::Endless));
    let mut stream = TcpStream::connect(node.callers).await.unwrap();
    let head = "POST /chat/x HTTP/1.0\r\nhost: lot.example\r\napi-key: k1\r\n\
                x-request-id: r-1\r\nx-model: m1\r\nx-deadline-milliseconds: 6000\r\n\
                content-length: 0\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut buf = vec![0; 64 * 1024];
    let mut text = String::new();
    while !text.contains("id: 3\n") {
        let len = stream.read(&mut buf).await.unwrap();
        assert!(len > 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
    signals.split(' ').for_each(|name| node.signal(name));
    let end = loop {
        match stream.read(&mut buf).await {
            Ok(len) if len > 0 => {}
            end => break end,
        }
    };
    assert!(end.is_err(), "the stream looks complete");
    node.wait_for_exit(Duration::from_secs(6)).await;
}

#[tokio::test]
async fn a_stopping_node_refuses_streams_it_could_not_finish() {
    let deployment = Deployment::start(2, 1).await;
    let node = NodeProcess::start("late", deployment.store.address, 7.0).await;
    node.wait_for_open_group().await;
    node.signal("TERM");
    // Past half of the 1.5 s for which callers may still use its address.
    tokio::time::sleep(Duration::from_millis(950)).await;
    let (stream, _) =
        caller::send(node.callers, caller::request("r-1", "/chat/x", "k1")).await.unwrap();
    assert_eq!(stream.status(), 503);
    let after: f64 = stream.headers()["retry-after"].to_str().unwrap().parse().unwrap();
    assert!(after < 0.1, "Retry-After is {after} s, though another node can take it at once");
    assert!(deployment.engines.iter().all(|engine| engine.ran().is_empty()));
    let (short, _) =
        caller::send(node.callers, caller::request("r-2", "/print/x", "k1")).await.unwrap();
    assert_eq!(short.status(), 200, "short requests are still served");
}

/// Guards against requests that a stopping node accepts although it ends before their deadline, and
/// then cuts.
#[rstest]
#[case::at_most_once("/print/x")]
#[case::idempotent("/plate/x")]
#[case::stream("/chat/x")]
#[tokio::test]
async fn a_stopping_node_accepts_only_what_ends_in_time(
    #[case] path: &str,
    #[values(100, 800)] sent_after_ms: u64,
) {
    let deployment = Deployment::start(2, 1).await;
    let long = config(2, "k1").replace("\"timeout_ms\":1000", "\"timeout_ms\":4000");
    deployment.store.configure(&long);
    let name = format!("outlast-{}-{sent_after_ms}", path.trim_matches('/').replace('/', "-"));
    // The stop cuts what is in flight 1.3 s after the signal.
    let mut node = NodeProcess::start(&name, deployment.store.address, 2.0).await;
    node.wait_for_open_group().await;
    node.signal("TERM");
    tokio::time::sleep(Duration::from_millis(sent_after_ms)).await;
    deployment.gates.iter().for_each(|gate| gate.set_behaviour(InstanceBehaviour::Slow));
    let began = Instant::now();
    let (late, _) =
        caller::send(node.callers, caller::request("r-late", path, "k1")).await.unwrap();
    assert_eq!(late.status(), 503);
    assert!(began.elapsed() < Duration::from_millis(200), "{:?}", began.elapsed());
    let after: f64 = late.headers()["retry-after"].to_str().unwrap().parse().unwrap();
    assert!(after < 0.1, "Retry-After is {after} s, though another node can take it at once");
    deployment.gates.iter().for_each(|gate| gate.set_behaviour(InstanceBehaviour::Normal));
    let mut short = caller::request("r-short", "/print/x", "k1");
    short.headers_mut().insert("x-deadline-milliseconds", "300".parse().unwrap());
    let (short, _) = caller::send(node.callers, short).await.unwrap();
    assert_eq!(short.status(), 200, "it ends in time");
    assert!(node.wait_for_exit(Duration::from_secs(3)).await.success());
    let instances = deployment.engines.iter().chain(&deployment.gates);
    let ran: Vec<String> = instances.flat_map(|instance| instance.ran()).collect();
    assert_eq!(ran, ["r-short"]);
}

/// Guards against a connection that closes without a response because its request, accepted before
/// the stop, takes longer than that.
#[tokio::test]
async fn a_request_that_outlasts_the_stop_gets_a_final_response() {
    let deployment = Deployment::start(2, 1).await;
    // The stop cuts what is in flight 0.3 s after the signal.
    let mut node = NodeProcess::start("final", deployment.store.address, 1.0).await;
    deployment.gates.iter().for_each(|gate| gate.set_behaviour(InstanceBehaviour::Slow));
    let req = caller::request("r-1", "/print/x", "k1");
    let pending = tokio::spawn(caller::send(node.callers, req));
    wait_for("the request to run", || async { !deployment.gates[0].ran().is_empty() }).await;
    node.signal("TERM");
    let (res, _) = pending.await.unwrap().unwrap();
    assert!([502, 504].contains(&res.status().as_u16()), "{}: it has run", res.status());
    assert!(node.wait_for_exit(Duration::from_secs(2)).await.success());
}

/// Length of a large response: more than the sockets on its way hold.
const LARGE_LEN: usize = 4_000_000;

/// Starts an instance of the service `gate` with large responses.
async fn start_large_gate(store: &StandInStore) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond_large(stream));
        }
    });
    let entry = format!(
        r#"{{"service":"gate","address":"{address}","zone":"a","slots":6,"state":"ready"}}"#
    );
    store.put("keyed.servers", "i-large", &entry);
}

async fn respond_large(mut stream: TcpStream) {
    let Some(req) = read_request(&mut stream).await else { return };
    let id = req.header("x-request-id").unwrap_or_default();
    let headers =
        format!("X-Instance-Id: i-large\r\nX-Request-Id: {id}\r\nX-Response-Stamp: i-large\r\n");
    let body = if req.path == "/health" { String::new() } else { "x".repeat(LARGE_LEN) };
    respond(stream, "200 OK", &headers, &body).await;
}

/// Guards against a response that a planned stop cuts because its caller reads it slowly, though
/// within its time limit and the stop.
#[tokio::test]
async fn a_planned_stop_waits_for_a_caller_that_reads_slowly() {
    let deployment = Deployment::start(2, 0).await;
    start_large_gate(&deployment.store).await;
    let long = config(2, "k1").replace("\"timeout_ms\":1000", "\"timeout_ms\":4000");
    deployment.store.configure(&long);
    // The stop cuts what is in flight 2.3 s after the signal; callers use the address for 1.5 s.
    let mut node = NodeProcess::start("reads", deployment.store.address, 3.0).await;
    node.wait_for_open_group().await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let mut stream = socket.connect(node.callers).await.unwrap();
    let head = "POST /print/x HTTP/1.1\r\nhost: lot.example\r\napi-key: k1\r\nx-request-id: r-1\r\n\
                x-deadline-milliseconds: 3000\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut buf = vec![0; 16 * 1024];
    let mut read = stream.read(&mut buf).await.unwrap();
    assert!(buf.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&buf[..read]));
    node.signal("TERM");
    let began = Instant::now();
    let reading_time = Duration::from_millis(1_950);
    while read < LARGE_LEN {
        let len = stream.read(&mut buf).await.unwrap();
        assert!(len > 0, "cut after {read} bytes and {:?}", began.elapsed());
        read += len;
        let due = reading_time.mul_f64(read as f64 / LARGE_LEN as f64);
        tokio::time::sleep(due.saturating_sub(began.elapsed())).await;
    }
    assert!(node.wait_for_exit(Duration::from_secs(1)).await.success());
}

#[tokio::test]
async fn further_stop_signals_do_not_cut_a_planned_stop_short() {
    let deployment = Deployment::start(2, 1).await;
    let mut node = NodeProcess::start("signals", deployment.store.address, 8.0).await;
    node.wait_for_open_group().await;
    let (res, _driver) =
        caller::open(node.callers, caller::request("r-1", "/chat/x", "k1")).await.unwrap();
    for _ in 0..3 {
        node.signal("TERM");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let text = res.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8(text.to_vec()).unwrap();
    assert_eq!(caller::event_ids(&text), (1..=STREAM_EVENTS).collect::<Vec<u64>>());
    assert!(node.wait_for_exit(Duration::from_secs(8)).await.success());
}

#[tokio::test]
async fn a_reload_of_invalid_settings_is_ignored() {
    let deployment = Deployment::start(2, 1).await;
    let node = NodeProcess::start("changed", deployment.store.address, 8.0).await;
    fs::write(&node.settings, "[node]\nname = 7\n").unwrap();
    node.signal("HUP");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (res, _) =
        caller::send(node.callers, caller::request("r-1", "/print/x", "k1")).await.unwrap();
    assert_eq!(res.status(), 200);
}

/// The settings come from a named pipe, so that the node blocks in reading them while it is
/// signalled.
#[tokio::test]
async fn a_reload_signal_during_start_does_not_end_the_process() {
    let deployment = Deployment::start(2, 1).await;
    let [callers, readiness, directory, control] = [(); 4].map(|()| free_address());
    let pipe = std::env::temp_dir().join(format!("starting-{}.toml", control.port()));
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let child = Command::new(BINARY).arg("--settings").arg(&pipe).stdout(Stdio::null()).spawn();
    let node =
        NodeProcess { child: child.unwrap(), settings: pipe.clone(), callers, readiness, control };
    // Opening for writing blocks until the node opens the other end for reading.
    let opened = tokio::task::spawn_blocking(move || fs::OpenOptions::new().write(true).open(pipe));
    let mut writer = opened.await.unwrap().unwrap();
    node.signal("HUP");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let text = format!(
        "[node]\nname = \"starting\"\ndata_centre = \"a\"\n[listen]\ncallers = \"{callers}\"\n\
         readiness = \"{readiness}\"\ndirectory = \"{directory}\"\npeers_port = {}\n\
         [store]\naddress = \"{}\"\nparts = 4\n",
        control.port(),
        deployment.store.address,
    );
    writer.write_all(text.as_bytes()).unwrap();
    drop(writer);
    // A regular file replaces the pipe, for the reload that the signal asks for.
    fs::remove_file(&node.settings).unwrap();
    fs::write(&node.settings, text).unwrap();
    wait_for("a ready process", || node.is_ready()).await;
}

#[test]
fn check_flag_reports_invalid_settings() {
    let file = std::env::temp_dir().join(format!("bad-{}.toml", std::process::id()));
    fs::write(&file, "[node]\nname = \"n\"\n").unwrap();
    let wait_for_exit =
        Command::new(BINARY).arg("--check").arg("--settings").arg(&file).output().unwrap();
    fs::remove_file(&file).unwrap();
    let text = String::from_utf8(wait_for_exit.stderr).unwrap();
    assert_eq!(wait_for_exit.status.code(), Some(2), "{text}");
    assert!(text.contains("data_centre") && text.contains("deploy/entry.toml"), "{text}");
}
