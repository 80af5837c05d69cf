//! The OpenAI-style endpoints `/v1/completions` and `/v1/chat/completions`.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use workshold_core::lifecycle::Repeatability;
use workshold_core::prefix::PrefixChain;
use workshold_http::Body;
use workshold_http::body;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::ids::AdapterName;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::TeamName;
use workshold_protocol::peer::StoredResponse;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;

use crate::callers::at_most_once;
use crate::callers::authentication;
use crate::callers::check_ready;
use crate::callers::generation;
use crate::callers::generation::GenerationJob;
use crate::callers::generation::ResponsePart;
use crate::callers::headers::REQUEST_ID;
use crate::callers::headers::RequestOptions;
use crate::callers::problems;
use crate::callers::read_body;
use crate::callers::sse;
use crate::key_table::problem_response;
use crate::node::Node;

/// The format of requests and answers; each endpoint has its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionFormat {
    /// `/v1/completions`: a prompt, answered with text.
    Text,
    /// `/v1/chat/completions`: a list of messages, answered with a message.
    Chat,
}

impl CompletionFormat {
    /// The `object` field of a streamed chunk.
    pub const fn chunk_object(self) -> &'static str {
        match self {
            Self::Text => "text_completion",
            Self::Chat => "chat.completion.chunk",
        }
    }

    /// The `object` field of an answer that is not streamed.
    pub const fn whole_object(self) -> &'static str {
        match self {
            Self::Text => "text_completion",
            Self::Chat => "chat.completion",
        }
    }
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<MessageBody>>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct MessageBody {
    role: String,
    content: String,
}

/// The limit on generated tokens if the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Parts of an answer that are buffered for a caller who reads slowly.
const PART_BUFFER_LEN: usize = 64;

/// Serves one completion request in the given format.
///
/// # Errors
///
/// The problem to answer with if nothing was generated.
pub async fn handle(
    node: &Arc<Node>,
    req: Request<Incoming>,
    format: CompletionFormat,
) -> Result<Response<Body>, Problem> {
    check_ready(node)?;
    let bundle =
        node.bundle().ok_or_else(|| Problem::not_run(ProblemCode::NotReady, "no bundle"))?;
    let team = authentication::find_team(req.headers(), &bundle)?;
    let options = RequestOptions::read(req.headers(), &node.settings.times)?;
    let bytes = read_body(node, req.into_body()).await?;
    let completion = parse(&bytes)?;
    let is_stream = completion.stream;
    let job = make_job(node, &bundle, team, &options, completion, format)?;
    if let Some(key) = options.idempotency_key {
        return run_at_most_once(node, job, &key, &bytes, is_stream).await;
    }
    check_limits(node, &bundle, &job)?;
    if is_stream { respond_streamed(node, job).await } else { Ok(respond_whole(node, job).await) }
}

fn parse(bytes: &[u8]) -> Result<CompletionBody, Problem> {
    serde_json::from_slice(bytes)
        .map_err(|err| Problem::not_run(ProblemCode::BadRequest, format!("the body: {err}")))
}

fn make_job(
    node: &Node,
    bundle: &Bundle,
    team: TeamName,
    options: &RequestOptions,
    completion: CompletionBody,
    format: CompletionFormat,
) -> Result<GenerationJob, Problem> {
    let (model, adapter) = find_model(bundle, &completion.model)?;
    let prompt = build_prompt(format, completion.prompt, completion.messages)?;
    let max_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let limit = node.settings.bounds.max_tokens;
    if max_tokens == 0 || max_tokens > limit {
        let why = format!("max_tokens must be 1 to {limit}");
        return Err(Problem::not_run(ProblemCode::BadRequest, why));
    }
    let mut chain = PrefixChain::of(model.as_str(), &prompt);
    if let Some(session) = options.session.as_ref().filter(|_| chain.hashes().is_empty()) {
        chain = PrefixChain::of_session(model.as_str(), session);
    }
    let share = bundle.teams.get(&team).map_or(1.0, |team| team.share);
    Ok(GenerationJob {
        team,
        share,
        model,
        adapter,
        prompt,
        chain: Arc::new(chain),
        max_tokens,
        priority: options.priority,
        deadline: node.now() + options.time_limit,
        repeatability: Repeatability::Repeatable,
        format,
    })
}

/// Parses `model` or `model:adapter` and checks that the bundle has both.
fn find_model(bundle: &Bundle, wanted: &str) -> Result<(ModelName, Option<AdapterName>), Problem> {
    let unknown = || Problem::not_run(ProblemCode::NotFound, "there is no such model or adapter");
    let (name, adapter) = match wanted.split_once(':') {
        Some((name, adapter)) => (name, Some(AdapterName::new(adapter).map_err(|_| unknown())?)),
        None => (wanted, None),
    };
    let name = ModelName::new(name).map_err(|_| unknown())?;
    let model = bundle.models.get(&name).ok_or_else(unknown)?;
    if adapter.as_ref().is_some_and(|adapter| !model.adapters.contains(adapter)) {
        return Err(unknown());
    }
    Ok((name, adapter))
}

/// Builds the prompt; chat messages become one line each, `role: content`.
fn build_prompt(
    format: CompletionFormat,
    prompt: Option<String>,
    messages: Option<Vec<MessageBody>>,
) -> Result<String, Problem> {
    let bad = |why: &str| Problem::not_run(ProblemCode::BadRequest, why);
    let text = match format {
        CompletionFormat::Text => prompt.ok_or_else(|| bad("prompt is missing"))?,
        CompletionFormat::Chat => {
            let messages = messages.ok_or_else(|| bad("messages are missing"))?;
            let lines = messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
            lines.collect()
        }
    };
    if text.is_empty() { Err(bad("the prompt is empty")) } else { Ok(text) }
}

/// Charges the request to its team's rate limits.
fn check_limits(node: &Node, bundle: &Bundle, job: &GenerationJob) -> Result<(), Problem> {
    let now = node.now();
    let taken = node.with_team_limits(&job.team, bundle, |limits| {
        // Tokens are charged after they were generated, so the bucket may be negative;
        // a team must wait until it has recovered.
        limits.tokens.take(0.0, now)?;
        limits.requests.take(1.0, now)
    });
    match taken {
        Some(Err(over_limit)) => {
            let detail = format!("team {} is over its allowance", job.team);
            Err(Problem::not_run(ProblemCode::TeamLimit, detail)
                .retry_after(over_limit.retry_after))
        }
        Some(Ok(())) | None => Ok(()),
    }
}

/// Answers with a stream of server-sent events.
async fn respond_streamed(node: &Arc<Node>, job: GenerationJob) -> Result<Response<Body>, Problem> {
    let (format, model) = (job.format, job.model.clone());
    let mut rx = start_generation(node, job);
    let mut id = String::new();
    // The response's head is sent only with the first token, so that a request which
    // fails before it gets the status code of the failure.
    let first = loop {
        match rx.recv().await {
            Some(ResponsePart::RequestId(new_id)) => id = new_id,
            Some(ResponsePart::Problem(problem)) => return Err(problem),
            Some(part) => break part,
            None => {
                return Err(Problem::may_have_run(
                    ProblemCode::UpstreamFailed,
                    "the stream broke off",
                ));
            }
        }
    };
    let parts = stream::iter([first]).chain(ReceiverStream::new(rx));
    let events = parts.map(move |part| encode_part(format, model.as_str(), part));
    let mut res = Response::new(body::stream(events));
    let headers = res.headers_mut();
    headers.insert(hyper::header::CONTENT_TYPE, HeaderValue::from_static(sse::EVENT_STREAM));
    set_request_id(headers, &id);
    Ok(res)
}

pub(super) fn encode_part(format: CompletionFormat, model: &str, part: ResponsePart) -> Bytes {
    match part {
        ResponsePart::RequestId(id) => sse::request_id(&id),
        ResponsePart::Token { index, text } => sse::token(format, model, index, &text),
        ResponsePart::Done { tokens } => sse::done(format, model, tokens),
        ResponsePart::Problem(problem) => sse::problem(&problem),
    }
}

pub(super) fn set_request_id(headers: &mut hyper::HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, value);
    }
}

fn start_generation(node: &Arc<Node>, job: GenerationJob) -> mpsc::Receiver<ResponsePart> {
    let (tx, rx) = mpsc::channel(PART_BUFFER_LEN);
    tokio::spawn(generation::run(Arc::clone(node), job, tx));
    rx
}

/// Answers with the complete text once it is generated.
async fn respond_whole(node: &Arc<Node>, job: GenerationJob) -> Response<Body> {
    let (answer, id) = collect(node, job).await;
    let mut res = problems::stored_response(&answer);
    set_request_id(res.headers_mut(), &id);
    if answer.status == StatusCode::OK.as_u16() {
        return res;
    }
    match serde_json::from_slice::<Problem>(&answer.body) {
        Ok(problem) => problems::response(&problem),
        Err(_) => res,
    }
}

/// Runs the job to its end. Returns the complete answer, or the problem as a response,
/// and the request id.
async fn collect(node: &Arc<Node>, job: GenerationJob) -> (StoredResponse, String) {
    let (format, model) = (job.format, job.model.clone());
    let mut rx = start_generation(node, job);
    let mut text = String::new();
    let mut id = String::new();
    while let Some(part) = rx.recv().await {
        match part {
            ResponsePart::RequestId(new_id) => id = new_id,
            ResponsePart::Token { text: token, .. } => text.push_str(&token),
            ResponsePart::Problem(problem) => return (problem_response(&problem), id),
            ResponsePart::Done { tokens } => {
                let body = sse::whole(format, model.as_str(), &id, &text, tokens);
                let content_type = "application/json".to_owned();
                return (StoredResponse { status: 200, content_type, body }, id);
            }
        }
    }
    let problem = Problem::may_have_run(ProblemCode::UpstreamFailed, "the stream broke off");
    (problem_response(&problem), id)
}

/// Serves a completion with an idempotency key: it runs at most once and is not streamed.
async fn run_at_most_once(
    node: &Arc<Node>,
    mut job: GenerationJob,
    key: &str,
    bytes: &[u8],
    is_stream: bool,
) -> Result<Response<Body>, Problem> {
    if is_stream {
        let why = "a completion under an idempotency key is answered whole: set stream to false";
        return Err(Problem::not_run(ProblemCode::BadRequest, why));
    }
    job.repeatability = Repeatability::AtMostOnce;
    let keyed = at_most_once::KeyedRequest {
        team: job.team.clone(),
        key: key.to_owned(),
        digest: at_most_once::digest(&[b"completion", bytes]),
        deadline: job.deadline,
    };
    let runner = Arc::clone(node);
    let answer = at_most_once::run(node, keyed, move || async move {
        if let Some(bundle) = runner.bundle() {
            check_limits(&runner, &bundle, &job).map_err(|problem| problem_response(&problem))?;
        }
        Ok(collect(&runner, job).await.0)
    });
    Ok(answer.await)
}
