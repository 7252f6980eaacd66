//! The encoding of values that nodes of different builds share, and the rule for extending one.
//!
//! A value is its content in bincode, which names no fields, followed by any number of sections: a
//! tag of one byte, a length and as many bytes. The content of a format never changes. A new fact
//! of a format is a new section with a tag that the format has not used before; readers skip
//! sections whose tags they don't know, and a value without a section has the meaning that it had
//! before.
//!
//! Commit 1edf371 accepts no sections in rows. So a build may write a section only once the line
//! `production` of `deploy/system.toml` names a build whose nodes skip sections, since nodes of
//! that build run beside it. A fact that can't wait for that goes into a row or message of its own,
//! which older builds ignore.

use bincode::config::standard;
use bincode::serde::{decode_from_slice, encode_to_vec};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest value that is decoded, in bytes. Without a limit a length that the value doesn't have
/// is allocated before its content is read.
const MAX_VALUE_BYTES: usize = 16 << 20;

/// A value that is not encoded as this module says.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The content can't be decoded.
    #[error("invalid content: {0}")]
    Content(String),
    /// The bytes after the content are no sections.
    #[error("invalid sections: {0}")]
    Sections(String),
}

/// The facts that were added to a format, by tag.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Sections(Vec<(u8, Vec<u8>)>);

impl Sections {
    /// Adds a section.
    ///
    /// # Panics
    ///
    /// Never: all content can be encoded.
    #[must_use]
    pub fn with<T: Serialize>(mut self, tag: u8, content: &T) -> Self {
        let bytes = encode_to_vec(content, standard()).expect("plain data can always be encoded");
        self.0.push((tag, bytes));
        self
    }

    /// Returns the content of a section; `None` if there is no section with this tag, or only one
    /// that can't be decoded.
    #[must_use]
    pub fn get<T: DeserializeOwned>(&self, tag: u8) -> Option<T> {
        let (_, bytes) = self.0.iter().find(|(known, _)| *known == tag)?;
        let (content, used) = decode_bounded(bytes).ok()?;
        (used == bytes.len()).then_some(content)
    }
}

/// Encodes a value with its sections.
///
/// # Panics
///
/// Never: all values can be encoded.
///
/// # Examples
///
/// ```
/// use tanagerhub_table::{Sections, decode_value, encode_value};
///
/// let bytes = encode_value(&("content", 7_u8), &Sections::default().with(1, &"added later"));
/// // A reader that knows no sections skips them.
/// let ((text, number), sections) = decode_value::<(String, u8)>(&bytes)?;
/// assert_eq!((text.as_str(), number), ("content", 7));
/// assert_eq!(sections.get::<String>(1).as_deref(), Some("added later"));
/// # Ok::<(), tanagerhub_table::DecodeError>(())
/// ```
#[must_use]
pub fn encode_value<T: Serialize>(content: &T, sections: &Sections) -> Vec<u8> {
    let mut value = encode_to_vec(content, standard()).expect("plain data can always be encoded");
    for section in &sections.0 {
        let section = encode_to_vec(section, standard());
        value.extend(section.expect("bytes can always be encoded"));
    }
    value
}

/// Decodes a value and its sections.
///
/// # Errors
///
/// Returns why the bytes are no such value.
pub fn decode_value<T: DeserializeOwned>(value: &[u8]) -> Result<(T, Sections), DecodeError> {
    let content_error =
        |error: bincode::error::DecodeError| DecodeError::Content(error.to_string());
    let (content, used) = decode_bounded(value).map_err(content_error)?;
    let mut sections = Sections::default();
    let mut rest = &value[used..];
    while !rest.is_empty() {
        let (section, used) =
            decode_bounded(rest).map_err(|error| DecodeError::Sections(error.to_string()))?;
        sections.0.push(section);
        rest = &rest[used..];
    }
    Ok((content, sections))
}

/// Decodes content at the start of `bytes`. Returns it with its length.
fn decode_bounded<T: DeserializeOwned>(
    bytes: &[u8],
) -> Result<(T, usize), bincode::error::DecodeError> {
    decode_from_slice(bytes, standard().with_limit::<MAX_VALUE_BYTES>())
}
