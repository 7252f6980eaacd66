//! The text of a streamed answer so far.

use serde::Deserialize;

/// The text that an engine needs to go on with an answer that was cut.
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
    /// Takes in whole events that were passed on.
    pub(super) fn push(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            if let Some(data) = line.strip_prefix(b"data:") {
                self.push_event(data);
            }
        }
    }

    /// The text so far.
    pub(super) fn as_str(&self) -> &str {
        &self.0
    }

    /// Takes in one event; the final one is no JSON and has no text.
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
