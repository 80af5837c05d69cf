//! Opens TCP connections to addresses whose network path may be at fault.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::tunnel;
use crate::tunnel::TunnelError;

/// A connection that is being opened.
pub type Dialing = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

/// Opens TCP connections. Tests replace [`TcpDialer`] to cut the network path of one node.
pub trait Dial: Send + Sync {
    /// Opens a connection to `address`, which fails if the address refuses it. There is no time
    /// limit beyond that of the operating system.
    fn dial(&self, address: SocketAddr) -> Dialing;
}

/// Opens connections over the operating system's network.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpDialer;

/// Socket send buffer of a connection, in bytes. The kernel would let it grow to megabytes, and a
/// receiver that has stopped reading would go unnoticed.
const SEND_BUFFER_LEN: u32 = 64 * 1024;

impl Dial for TcpDialer {
    fn dial(&self, address: SocketAddr) -> Dialing {
        Box::pin(connect(address))
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_send_buffer_size(SEND_BUFFER_LEN)?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Opens connections through a proxy that takes the method `CONNECT`. The end of the proxy looks like
/// the server's.
#[derive(Debug, Clone, Copy)]
pub struct ProxyDialer {
    proxy: SocketAddr,
}

/// How long the proxy may keep a connection open: longer than any request takes.
const PROXIED_LIFETIME: Duration = Duration::from_secs(60 * 60);

impl ProxyDialer {
    /// Opens connections through the proxy at `proxy`.
    pub fn new(proxy: SocketAddr) -> Self {
        Self { proxy }
    }
}

impl Dial for ProxyDialer {
    fn dial(&self, address: SocketAddr) -> Dialing {
        let proxy = self.proxy;
        Box::pin(async move {
            let address = address.to_string();
            let connected = tunnel::connect_raw(proxy, &address, PROXIED_LIFETIME).await;
            connected.map_err(|err| match err {
                TunnelError::Refused => io::ErrorKind::ConnectionRefused.into(),
                TunnelError::Silent => io::ErrorKind::TimedOut.into(),
                TunnelError::Unavailable(why) => io::Error::other(why),
            })
        })
    }
}
