//! A TCP proxy that a test can cut, to simulate a network partition.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Forwards connections from one address to another, unless it is cut.
pub struct TcpProxy {
    is_cut: Arc<AtomicBool>,
}

impl TcpProxy {
    /// Starts to forward connections to `address` to `target`.
    pub async fn start(address: &str, target: String) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let is_cut = Arc::new(AtomicBool::new(false));
        tokio::spawn(forward(listener, target, Arc::clone(&is_cut)));
        Self { is_cut }
    }

    /// Cuts the proxy, which also breaks open connections, or restores it.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

async fn forward(listener: TcpListener, target: String, is_cut: Arc<AtomicBool>) {
    while let Ok((mut near, _)) = listener.accept().await {
        let (target, is_cut) = (target.clone(), Arc::clone(&is_cut));
        tokio::spawn(async move {
            if is_cut.load(Ordering::SeqCst) {
                return;
            }
            let Ok(mut far) = TcpStream::connect(target).await else { return };
            tokio::select! {
                _ = copy_bidirectional(&mut near, &mut far) => {}
                () = wait_until_cut(&is_cut) => {}
            }
        });
    }
}

async fn wait_until_cut(is_cut: &AtomicBool) {
    while !is_cut.load(Ordering::SeqCst) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
