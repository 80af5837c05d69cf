//! The daemon as a process of its own: settings, a planned stop, a changed file.

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
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::free_address;
use workshold_platform_standin::instance::InstanceBehaviour;
use workshold_platform_standin::instance::STREAM_EVENTS;
use workshold_platform_standin::wait_for;

const BINARY: &str = env!("CARGO_BIN_EXE_workshold-gateway");

/// A node in a process of its own, which ends with the test.
struct Process {
    child: Child,
    settings: PathBuf,
    callers: SocketAddr,
    readiness: SocketAddr,
    control: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself, as most of these tests want.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

impl Process {
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

    async fn serving(&self) {
        wait_for("a group that serves", || async {
            let state = caller::get(self.control, "/state").await;
            state.is_some_and(|(_, body)| String::from_utf8_lossy(&body).contains("Open"))
        })
        .await;
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap();
        assert!(sent.success());
    }

    async fn ended(&mut self, within: Duration) -> ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(began.elapsed() < within, "it did not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn a_planned_stop_serves_until_callers_have_forgotten_it_and_cuts_nothing() {
    let deployment = Deployment::start(2, 1).await;
    let mut node = Process::start("stop", deployment.store.address, 8.0).await;
    node.serving().await;
    let (res, _driver) =
        caller::open(node.callers, caller::request("r-1", "/chat/x", "k1")).await.unwrap();
    node.signal("TERM");
    wait_for("the node out of every answer", || async { !node.is_ready().await }).await;
    // Callers who still have its address are served.
    let (late, _) =
        caller::send(node.callers, caller::request("r-2", "/print/x", "k1")).await.unwrap();
    assert_eq!(late.status(), 200);
    let text = res.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8(text.to_vec()).unwrap();
    assert_eq!(caller::event_ids(&text), (1..=STREAM_EVENTS).collect::<Vec<u64>>());
    assert!(node.ended(Duration::from_secs(8)).await.success());
}

#[tokio::test]
async fn a_planned_stop_ends_in_time_although_a_stream_does_not() {
    let deployment = Deployment::start(2, 0).await;
    let mut node = Process::start("endless", deployment.store.address, 3.0).await;
    node.serving().await;
    deployment.engines.iter().for_each(|engine| engine.set_behaviour(InstanceBehaviour::Endless));
    let (_res, _driver) =
        caller::open(node.callers, caller::request("r-1", "/chat/x", "k1")).await.unwrap();
    let began = Instant::now();
    node.signal("TERM");
    assert!(node.ended(Duration::from_secs(6)).await.success());
    assert!(began.elapsed() < Duration::from_millis(3_500), "{:?}", began.elapsed());
}

#[tokio::test]
async fn a_stopping_node_takes_no_stream_that_it_might_have_to_cut() {
    let deployment = Deployment::start(2, 1).await;
    let node = Process::start("late", deployment.store.address, 8.0).await;
    node.serving().await;
    node.signal("TERM");
    // Half of the time for which callers may use its address: one and a half seconds.
    tokio::time::sleep(Duration::from_millis(950)).await;
    let (stream, _) =
        caller::send(node.callers, caller::request("r-1", "/chat/x", "k1")).await.unwrap();
    assert_eq!(stream.status(), 503);
    let after: f64 = stream.headers()["retry-after"].to_str().unwrap().parse().unwrap();
    assert!(after < 0.1, "{after}: another node will take it at once");
    assert!(deployment.engines.iter().all(|engine| engine.ran().is_empty()));
    let (short, _) =
        caller::send(node.callers, caller::request("r-2", "/print/x", "k1")).await.unwrap();
    assert_eq!(short.status(), 200, "what is over soon is still served");
}

#[tokio::test]
async fn a_changed_file_that_is_not_valid_changes_nothing() {
    let deployment = Deployment::start(2, 1).await;
    let node = Process::start("changed", deployment.store.address, 8.0).await;
    fs::write(&node.settings, "[node]\nname = 7\n").unwrap();
    node.signal("HUP");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (res, _) =
        caller::send(node.callers, caller::request("r-1", "/print/x", "k1")).await.unwrap();
    assert_eq!(res.status(), 200);
}

/// The node is held while it reads its settings, from a pipe, and signalled then.
#[tokio::test]
async fn a_signal_that_comes_while_a_node_starts_does_not_end_it() {
    let deployment = Deployment::start(2, 1).await;
    let [callers, readiness, directory, control] = [(); 4].map(|()| free_address());
    let pipe = std::env::temp_dir().join(format!("starting-{}.toml", control.port()));
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let child = Command::new(BINARY).arg("--settings").arg(&pipe).stdout(Stdio::null()).spawn();
    let node =
        Process { child: child.unwrap(), settings: pipe.clone(), callers, readiness, control };
    // This opens once the node reads at the other end.
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
    // What takes the pipe's place is a file, for the reading that the signal asks for.
    fs::remove_file(&node.settings).unwrap();
    fs::write(&node.settings, text).unwrap();
    wait_for("a ready process", || node.is_ready()).await;
}

#[test]
fn settings_are_checked_before_anything_starts() {
    let file = std::env::temp_dir().join(format!("bad-{}.toml", std::process::id()));
    fs::write(&file, "[node]\nname = \"n\"\n").unwrap();
    let ended = Command::new(BINARY).arg("--check").arg("--settings").arg(&file).output().unwrap();
    fs::remove_file(&file).unwrap();
    let text = String::from_utf8(ended.stderr).unwrap();
    assert_eq!(ended.status.code(), Some(2), "{text}");
    assert!(text.contains("data_centre") && text.contains("deploy/entry.toml"), "{text}");
}
