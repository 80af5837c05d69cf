//! Connections from this node to instances, and the network paths that they need.

use std::io;

use tokio::net::TcpStream;

use crate::node::Node;

impl Node {
    /// Number of instances that peers reach and this node does not.
    pub fn lost_paths(&self) -> usize {
        self.suspicions.lock().reached_only_by_peers()
    }

    /// Opens a connection to the instance at `address`, an `ip:port`, without a time limit.
    ///
    /// # Errors
    ///
    /// The error of the operating system, or that the address cannot be parsed.
    pub async fn connect(&self, address: &str) -> io::Result<TcpStream> {
        let address = address.parse().map_err(io::Error::other)?;
        self.dialer.dial(address).await
    }
}
