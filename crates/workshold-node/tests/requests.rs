//! Requests to entry nodes that run as processes: answers are complete, idempotent requests
//! run at most once, and invalid requests get a clear error.

mod support;

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::StatusCode;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use workshold_standins::Layout;
use workshold_standins::answer;
use workshold_standins::faults::Fault;

use crate::support::Deployment;
use crate::support::TIME_SETTINGS;
use crate::support::caller;
use crate::support::caller::CompletionStream;
use crate::support::caller::book;
use crate::support::caller::send_request;

fn small_layout() -> Layout {
    Layout { engines: 5, ..Layout::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_killed_node_resume_at_another_node_and_complete() {
    let mut deployment = Deployment::start_serving(small_layout()).await;
    let (first, second) = (deployment.layout.callers(0), deployment.layout.callers(1));
    let prompts: Vec<_> = (0..8).map(|n| format!("question {n}")).collect();
    let mut streams = Vec::new();
    for prompt in &prompts {
        let mut stream = CompletionStream::open(&first, prompt, 60).await;
        stream.read(3).await;
        streams.push(stream);
    }
    deployment.kill(0);
    for (prompt, mut stream) in prompts.iter().zip(streams) {
        stream.finish().await;
        assert!(!stream.is_complete, "the node was killed during the stream");
        let mut resumed = CompletionStream::resume(&second, &stream).await.unwrap();
        resumed.finish().await;
        assert!(resumed.is_complete);
        assert_eq!(resumed.text, answer::whole(prompt, 60));
    }
}

/// A planned stop waits for a resumed stream. The stream is long enough to outlast the time
/// in which complete answers leave the machine.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_a_resumed_stream() {
    const TOKENS: u32 = 1_000;
    let mut deployment = Deployment::start_serving(small_layout()).await;
    let (first, second) = (deployment.layout.callers(0), deployment.layout.callers(1));
    let mut stream = CompletionStream::open(&first, "question", TOKENS).await;
    stream.read(3).await;
    deployment.kill(0);
    stream.finish().await;
    let mut resumed = CompletionStream::resume(&second, &stream).await.unwrap();
    deployment.signal(1, "-TERM");
    resumed.finish().await;
    assert!(resumed.is_complete, "cut after {} of {TOKENS} tokens", resumed.tokens);
    assert_eq!(resumed.text, answer::whole("question", TOKENS));
    assert_eq!(deployment.wait_for_exit(1).await, Some(0), "exit code 0: no request was aborted");
}

/// A planned stop does not wait for connections without a request.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_does_not_wait_for_idle_connections() {
    let mut deployment = Deployment::start_serving(small_layout()).await;
    let address = deployment.layout.callers(0);
    let unused = TcpStream::connect(&address).await.unwrap();
    let mut used = TcpStream::connect(&address).await.unwrap();
    used.write_all(b"GET /health HTTP/1.1\r\nhost: node\r\n\r\n").await.unwrap();
    let mut first = [0; 12];
    used.read_exact(&mut first).await.unwrap();
    assert_eq!(&first, b"HTTP/1.1 200");
    let stop_began = Instant::now();
    deployment.signal(0, "-TERM");
    assert_eq!(deployment.wait_for_exit(0).await, Some(0), "exit code 0: no request was aborted");
    assert!(stop_began.elapsed() < Duration::from_secs(5), "{:?}", stop_began.elapsed());
    drop((unused, used));
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_group_that_loses_a_member_fail_over_to_another_group() {
    let deployment = Deployment::start_serving(Layout::default()).await;
    let address = deployment.layout.callers(0);
    let mut streams = Vec::new();
    for n in 0..8 {
        let mut stream = CompletionStream::open(&address, &format!("question {n}"), 80).await;
        stream.read(3).await;
        streams.push(stream);
    }
    deployment.platform.inject(Fault::Kill(deployment.layout.engine_id(0))).await;
    for (n, stream) in streams.iter_mut().enumerate() {
        stream.finish().await;
        assert!(stream.is_complete, "stream {n}: {} tokens", stream.tokens);
        assert_eq!(stream.text, answer::whole(&format!("question {n}"), 80));
    }
}

/// The group that takes over has free slots for all streams, or for none at first.
#[rstest]
#[case::room(16)]
#[case::full(4)]
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_frozen_group_fail_over_to_another_group(#[case] slots: u32) {
    let deployment = Deployment::start_serving(Layout { slots, ..Layout::default() }).await;
    let address = deployment.layout.callers(0);
    let mut streams = Vec::new();
    for n in 0..8 {
        let mut stream = CompletionStream::open(&address, &format!("question {n}"), 400).await;
        stream.read(3).await;
        streams.push(stream);
    }
    for i in 0..deployment.layout.engines_per_domain {
        deployment.platform.inject(Fault::Freeze(deployment.layout.engine_id(i), true)).await;
    }
    for (n, stream) in streams.iter_mut().enumerate() {
        stream.finish().await;
        assert!(stream.is_complete, "stream {n}: {} tokens", stream.tokens);
        assert_eq!(stream.text, answer::whole(&format!("question {n}"), 400));
    }
}

/// Starts a deployment whose `upstream_silence` is shorter than the stall of
/// [`stall_all_engines`].
async fn start_with_short_stall_timeout(layout: Layout) -> Deployment {
    let times = TIME_SETTINGS.replace("upstream_silence = 3000", "upstream_silence = 800");
    let deployment = Deployment::start_with(layout, &times, |_, settings| settings).await;
    deployment.roll_out_first_bundle().await;
    deployment
}

/// Slows all engines so far that one step takes longer than three attempts which each end
/// by the stall timeout.
async fn stall_all_engines(deployment: &Deployment) {
    let engines = || (0..deployment.layout.engines).map(|i| deployment.layout.engine_id(i));
    for engine in engines() {
        deployment.platform.inject(Fault::Slow(engine, 900)).await;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    for engine in engines() {
        deployment.platform.inject(Fault::Slow(engine, 1)).await;
    }
}

/// Guards against cutting a stream that only stalls: no other group can take it over, or
/// the one that could stalls as well.
#[rstest]
#[case::one_group(small_layout())]
#[case::two_groups(Layout::default())]
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_without_a_faster_alternative_completes(#[case] layout: Layout) {
    let deployment = start_with_short_stall_timeout(layout).await;
    let mut stream = CompletionStream::open(&deployment.layout.callers(0), "question", 40).await;
    stream.read(3).await;
    stall_all_engines(&deployment).await;
    stream.finish().await;
    assert!(stream.is_complete, "cut after {} of 40 tokens", stream.tokens);
    assert_eq!(stream.text, answer::whole("question", 40));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_that_stalls_completes() {
    let deployment = start_with_short_stall_timeout(small_layout()).await;
    let address = deployment.layout.callers(0);
    let mut stream = CompletionStream::open(&address, "question", 200).await;
    stream.read(3).await;
    let mut resumed = CompletionStream::resume(&address, &stream).await.unwrap();
    resumed.read(10).await;
    stall_all_engines(&deployment).await;
    resumed.finish().await;
    assert!(resumed.is_complete, "cut after {} of 200 tokens", resumed.tokens);
    assert_eq!(resumed.text, answer::whole("question", 200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_sent_to_two_nodes_runs_once_although_the_append_reply_is_lost() {
    let deployment = Deployment::start_serving(small_layout()).await;
    let key = caller::new_idempotency_key();
    deployment.platform.inject(Fault::LoseReplies(1)).await;
    let (first, second) = (deployment.layout.callers(0), deployment.layout.callers(1));
    let both = tokio::join!(book(&first, &key, "one seat"), book(&second, &key, "one seat"));
    let later = book(&deployment.layout.callers(2), &key, "one seat").await.unwrap();
    for answer in [both.0.unwrap(), both.1.unwrap(), later] {
        let says_unknown = answer.body["ran"] == "unknown";
        assert!(answer.status == StatusCode::OK || says_unknown, "{answer:?}");
    }
    assert_eq!(deployment.platform.observed().service_runs.get("one seat"), Some(&1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_at_another_node_gets_the_first_response_and_another_request_is_refused() {
    let deployment = Deployment::start_serving(small_layout()).await;
    let key = caller::new_idempotency_key();
    let first = book(&deployment.layout.callers(0), &key, "gate 4").await.unwrap();
    let again = book(&deployment.layout.callers(1), &key, "gate 4").await.unwrap();
    assert_eq!((first.status, &first.body), (StatusCode::OK, &again.body));
    let other = book(&deployment.layout.callers(1), &key, "gate 5").await.unwrap();
    assert_eq!(other.body["code"], "key_reused");
    assert_eq!(other.body["ran"], "no");
    let runs = deployment.platform.observed().service_runs;
    assert_eq!((runs.get("gate 4"), runs.get("gate 5")), (Some(&1), None));
}

#[tokio::test(flavor = "multi_thread")]
async fn after_the_owner_of_a_key_dies_the_result_is_unknown_and_no_node_runs_it_again() {
    let mut deployment = Deployment::start_serving(small_layout()).await;
    let key = caller::new_idempotency_key();
    book(&deployment.layout.callers(0), &key, "pass 9").await.unwrap();
    deployment.kill(0);
    let again = book(&deployment.layout.callers(1), &key, "pass 9").await.unwrap();
    assert_eq!(again.body["ran"], "unknown");
    deployment.start_entry(0);
    deployment.wait("all nodes are ready", |all| all.iter().all(|status| status.ready)).await;
    let third = book(&deployment.layout.callers(0), &key, "pass 9").await.unwrap();
    assert_eq!(third.body["ran"], "unknown");
    assert_eq!(deployment.platform.observed().service_runs.get("pass 9"), Some(&1));
}

#[tokio::test(flavor = "multi_thread")]
async fn during_a_log_outage_a_booking_is_refused_as_not_run() {
    let deployment = Deployment::start_serving(small_layout()).await;
    deployment.platform.inject(Fault::LogDown(true)).await;
    deployment
        .wait("all nodes report that the log does not answer", |all| {
            all.iter().all(|status| !status.log_answers)
        })
        .await;
    let key = caller::new_idempotency_key();
    let response = book(&deployment.layout.callers(0), &key, "row 3").await.unwrap();
    assert_eq!(response.body["code"], "log_unavailable");
    assert_eq!(response.body["ran"], "no");
    assert!(response.retry_after.is_some(), "a Retry-After header");
    deployment.platform.inject(Fault::LogDown(false)).await;
    deployment
        .wait("all nodes report that the log answers", |all| {
            all.iter().all(|status| status.log_answers)
        })
        .await;
    assert_eq!(deployment.platform.observed().service_runs.get("row 3"), None);
    let ran = book(&deployment.layout.callers(0), &key, "row 3").await.unwrap();
    assert_eq!(ran.status, StatusCode::OK);
    assert_eq!(deployment.platform.observed().service_runs.get("row 3"), Some(&1));
}

#[tokio::test(flavor = "multi_thread")]
async fn no_team_reads_or_cancels_the_stream_of_another() {
    let deployment = Deployment::start_serving(small_layout()).await;
    let address = deployment.layout.callers(0);
    let mut stream = CompletionStream::open(&address, "our secret", 60).await;
    stream.read(2).await;
    for method in [Method::GET, Method::DELETE] {
        let path = format!("/v1/requests/{}", stream.id);
        let headers = [("workshold-team", "shuttle")];
        let req = hyper::Request::builder().method(method).uri(path).header("host", &address);
        let req = headers.iter().fold(req, |req, (name, value)| req.header(*name, *value));
        let req = req.body(workshold_http::body::full("")).unwrap();
        let connected = workshold_http::client::connect(&address, Duration::from_secs(5)).await;
        let sent = connected.unwrap().send(req, Duration::from_secs(5)).await;
        assert_eq!(sent.unwrap().0.status(), StatusCode::NOT_FOUND);
    }
    stream.finish().await;
    assert_eq!(stream.text, answer::whole("our secret", 60));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_an_error_and_other_streams_go_on() {
    let deployment = Deployment::start_serving(small_layout()).await;
    let address = deployment.layout.callers(0);
    let mut neighbour = CompletionStream::open(&address, "neighbour", 100).await;
    neighbour.read(1).await;
    let long = "x".repeat(2 * 1024 * 1024);
    let completions = "/v1/completions";
    let good = r#"{"model":"assistant","prompt":"p"}"#;
    type Case<'a> = (Method, &'a str, Vec<(&'a str, &'a str)>, &'a str, u16, &'a str);
    let cases: Vec<Case<'_>> = vec![
        (Method::POST, completions, vec![], "", 400, "bad_request"),
        (Method::POST, completions, vec![], "{", 400, "bad_request"),
        (Method::POST, completions, vec![], r#"{"model":"assistant"}"#, 400, "bad_request"),
        (Method::POST, completions, vec![], r#"{"model":"none","prompt":"p"}"#, 404, "not_found"),
        (Method::POST, completions, vec![], &long, 413, "too_large"),
        (
            Method::POST,
            completions,
            vec![("workshold-deadline-ms", "soon")],
            good,
            400,
            "bad_request",
        ),
        (Method::POST, completions, vec![("workshold-deadline-ms", "0")], good, 400, "bad_request"),
        (Method::POST, completions, vec![("workshold-priority", "top")], good, 400, "bad_request"),
        (
            Method::POST,
            completions,
            vec![("authorization", "Bearer no")],
            good,
            401,
            "unauthorized",
        ),
        (Method::GET, completions, vec![], "", 405, "method_not_allowed"),
        (Method::GET, "/nowhere", vec![], "", 404, "not_found"),
        (Method::GET, "/v1/requests/none", vec![], "", 404, "not_found"),
        (Method::POST, "/gate/rebook", vec![], "{}", 400, "key_required"),
        (Method::POST, "/gate/rebook", vec![("idempotency-key", "7")], "{}", 400, "bad_request"),
    ];
    for (method, path, headers, bytes, status, code) in cases {
        let answer =
            send_request(&address, method, path, &headers, bytes.to_owned()).await.unwrap();
        let got = (answer.status.as_u16(), answer.body["code"].as_str());
        assert_eq!(got, (status, Some(code)), "{path} {headers:?}");
        assert_eq!(answer.body["ran"], "no", "{path} {headers:?}");
    }
    neighbour.finish().await;
    assert_eq!(neighbour.text, answer::whole("neighbour", 100));
}
