//! The text generated so far in a streamed response.

use serde::Deserialize;

/// The text that another engine needs to resume an interrupted stream.
#[derive(Debug, Default)]
pub(super) struct GeneratedText(String);

#[derive(Deserialize)]
struct Event<'a> {
    #[serde(borrow)]
    choices: Vec<Choice<'a>>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    text: Option<std::borrow::Cow<'a, str>>,
    #[serde(borrow, default)]
    delta: Option<Delta<'a>>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<std::borrow::Cow<'a, str>>,
}

impl GeneratedText {
    /// Appends the text of complete events that were forwarded to the caller.
    pub(super) fn push(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            if let Some(data) = line.strip_prefix(b"data:") {
                self.push_event(data);
            }
        }
    }

    /// Returns the text so far.
    pub(super) fn as_str(&self) -> &str {
        &self.0
    }

    /// Appends the text of one event; the final event is not JSON and has no text.
    fn push_event(&mut self, data: &[u8]) {
        let Ok(event) = serde_json::from_slice::<Event<'_>>(data) else {
            return;
        };
        let Some(choice) = event.choices.into_iter().next() else {
            return;
        };
        let text = choice
            .text
            .or_else(|| choice.delta.and_then(|delta| delta.content));
        self.0.push_str(&text.unwrap_or_default());
    }
}
