//! A client's side of HTTP/1.1, read strictly: whether an answer is complete is judged by its
//! framing alone, as the clients of the pages do.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// What a client got.
#[derive(Debug)]
pub struct Got {
    /// The status; 0 if there was no head.
    pub status: u16,
    /// The head, as text.
    pub head: String,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// Whether the framing says that the answer is whole.
    pub is_complete: bool,
}

impl Got {
    /// A summary for the record.
    pub fn describe(&self) -> String {
        let whole = if self.is_complete { "complete" } else { "cut" };
        let stamp = if self.head.to_lowercase().contains("x-response-stamp") { ", stamped" } else { "" };
        format!("status {}, {} bytes of body, {whole}{stamp}", self.status, self.body.len())
    }
}

/// Sends `request` on a new channel and reads the answer.
pub async fn ask(address: SocketAddr, request: &str, within: Duration) -> Got {
    let mut got = Got { status: 0, head: String::new(), body: Vec::new(), is_complete: false };
    let _ = tokio::time::timeout(within, exchange(address, request, &mut got)).await;
    got
}

async fn exchange(address: SocketAddr, request: &str, got: &mut Got) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes()).await?;
    let mut raw = Vec::new();
    let mut buf = vec![0; 16 * 1024];
    let mut head_end = None;
    loop {
        let read = stream.read(&mut buf).await;
        let ended = matches!(read, Ok(0));
        if let Ok(len) = &read {
            raw.extend_from_slice(&buf[..*len]);
        }
        if head_end.is_none() {
            head_end = raw.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
            if let Some(end) = head_end {
                got.head = String::from_utf8_lossy(&raw[..end]).into_owned();
                got.status = got.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            }
        }
        if let Some(end) = head_end {
            let rest = &raw[end..];
            if is_chunked(&got.head) {
                let (body, is_complete) = dechunk(rest);
                (got.body, got.is_complete) = (body, is_complete);
            } else if let Some(len) = content_length(&got.head) {
                got.body = rest[..rest.len().min(len)].to_vec();
                got.is_complete = rest.len() >= len;
            } else {
                got.body = rest.to_vec();
                got.is_complete = ended;
            }
        }
        if got.is_complete || ended || read.is_err() {
            return Ok(());
        }
    }
}

/// The value of a header, if the head has it.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (own, value) = line.split_once(':')?;
        own.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

fn is_chunked(head: &str) -> bool {
    header(head, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
}

fn content_length(head: &str) -> Option<usize> {
    header(head, "content-length").and_then(|value| value.parse().ok())
}

fn dechunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|two| two == b"\r\n") else { return (body, false) };
        let size = std::str::from_utf8(&rest[..end]).unwrap_or("");
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (body, false) };
        rest = &rest[end + 2..];
        if size == 0 {
            return (body, rest.starts_with(b"\r\n"));
        }
        if rest.len() < size + 2 {
            body.extend_from_slice(&rest[..rest.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
    }
}
