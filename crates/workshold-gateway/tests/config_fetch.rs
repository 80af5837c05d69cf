//! When a node fetches a configuration from a peer because the store has not delivered it.
//!
//! Guards against this failure: 28 of 61 nodes received a configuration of 820 KB twice within a
//! second, from the store and from a peer, which kept their links full for twice as long, as the
//! bytes that they counted in, and those that the peers counted out, showed. A node asks a peer if
//! the store has not delivered a newer configuration within half a second, but the store was still
//! sending it: a slow answer was taken for none.

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

/// A store that sends its answer in `pieces` of 1,000 bytes and then stalls.
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

/// A store that refuses every request with a short body.
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
#[case::store_is_sending(18, false)]
#[case::store_has_stalled(2, true)]
#[tokio::test]
async fn a_peer_is_asked_only_if_the_store_stalls(#[case] pieces: usize, #[case] expected: bool) {
    let asked = is_peer_asked(store(pieces).await, Duration::from_millis(1_150)).await;
    assert_eq!(asked, expected);
}

/// Returns whether the node connects within `within` to a peer that has a newer configuration.
async fn is_peer_asked(store: SocketAddr, within: Duration) -> bool {
    let text = common::SETTINGS.replace("127.0.0.1:7005", &store.to_string());
    let (probes, _rx) = mpsc::unbounded_channel();
    let settings = settings::parse(&text).unwrap();
    let own = settings.control();
    let node = Arc::new(Node::new(settings, Box::new(SystemClock::default()), probes));
    let (address, count) = common::listen_as_peer().await;
    let heartbeat =
        Heartbeat { next_ms: 20_000, config: Some((7, 0)), ..common::heartbeat(address) };
    node.peers.lock().on_heartbeat(own, address, SmolStr::new("n-2"), heartbeat, node.now());
    let store_sync = tokio::spawn(store_sync::config(Arc::clone(&node)));
    let catching_up = tokio::spawn(gossip::catch_up(Arc::clone(&node)));
    tokio::time::sleep(within).await;
    store_sync.abort();
    catching_up.abort();
    count.load(Ordering::Relaxed) > 0
}

/// The bytes of a refusal must not count as progress: a store may refuse one node for long while it
/// serves the others.
#[tokio::test]
async fn a_peer_is_asked_if_the_store_refuses_this_node() {
    assert!(is_peer_asked(refusing_store().await, Duration::from_secs(4)).await);
}

/// An answer that is too slow to be complete before its timeout is aborted and requested again, so
/// the store may never deliver it although bytes arrive.
#[tokio::test]
async fn a_peer_is_asked_if_the_store_is_too_slow_to_finish() {
    assert!(is_peer_asked(store(1_000).await, Duration::from_secs(6)).await);
}
