//! `workshold-dev fault`: injects a fault into running stand-ins.

use std::time::Duration;

use hyper::Method;
use workshold_http::client;

use crate::Layout;
use crate::faults::Fault;

/// Sends the fault, given as JSON.
///
/// # Errors
///
/// If the text is not a valid fault, or the stand-ins do not answer.
pub async fn run(layout: &Layout, text: &str) -> Result<(), String> {
    let fault: Fault = serde_json::from_str(text).map_err(|err| err.to_string())?;
    let sent: Result<serde_json::Value, _> =
        client::call(&layout.control(), Method::POST, "/faults", Some(&fault), REQUEST_TIMEOUT)
            .await;
    sent.map(|_| ()).map_err(|err| err.to_string())
}

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
