//! Sends requests as consumers do, and tells exactly how the channel ended.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// What a consumer got.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// The status; 0 if the channel closed without one.
    pub status: u16,
    /// The stamp of the runner.
    pub stamp: Option<String>,
    /// The body, as far as it came.
    pub body: String,
    /// Whether the answer is complete by its framing.
    pub is_complete: bool,
    /// How long it took.
    pub took: Duration,
    /// The error of the channel, if any.
    pub error: Option<String>,
}

/// A request of a consumer.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// How long the consumer waits, in milliseconds.
    pub deadline_ms: u64,
    /// The model, for engines.
    pub model: Option<String>,
}

/// Sends a request on a new channel and reads the answer.
pub fn send(node: SocketAddr, request: &Request) -> Outcome {
    let began = Instant::now();
    let mut outcome = Outcome::default();
    if let Err(err) = exchange(node, request, &mut outcome) {
        outcome.error = Some(err.to_string());
    }
    outcome.took = began.elapsed();
    outcome
}

fn exchange(node: SocketAddr, request: &Request, outcome: &mut Outcome) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    // The consumer gives up a little after the time that it stated.
    stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms + 1_000)))?;
    let body = "{\"order\":1}";
    let model = request.model.as_ref().map_or(String::new(), |model| {
        format!("X-Model: {model}\r\nX-Token-Counts: 100,150\r\nX-Prompt-Prefix: {}:100\r\n", "5c")
    });
    let text = format!(
        "POST {} HTTP/1.1\r\nHost: lot.example\r\nX-Request-Id: {}\r\n\
         X-Deadline-Milliseconds: {}\r\n{model}Api-Key: k1\r\nContent-Length: {}\r\n\r\n{body}",
        request.path,
        request.id,
        request.deadline_ms,
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let len = stream.read(&mut buf)?;
        bytes.extend_from_slice(&buf[..len]);
        if parse(&bytes, outcome) || len == 0 {
            return Ok(());
        }
    }
}

/// Parses what has come; returns whether the answer is complete.
fn parse(bytes: &[u8], outcome: &mut Outcome) -> bool {
    let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
    let rest = &bytes[at + 4..];
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1));
    outcome.status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let header = |name: &str| headers.iter().find(|(own, _)| own == name).map(|(_, v)| v.clone());
    outcome.stamp = header("x-response-stamp");
    if let Some(len) = header("content-length").and_then(|len| len.parse::<usize>().ok()) {
        outcome.body = String::from_utf8_lossy(&rest[..rest.len().min(len)]).into_owned();
        outcome.is_complete = rest.len() >= len;
    } else {
        (outcome.body, outcome.is_complete) = unchunk(rest);
    }
    outcome.is_complete
}

/// Decodes chunks; returns the text and whether the last chunk has come.
fn unchunk(mut rest: &[u8]) -> (String, bool) {
    let mut text = String::new();
    loop {
        let Some(at) = rest.windows(2).position(|two| two == b"\r\n") else { return (text, false) };
        let len = usize::from_str_radix(&String::from_utf8_lossy(&rest[..at]), 16).unwrap_or(0);
        rest = &rest[at + 2..];
        if len == 0 {
            return (text, rest.len() >= 2);
        }
        if rest.len() < len + 2 {
            return (text, false);
        }
        text.push_str(&String::from_utf8_lossy(&rest[..len]));
        rest = &rest[len + 2..];
    }
}
