//! A caller who stops reading or disconnects is cancelled upstream, so that the slot is freed.

mod support;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use workshold_standins::Layout;

use crate::support::Deployment;
use crate::support::TIME_SETTINGS;

/// Enough that the stream is still running when the caller stops reading or disconnects.
const TOKENS: u32 = 16_000;

/// Requests a long stream over a TCP connection that the test reads itself, and reads the
/// first bytes of the response.
async fn open_stream(deployment: &Deployment) -> TcpStream {
    let address = deployment.layout.callers(0);
    let mut stream = TcpStream::connect(&address).await.unwrap();
    let body = format!(
        "{{\"model\":\"assistant\",\"prompt\":\"p\",\"max_tokens\":{TOKENS},\"stream\":true}}"
    );
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {address}\r\nworkshold-team: travel\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    let mut first = [0; 64];
    stream.read_exact(&mut first).await.unwrap();
    assert!(first.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&first));
    stream
}

async fn wait_until_no_request_is_in_flight(deployment: &Deployment) {
    deployment
        .wait("no request is in flight", |all| {
            all.iter().all(|status| status.nodes.iter().all(|node| node.in_flight == 0))
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_is_cancelled_upstream() {
    let deployment = Deployment::start_serving(Layout { engines: 5, ..Layout::default() }).await;
    let stream = open_stream(&deployment).await;
    drop(stream);
    wait_until_no_request_is_in_flight(&deployment).await;
    let counts = &deployment.dump(0).await["counts"];
    assert_eq!((counts["cancelled"].as_u64(), counts["answered"].as_u64()), (Some(1), Some(0)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_stops_reading_is_cancelled_after_caller_stall() {
    let layout = Layout { engines: 5, step: workshold_protocol::Millis(1), ..Layout::default() };
    let times = format!("{TIME_SETTINGS}caller_stall = 500\ndefault_deadline = 300000\n");
    let deployment = Deployment::start_with(layout, &times, |_, text| text).await;
    deployment.roll_out_first_bundle().await;
    let stream = open_stream(&deployment).await;
    // Once the buffers on the way are full, the node waits for `caller_stall`, half a second.
    wait_until_no_request_is_in_flight(&deployment).await;
    let counts = &deployment.dump(0).await["counts"];
    assert_eq!((counts["cancelled"].as_u64(), counts["answered"].as_u64()), (Some(1), Some(0)));
    drop(stream);
}
