//! A node keeps running when other nodes disconnect at any point of a request to it.

mod support;

use std::time::Duration;

use tokio::task::JoinSet;
use workshold_node::counters::Counters;
use workshold_node::peer_link::PeerLink;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::NodeId;
use workshold_protocol::peer::PeerQuery;
use workshold_protocol::signing::ClusterKey;
use workshold_standins::Layout;
use zeromq::ReqSocket;
use zeromq::Socket;
use zeromq::SocketSend;

use crate::support::Deployment;

/// Rounds of connections; each connection is closed after another time of up to 700 µs.
const ROUNDS: usize = 12;
/// Connections of one round, which run at the same time.
const PEERS_PER_ROUND: usize = 20;

/// Sends a message and closes the connection, after `wait`, without reading the answer.
async fn send_and_disconnect(address: String, wait: Duration) {
    let ask = async {
        let mut socket = ReqSocket::new();
        if socket.connect(&format!("tcp://{address}")).await.is_ok() {
            let _ = socket.send(vec![0_u8; 64].into()).await;
            tokio::time::sleep(wait).await;
        }
    };
    // The client socket may wait forever on a connection that broke.
    let _ = tokio::time::timeout(Duration::from_secs(1), ask).await;
}

/// Whether the node answers a peer that has the cluster key.
async fn is_answered(deployment: &Deployment) -> bool {
    let text = std::fs::read_to_string(deployment.folder.join("cluster.key")).unwrap();
    let key = ClusterKey::from_text(&text).unwrap();
    let link = PeerLink::new(&deployment.layout.peers(0));
    let from = NodeId::new("asker").unwrap();
    let data_centre = DataCentre::new("dc-0").unwrap();
    let within = Duration::from_secs(5);
    for _ in 0..10 {
        let ask = PeerQuery::Digest { data_centre: data_centre.clone() };
        if link.query(&from, ask, &key, &Counters::default(), within).await.is_ok() {
            return true;
        }
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_that_disconnect_before_the_answer_do_not_stop_the_node() {
    let layout = Layout { entries: 1, engines: 5, ..Layout::default() };
    let deployment = Deployment::start_serving(layout).await;
    for round in 0..ROUNDS {
        let mut peers = JoinSet::new();
        for n in 0..PEERS_PER_ROUND {
            let wait = Duration::from_micros((round * PEERS_PER_ROUND + n) as u64 % 700);
            peers.spawn(send_and_disconnect(deployment.layout.peers(0), wait));
        }
        while peers.join_next().await.is_some() {}
    }
    let status = deployment.status(0).await.expect("the node answers the operator endpoint");
    assert!(status.ready);
    let counts = &deployment.dump(0).await["counts"];
    assert!(counts["bad_messages"].as_u64() > Some(0), "{counts}");
    assert!(is_answered(&deployment).await, "the node answers a peer's request");
}
