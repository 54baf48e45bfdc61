//! Completion requests whose answers have a known text.

use mangofront_prompt::Endpoint;
use mangofront_standin::answer;
use serde_json::{Value, json};

pub const COMPLETIONS: &str = "/v1/completions";

/// Body of a completion request. Each `name` gets a different answer.
pub fn completion_body(name: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": "assist-llm",
        "prompt": format!("Copier {name} shows E-045 after a paper jam in tray 2. What first?"),
        "max_tokens": max_tokens,
        "stream": stream
    })
}

/// The text with which the emulated engine answers `body`.
pub fn expected_text(endpoint: Endpoint, body: &Value) -> String {
    let prompt = mangofront_prompt::parse(endpoint, body.to_string().as_bytes());
    let prompt = prompt.expect("the body is a request");
    answer::text(prompt.digest, prompt.max_tokens)
}

/// The text of the answer to a [`completion_body`].
pub fn answer_text(body: &Value) -> String {
    expected_text(Endpoint::Completions, body)
}
