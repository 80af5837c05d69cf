//! `workshold-dev sample`: measures the resource use and rates of one entry node.

use std::time::Duration;

use serde_json::Value;
use workshold_http::client;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Sample {
    cpu_ticks: f64,
    counts: Value,
    memory_kib: u64,
}

/// Samples process `pid`, whose address for operators is `operators`, twice, `secs` seconds apart,
/// and prints CPU use, memory and rates as JSON.
///
/// # Errors
///
/// If the process or the node does not answer.
#[expect(clippy::print_stdout, reason = "this is where a command prints")]
pub async fn run(pid: u32, operators: &str, secs: u64) -> Result<(), String> {
    let before = sample(pid, operators).await?;
    tokio::time::sleep(Duration::from_secs(secs)).await;
    let after = sample(pid, operators).await?;
    let per_s = |name: &str| {
        let value = |sample: &Sample| sample.counts[name].as_f64().unwrap_or_default();
        (value(&after) - value(&before)) / secs as f64
    };
    let cpu = (after.cpu_ticks - before.cpu_ticks) / TICKS_PER_S / secs as f64;
    let row = serde_json::json!({
        "core_percent": (cpu * 1000.0).round() / 10.0,
        "memory_kib": after.memory_kib,
        "control_sent_per_s": per_s("control_sent").round(),
        "control_received_per_s": per_s("control_received").round(),
        "requests_per_s": per_s("requests"),
        "tokens_per_s": per_s("tokens").round(),
        "probes_per_s": per_s("probes"),
        "questions_per_s": per_s("questions"),
    });
    println!("{row}");
    Ok(())
}

async fn sample(pid: u32, operators: &str) -> Result<Sample, String> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).map_err(|e| e.to_string())?;
    // The name in brackets may contain spaces. Of the fields after it, user and system time are the
    // 12th and 13th.
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or_default();
    let state: Value =
        client::get(operators, "/debug/state", REQUEST_TIMEOUT).await.map_err(|e| e.to_string())?;
    Ok(Sample {
        cpu_ticks: ticks(11) + ticks(12),
        counts: state["counts"].clone(),
        memory_kib: state["memory_kib"].as_u64().unwrap_or_default(),
    })
}
