//! Instances behind loopback sockets that send much, or take request bodies slowly.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Socket receive buffer of a caller or instance, so that the kernel takes little for it.
pub const RECEIVE_BUFFER: u32 = 8 * 1024;

/// An answer of 32 MB, which no kernel buffer holds.
pub const ENDLESS: Behaviour =
    Behaviour::Stream { events: 32_000, event_len: 1_000, pause: Duration::ZERO };

/// An answer that takes a second.
pub const USUAL: Behaviour =
    Behaviour::Stream { events: 100, event_len: 1_000, pause: Duration::from_millis(10) };

/// How an instance handles a request.
#[derive(Debug, Clone, Copy)]
pub enum Behaviour {
    /// Sends that many events of that many bytes, with a pause between them.
    Stream { events: u64, event_len: usize, pause: Duration },
    /// [`USUAL`] for paths that end so, and else [`ENDLESS`].
    ByPath,
    /// Sends a complete answer of that many bytes.
    Complete(usize),
    /// Reads nothing after the head of the request.
    NoBody,
    /// Reads the body in pieces of 64 KB with a pause before each, then answers with its length.
    SlowBody(Duration),
}

/// An instance behind a loopback socket.
#[derive(Debug)]
pub struct Upstream {
    behaviour: Behaviour,
    /// Requests that arrived.
    pub requests: AtomicUsize,
    /// Connections without a request: probes.
    pub probes: AtomicUsize,
    /// Bytes that the kernel took of its answers.
    pub written: AtomicUsize,
    /// Requests whose connection the node closed before their end.
    pub cancelled: AtomicUsize,
}

/// Starts an instance, and returns its address too.
pub async fn start_upstream(behaviour: Behaviour) -> (Arc<Upstream>, SocketAddr) {
    let counters = [(); 4].map(|()| AtomicUsize::new(0));
    let [requests, probes, written, cancelled] = counters;
    let upstream = Arc::new(Upstream { behaviour, requests, probes, written, cancelled });
    let socket = TcpSocket::new_v4().unwrap();
    if matches!(behaviour, Behaviour::NoBody | Behaviour::SlowBody(_)) {
        socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    }
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(256).unwrap();
    let address = listener.local_addr().unwrap();
    let served = Arc::clone(&upstream);
    tokio::spawn(accept(listener, served));
    (upstream, address)
}

async fn accept(listener: TcpListener, upstream: Arc<Upstream>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let upstream = Arc::clone(&upstream);
        tokio::spawn(async move {
            if !upstream.serve(stream).await {
                upstream.cancelled.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
}

impl Upstream {
    /// Returns whether the node kept the connection open to the end.
    async fn serve(&self, mut stream: TcpStream) -> bool {
        let Some(head) = read_head(&mut stream).await else {
            self.probes.fetch_add(1, Ordering::Relaxed);
            return true;
        };
        self.requests.fetch_add(1, Ordering::Relaxed);
        let behaviour = match self.behaviour {
            Behaviour::ByPath if head.starts_with("POST /chat/usual ") => USUAL,
            Behaviour::ByPath => ENDLESS,
            other => other,
        };
        match behaviour {
            Behaviour::ByPath => unreachable!("it was replaced"),
            Behaviour::Stream { events, event_len, pause } => {
                self.send_events(&mut stream, (events, event_len, pause)).await
            }
            Behaviour::Complete(len) => self.send_answer(&mut stream, &vec![b'x'; len]).await,
            Behaviour::NoBody => {
                // Writability without reading: the node's close is seen by an error of the socket.
                while stream.take_error().unwrap().is_none() {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                false
            }
            Behaviour::SlowBody(pause) => {
                let len = read_body(&mut stream, &head, pause).await;
                self.send_answer(&mut stream, len.to_string().as_bytes()).await
            }
        }
    }

    async fn send(&self, stream: &mut TcpStream, bytes: &[u8]) -> bool {
        let mut rest = bytes;
        while !rest.is_empty() {
            let Ok(len) = stream.write(rest).await else { return false };
            self.written.fetch_add(len, Ordering::Relaxed);
            rest = &rest[len..];
        }
        true
    }

    async fn send_events(
        &self,
        stream: &mut TcpStream,
        (events, event_len, pause): (u64, usize, Duration),
    ) -> bool {
        let head = "HTTP/1.1 200 OK\r\nx-response-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n";
        if !self.send(stream, head.as_bytes()).await {
            return false;
        }
        for id in 1..=events {
            let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(event_len));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if !self.send(stream, chunk.as_bytes()).await {
                return false;
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
        self.send(stream, b"0\r\n\r\n").await
    }

    async fn send_answer(&self, stream: &mut TcpStream, body: &[u8]) -> bool {
        let len = body.len();
        let head =
            format!("HTTP/1.1 200 OK\r\nx-response-stamp: s\r\ncontent-length: {len}\r\n\r\n");
        self.send(stream, head.as_bytes()).await && self.send(stream, body).await
    }
}

/// Reads up to the end of a head; `None` if the connection ends before.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).unwrap())
}

async fn read_body(stream: &mut TcpStream, head: &str, pause: Duration) -> usize {
    let len = head
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
    let len: usize = len.unwrap();
    let mut piece = vec![0; 64 * 1024];
    let mut read = 0;
    while read < len {
        tokio::time::sleep(pause).await;
        let piece_len = piece.len().min(len - read);
        stream.read_exact(&mut piece[..piece_len]).await.unwrap();
        read += piece_len;
    }
    read
}
