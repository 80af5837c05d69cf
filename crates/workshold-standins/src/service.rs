//! A plain service that counts how often each body was run.

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

/// All instances of the service share what they ran, as a database would.
#[derive(Debug, Default)]
pub struct CountingService {
    runs: Mutex<BTreeMap<String, u32>>,
}

const BODY_LEN_MAX: usize = 1024 * 1024;
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a run takes.
const RUN_DURATION: Duration = Duration::from_millis(10);

impl CountingService {
    /// A service that ran nothing yet.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Runs of each body.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().clone()
    }

    /// Runs a request; the answer says which run of this body it was.
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
