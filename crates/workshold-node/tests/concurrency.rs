//! Reading a node's state while other threads change it does not deadlock.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use workshold_node::dump;
use workshold_node::node::Node;
use workshold_node::settings;
use workshold_protocol::clock::SystemClock;
use workshold_protocol::ids::Offset;
use workshold_standins::Layout;
use workshold_standins::commands::prepare;

/// How often the state is read while the writers run.
const ROUNDS: u32 = 3_000;

fn node() -> (Arc<Node>, PathBuf) {
    let folder = std::env::temp_dir().join(format!("workshold-locks-{}", std::process::id()));
    prepare::run(&Layout::default(), &folder, "").unwrap();
    let checked = settings::load(&folder.join("entry-0.toml")).unwrap();
    let (intents, _) = tokio::sync::mpsc::channel(1);
    (Node::new(checked, Arc::new(SystemClock::default()), intents), folder)
}

#[test]
fn reading_the_state_beside_writers_does_not_deadlock() {
    let (node, folder) = node();
    let is_over = Arc::new(AtomicBool::new(false));
    for _ in 0..2 {
        let (node, is_over) = (Arc::clone(&node), Arc::clone(&is_over));
        std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                node.on_peer_authority(false, Offset(0));
                node.update_replay_lag();
            }
        });
    }
    let (done, wait) = mpsc::channel();
    std::thread::spawn(move || {
        for _ in 0..ROUNDS {
            dump::dump(&node);
        }
        let _ = done.send(());
    });
    let read = wait.recv_timeout(Duration::from_secs(60));
    is_over.store(true, Ordering::Relaxed);
    let _ = std::fs::remove_dir_all(folder);
    assert_eq!(read, Ok(()), "deadlock: the state was not read in time");
}
