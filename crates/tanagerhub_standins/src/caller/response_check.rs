//! Checks that a response is the one to its request.

use serde_json::Value;

use crate::Verdict;

/// What a caller expects of a successful response.
#[derive(Debug)]
pub(super) enum ResponseCheck {
    /// A chat completion with this text, as one JSON document.
    Chat(String),
    /// A chat completion with this text, as server-sent events.
    EventStream(String),
    /// The booking with this id.
    Booking(String),
    /// A list of items.
    Items,
}

impl ResponseCheck {
    /// Returns the verdict on a body and its text or error; `complete` is false when the body is
    /// truncated.
    pub(super) fn check(&self, body: &[u8], complete: bool) -> (Verdict, String) {
        let text = String::from_utf8_lossy(body);
        match self {
            Self::EventStream(expected) => StreamContent::read(&text).check(expected, complete),
            _ if !complete => (Verdict::Truncated, text.into_owned()),
            Self::Chat(expected) => {
                let field = field(&text, "/choices/0/message/content");
                (verdict(field == *expected), field)
            }
            Self::Booking(id) => {
                let field = field(&text, "/id");
                (verdict(field == *id), field)
            }
            Self::Items => (verdict(text.contains("items")), text.into_owned()),
        }
    }
}

const fn verdict(matches: bool) -> Verdict {
    if matches {
        Verdict::Complete
    } else {
        Verdict::Wrong
    }
}

fn field(text: &str, path: &str) -> String {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let field = value.pointer(path).and_then(Value::as_str);
    field.unwrap_or_default().to_owned()
}

/// The content of a stream of server-sent events.
#[derive(Debug, Default)]
struct StreamContent {
    text: String,
    done: bool,
    error: Option<String>,
}

impl StreamContent {
    fn read(stream: &str) -> Self {
        let mut content = Self::default();
        let lines = stream.lines().filter_map(|line| line.strip_prefix("data:"));
        for data in lines.map(str::trim) {
            content.apply(data);
        }
        content
    }

    fn apply(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        // The last event of a truncated stream may be truncated too.
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return;
        };
        if let Some(error) = event.get("error") {
            self.error = Some(error.to_string());
        }
        let content = event.pointer("/choices/0/delta/content");
        if let Some(content) = content.and_then(Value::as_str) {
            self.text += content;
        }
    }

    /// Returns the verdict; the text of a truncated stream must still be a prefix of the expected
    /// text.
    fn check(self, expected: &str, complete: bool) -> (Verdict, String) {
        if !expected.starts_with(&self.text) {
            return (Verdict::Wrong, self.text);
        }
        if let Some(error) = self.error {
            return (Verdict::Truncated, error);
        }
        let matches = self.done && self.text == expected;
        match (matches, complete) {
            (_, false) => (Verdict::Truncated, self.text),
            (true, true) => (Verdict::Complete, self.text),
            (false, true) => (Verdict::Wrong, self.text),
        }
    }
}
