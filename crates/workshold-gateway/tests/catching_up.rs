//! When a node asks a peer for what the store has not given.
//!
//! Seen: a configuration of 820 KB came twice to 28 of 61 nodes within a second, from the
//! store and from a peer, and filled their links twice as long. How: a peer is asked if
//! the store has not given a newer one within half a second, and the store was giving it
//! all the while. Cause: slow was taken for silent. Proof: the nodes' own figures of bytes
//! that came in, and of those that the asked peers sent.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use workshold_gateway::node::Node;
use workshold_gateway::peers::Heartbeat;
use workshold_gateway::settings;
use workshold_gateway::tasks::gossip;
use workshold_gateway::tasks::store_sync;
use workshold_protocol::clock::SystemClock;

/// A store whose answers come in pieces, so many of them.
async fn store(pieces: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                let _ = stream.read(&mut buf).await;
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n";
                let _ = stream.write_all(head.as_bytes()).await;
                for _ in 0..pieces {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    let _ = stream.write_all(&[b' '; 1000]).await;
                }
                tokio::time::sleep(Duration::from_secs(10)).await;
            });
        }
    });
    address
}

/// A store that turns this node away, with a few words.
async fn refusing_store() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            let refusal = "HTTP/1.1 503 Down\r\ncontent-length: 2\r\n\r\n{}";
            let _ = stream.write_all(refusal.as_bytes()).await;
        }
    });
    address
}

#[rstest]
#[case::while_the_store_is_giving_it(18, false)]
#[case::if_the_store_has_stopped(2, true)]
#[tokio::test]
async fn a_peer_is_asked_for_the_configuration(#[case] pieces: usize, #[case] expected: bool) {
    let asked = is_asked(store(pieces).await, Duration::from_millis(1_150)).await;
    assert_eq!(asked, expected);
}

/// Whether a peer that holds a newer configuration is asked within `within`.
async fn is_asked(store: SocketAddr, within: Duration) -> bool {
    let text = common::SETTINGS.replace("127.0.0.1:7005", &store.to_string());
    let (doubts, _rx) = mpsc::unbounded_channel();
    let settings = settings::parse(&text).unwrap();
    let own = settings.control();
    let node = Arc::new(Node::new(settings, Box::new(SystemClock::default()), doubts));
    let (address, count) = common::peer().await;
    let said = Heartbeat { next_ms: 20_000, config: Some((7, 0)), ..common::heartbeat(address) };
    node.peers.lock().on_heartbeat(own, address, SmolStr::new("n-2"), said, node.now());
    let store_sync = tokio::spawn(store_sync::config(Arc::clone(&node)));
    let catching_up = tokio::spawn(gossip::catch_up(Arc::clone(&node)));
    tokio::time::sleep(within).await;
    store_sync.abort();
    catching_up.abort();
    count.load(Ordering::Relaxed) > 0
}

/// A refusal is no part of a configuration, however many bytes it has: a store may turn
/// one node away for long while it serves the others.
#[tokio::test]
async fn a_peer_is_asked_if_the_store_turns_this_node_away() {
    assert!(is_asked(refusing_store().await, Duration::from_secs(4)).await);
}

/// What comes too slowly to be whole in time is given up, and begins anew: so it may never
/// come from there, though bytes do.
#[tokio::test]
async fn a_peer_is_asked_if_the_store_is_too_slow_ever_to_give_the_whole() {
    assert!(is_asked(store(1_000).await, Duration::from_secs(6)).await);
}
