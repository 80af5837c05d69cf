//! Reads answers at a caller's own speed.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Reads the rest of the connection in pieces of that many bytes, with a pause before each, until
/// the answer is complete (`Ok`) or the connection ends (`Err`).
pub async fn read_answer(
    stream: &mut TcpStream,
    piece_len: usize,
    pause: Duration,
) -> Result<Vec<u8>, Vec<u8>> {
    let mut piece = vec![0; piece_len];
    let mut answer = Vec::new();
    loop {
        tokio::time::sleep(pause).await;
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => return Err(answer),
            Ok(len) => answer.extend_from_slice(&piece[..len]),
        }
        if answer.ends_with(b"\r\n0\r\n\r\n") || is_length_reached(&answer) {
            return Ok(answer);
        }
    }
}

/// Whether the answer states its length and is complete.
fn is_length_reached(answer: &[u8]) -> bool {
    let Some(end) = answer.windows(4).take(2_000).position(|four| four == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&answer[..end]).to_ascii_lowercase();
    let len = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    len.is_some_and(|len: usize| answer.len() - end - 4 >= len)
}

/// Number of events in an answer, counted by their first line.
pub fn event_count(answer: &[u8]) -> u64 {
    String::from_utf8_lossy(answer).matches("id: ").count() as u64
}
