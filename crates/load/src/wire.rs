//! JSON formats of the answers that the tool parses.

use mangofront_http::ErrorDetail;
use serde::Deserialize;

/// Event or body in the format of a daemon or of an engine.
#[derive(Deserialize)]
pub(crate) struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    pub(crate) error: Option<ErrorDetail>,
    pub(crate) offset: Option<u32>,
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Message>,
    message: Option<Message>,
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Message {
    content: Option<String>,
}

/// Answer of an emulated service.
#[derive(Deserialize)]
pub(crate) struct ServiceAnswer {
    pub(crate) executions: u64,
}

impl Chunk {
    /// Returns the text and finish reason from the fields that the format uses.
    pub(crate) fn text_and_finish(&self) -> (Option<&str>, Option<&str>) {
        let Some(choice) = self.choices.first() else {
            return (self.text.as_deref(), self.finish_reason.as_deref());
        };
        let message = choice.delta.as_ref().or(choice.message.as_ref());
        let content = message.and_then(|message| message.content.as_deref());
        let text = content.or(choice.text.as_deref());
        (text, choice.finish_reason.as_deref())
    }
}
