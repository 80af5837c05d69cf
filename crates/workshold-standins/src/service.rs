//! A plain service that counts how often it ran each request body.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use parking_lot::Mutex;
use workshold_http::Body;
use workshold_http::body;

/// The service; its instances share these counters, as they would share a database.
#[derive(Debug, Default)]
pub struct CountingService {
    runs: Mutex<BTreeMap<String, u32>>,
}

const BODY_LEN_MAX: usize = 1024 * 1024;
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Duration of one run.
const RUN_DURATION: Duration = Duration::from_millis(10);

impl CountingService {
    /// Creates a service without any runs.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Number of runs of each request body.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().clone()
    }

    /// Runs a request; the answer contains the number of runs of this body so far.
    pub async fn handle(&self, req: Request<Incoming>) -> Option<Response<Body>> {
        let path = req.uri().path().to_owned();
        let bytes = body::read(req.into_body(), BODY_LEN_MAX, BODY_READ_TIMEOUT).await.ok()?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let run = {
            let mut runs = self.runs.lock();
            let count = runs.entry(text.clone()).or_default();
            *count += 1;
            *count
        };
        tokio::time::sleep(RUN_DURATION).await;
        let answer = serde_json::json!({ "path": path, "echo": text, "run": run });
        Some(body::json(StatusCode::OK, &answer))
    }
}
