//! Encodes completions in the format of OpenAI-style clients: server-sent events for
//! streams, one JSON document for whole answers.

use bytes::Bytes;
use serde::Serialize;
use workshold_protocol::problem::Problem;

use crate::callers::completions::CompletionFormat;

/// The media type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";

#[derive(Debug, Serialize)]
struct Chunk<'a> {
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(flatten)]
    content: Content<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Content<'a> {
    Text(&'a str),
    Delta(ChatMessage<'a>),
    Message(ChatMessage<'a>),
}

#[derive(Debug, Serialize)]
struct ChatMessage<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}

const ASSISTANT: &str = "assistant";

/// Encodes the event of one token. The event's id is the token's index, for clients that
/// resume the stream.
pub fn token(format: CompletionFormat, model: &str, index: u32, text: &str) -> Bytes {
    let content = match format {
        CompletionFormat::Text => Content::Text(text),
        CompletionFormat::Chat => Content::Delta(ChatMessage { role: ASSISTANT, content: text }),
    };
    event(index, format, model, content, None)
}

/// Encodes the two events that end a complete answer of `tokens` tokens: a chunk with a
/// finish reason, and `[DONE]`.
pub fn done(format: CompletionFormat, model: &str, tokens: u32) -> Bytes {
    let content = match format {
        CompletionFormat::Text => Content::Text(""),
        CompletionFormat::Chat => Content::Delta(ChatMessage { role: ASSISTANT, content: "" }),
    };
    let mut bytes = event(tokens, format, model, content, Some("stop")).to_vec();
    bytes.extend_from_slice(b"data: [DONE]\n\n");
    bytes.into()
}

fn event(
    id: u32,
    format: CompletionFormat,
    model: &str,
    content: Content<'_>,
    finish_reason: Option<&'static str>,
) -> Bytes {
    let object = format.chunk_object();
    let chunk = Chunk { object, model, choices: [Choice { index: 0, content, finish_reason }] };
    let mut bytes = format!("id: {id}\ndata: ").into_bytes();
    serde_json::to_writer(&mut bytes, &chunk).expect("a chunk serializes to JSON");
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}

/// Encodes a comment line with the id by which the stream can be resumed from now on.
/// Clients that do not know it ignore it.
pub fn request_id(id: &str) -> Bytes {
    format!(": request-id {id}\n\n").into()
}

/// Encodes the event that ends a stream which cannot be completed.
pub fn problem(problem: &Problem) -> Bytes {
    let text = serde_json::to_string(problem).expect("a problem serializes to JSON");
    format!("event: error\ndata: {text}\n\n").into()
}

/// Encodes a complete answer for a request that is not streamed.
pub fn whole(format: CompletionFormat, model: &str, id: &str, text: &str, tokens: u32) -> Vec<u8> {
    let content = match format {
        CompletionFormat::Text => Content::Text(text),
        CompletionFormat::Chat => Content::Message(ChatMessage { role: ASSISTANT, content: text }),
    };
    let choices = [Choice { index: 0, content, finish_reason: Some("stop") }];
    let usage = Usage { completion_tokens: tokens };
    let whole = Completion { id, object: format.whole_object(), model, choices, usage };
    serde_json::to_vec(&whole).expect("a completion serializes to JSON")
}
