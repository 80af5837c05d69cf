//! The network path of one node to the runners, as a proxy that takes `CONNECT`: new connections to
//! a runner that is cut off are refused.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The path.
pub struct CutPath {
    /// Where the proxy listens.
    pub address: SocketAddr,
    cut: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

impl CutPath {
    /// Starts the proxy; the path is open.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port on loopback");
        let address = listener.local_addr().expect("a bound listener has an address");
        let cut: Arc<Mutex<BTreeSet<SocketAddr>>> = Arc::default();
        let shared = Arc::clone(&cut);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, Arc::clone(&shared)));
            }
        });
        Self { address, cut }
    }

    /// Refuses new connections to a runner from now on.
    pub fn cut(&self, runner: SocketAddr) {
        self.cut.lock().expect("no thread panics").insert(runner);
    }
}

async fn forward(mut client: TcpStream, cut: Arc<Mutex<BTreeSet<SocketAddr>>>) -> Option<()> {
    client.set_nodelay(true).ok()?;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(client.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let target: SocketAddr = head.split(' ').nth(1)?.parse().ok()?;
    let is_cut = cut.lock().expect("no thread panics").contains(&target);
    let connected = if is_cut { None } else { TcpStream::connect(target).await.ok() };
    let Some(mut server) = connected else {
        client.write_all(b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n").await.ok()?;
        return None;
    };
    server.set_nodelay(true).ok()?;
    client.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.ok()?;
    tokio::io::copy_bidirectional(&mut client, &mut server).await.ok()?;
    Some(())
}
