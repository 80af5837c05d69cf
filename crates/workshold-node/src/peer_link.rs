//! Client for requests to another node, over a `zeromq` socket.

use std::time::Duration;

use displaydoc::Display;
use tokio::time::timeout;
use workshold_protocol::ids::NodeId;
use workshold_protocol::peer::PeerQuery;
use workshold_protocol::peer::PeerRequest;
use workshold_protocol::peer::PeerResponse;
use workshold_protocol::peer::PeerResponseBody;
use workshold_protocol::peer::decode_sealed;
use workshold_protocol::peer::encode_sealed;
use workshold_protocol::signing::ClusterKey;
use zeromq::ReqSocket;
use zeromq::Socket;
use zeromq::SocketRecv;
use zeromq::SocketSend;

use crate::counters::Counters;

/// Why a request to a peer failed.
#[derive(Debug, Display)]
pub enum PeerQueryError {
    /// cannot reach the peer: {0}
    Unreachable(String),
    /// the peer did not answer in time
    TimedOut,
    /// the peer's answer has another nonce or an invalid seal
    BadAnswer,
}

impl std::error::Error for PeerQueryError {}

/// A connection to one other node. Requests are sent one at a time; others wait.
pub struct PeerLink {
    address: String,
    socket: tokio::sync::Mutex<Option<ReqSocket>>,
}

impl std::fmt::Debug for PeerLink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerLink").field("address", &self.address).finish_non_exhaustive()
    }
}

impl PeerLink {
    /// Makes a link to the node at `address` (`ip:port`); connects on first use.
    pub fn new(address: &str) -> Self {
        Self { address: address.to_owned(), socket: tokio::sync::Mutex::default() }
    }

    /// Address of the other node.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a request, and waits for the answer up to `within`.
    ///
    /// # Errors
    ///
    /// [`PeerQueryError`]. The socket is then closed and the next request connects anew, so that
    /// a late answer can't be taken for that of a later request.
    pub async fn query(
        &self,
        from: &NodeId,
        query: PeerQuery,
        key: &ClusterKey,
        counters: &Counters,
        within: Duration,
    ) -> Result<PeerResponseBody, PeerQueryError> {
        let mut slot = self.socket.lock().await;
        let mut socket = match slot.take() {
            Some(socket) => socket,
            None => self.connect(within).await?,
        };
        let nonce = rand::random();
        let req = encode_sealed(&PeerRequest { nonce, from: from.clone(), ask: query }, key);
        counters.questions.add(1);
        counters.control_sent.add(req.len() as u64);
        let exchange = timeout(within, exchange(&mut socket, req)).await;
        let bytes = exchange.map_err(|_| PeerQueryError::TimedOut)??;
        counters.control_received.add(bytes.len() as u64);
        let answer: PeerResponse =
            decode_sealed(&bytes, key).map_err(|_| PeerQueryError::BadAnswer)?;
        if answer.nonce != nonce {
            return Err(PeerQueryError::BadAnswer);
        }
        *slot = Some(socket);
        Ok(answer.body)
    }

    async fn connect(&self, within: Duration) -> Result<ReqSocket, PeerQueryError> {
        let mut socket = ReqSocket::new();
        let endpoint = format!("tcp://{}", self.address);
        match timeout(within, socket.connect(&endpoint)).await {
            Err(_) => Err(PeerQueryError::TimedOut),
            Ok(Err(err)) => Err(PeerQueryError::Unreachable(err.to_string())),
            Ok(Ok(())) => Ok(socket),
        }
    }
}

/// Sends a sealed request and receives the sealed answer.
async fn exchange(socket: &mut ReqSocket, req: Vec<u8>) -> Result<Vec<u8>, PeerQueryError> {
    let unreachable = |err: zeromq::ZmqError| PeerQueryError::Unreachable(err.to_string());
    socket.send(req.into()).await.map_err(unreachable)?;
    let message = socket.recv().await.map_err(unreachable)?;
    message.get(0).map(|frame| frame.to_vec()).ok_or(PeerQueryError::BadAnswer)
}
