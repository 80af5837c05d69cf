//! `workshold-dev compare`: compares requests sent directly to an engine and through an entry node.

use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use workshold_http::client;
use workshold_protocol::Millis;
use workshold_protocol::engine::GenerateRequest;
use workshold_protocol::ids::FencingToken;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::ModelName;

use crate::Layout;
use crate::load;
use crate::load::EntryList;
use crate::load::Load;
use crate::load::Request;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const HUNDREDTHS_PER_MS: f64 = 100.0;

/// Sends `pairs` requests each way, alternating, and prints percentiles and their ratios.
///
/// # Errors
///
/// If the deployment does not answer, no group serves, or an answer is wrong.
#[expect(clippy::print_stdout, reason = "this is where a command prints")]
pub async fn run(layout: &Layout, pairs: u32, tokens: u32) -> Result<(), String> {
    let (engine, mut generate) = find_serving_group(layout).await?;
    let load = Arc::new(Load {
        entries: vec![layout.callers(0)],
        model: generate.model.to_string(),
        team: Some("travel".to_owned()),
        rate: 1.0,
        time: Millis(1),
        tokens: (tokens, tokens),
        prefixes: 1,
        deadline: Millis::from_secs(30),
        seed: 1,
    });
    let entries = EntryList::new(load.entries.clone());
    let histogram = || Histogram::<u64>::new(3).expect("three digits are allowed");
    let (mut direct, mut via_node) = (histogram(), histogram());
    for n in 0..pairs {
        let request = Request { prompt: format!("pair {n}"), tokens };
        generate.prompt.clone_from(&request.prompt);
        generate.max_tokens = tokens;
        let direct_end = load::call_engine(&engine, generate.clone()).await;
        let via_node_end = load::call(Arc::clone(&load), Arc::clone(&entries), request).await;
        if !direct_end.is_right || !via_node_end.is_right {
            return Err(format!(
                "pair {n} was not answered right: {direct_end:?} {via_node_end:?}"
            ));
        }
        let hundredths = |first: Option<Duration>| {
            (first.unwrap_or_default().as_secs_f64() * 1000.0 * HUNDREDTHS_PER_MS) as u64
        };
        let _ = direct.record(hundredths(direct_end.first_token));
        let _ = via_node.record(hundredths(via_node_end.first_token));
    }
    let row =
        |h: &Histogram<u64>| [0.5, 0.99].map(|q| h.value_at_quantile(q) as f64 / HUNDREDTHS_PER_MS);
    let (direct, via_node) = (row(&direct), row(&via_node));
    let ratio = [via_node[0] / direct[0], via_node[1] / direct[1]];
    let printed = serde_json::json!({
        "pairs": pairs,
        "direct_first_token_ms_p50_p99": direct,
        "through_a_node_first_token_ms_p50_p99": via_node,
        "ratio_p50_p99": ratio,
    });
    println!("{printed}");
    Ok(())
}

/// Returns the address of the head of a serving group, and a request for that group.
async fn find_serving_group(layout: &Layout) -> Result<(String, GenerateRequest), String> {
    let status: Value = client::get(&layout.operators(0), "/status", REQUEST_TIMEOUT)
        .await
        .map_err(|err| err.to_string())?;
    let groups = status["groups"].as_array().map(Vec::as_slice).unwrap_or_default();
    let group = groups.iter().find(|group| group["serving"] == true);
    let group = group.ok_or("no group serves")?;
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let head = text(&group["members"][0]);
    let address = (0..layout.engines)
        .find(|i| layout.engine_id(*i).as_str() == head)
        .map(|i| layout.engine(i));
    let name = |err: workshold_protocol::Error| err.to_string();
    let generate = GenerateRequest {
        stream: String::new(),
        group: GroupId::new(&text(&group["group"])).map_err(name)?,
        fence: FencingToken(group["fence"].as_u64().unwrap_or_default()),
        model: ModelName::new(&text(&group["model"])).map_err(name)?,
        adapter: None,
        prompt: String::new(),
        generated: Vec::new(),
        max_tokens: 1,
        priority: 1,
    };
    Ok((address.ok_or("the head is not listed")?, generate))
}
