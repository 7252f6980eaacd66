//! Values are extended by sections that other builds skip.

use serde::{Deserialize, Serialize};
use tanagerhub_table::{DecodeError, Sections, decode_value, encode_value};
use yare::parameterized;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Content {
    name: String,
    count: u64,
}

fn content() -> Content {
    Content {
        name: "n".into(),
        count: 300,
    }
}

/// The bytes of the content are those of commit 1edf371, which knows no sections.
const CONTENT: &[u8] = b"\x01n\xfb\x2c\x01";

#[test]
fn value_without_sections() {
    assert_eq!(encode_value(&content(), &Sections::default()), CONTENT);
    assert_eq!(decode_value(CONTENT), Ok((content(), Sections::default())));
}

/// A build that knows fewer sections must read the rest of the value.
#[test]
fn unknown_sections_skipped() {
    let sections = Sections::default().with(1, &7_u8).with(200, &"new");
    let value = encode_value(&content(), &sections);
    assert_eq!(value, [CONTENT, b"\x01\x01\x07\xc8\x04\x03new"].concat());
    let (decoded, sections) = decode_value::<Content>(&value).unwrap();
    assert_eq!(decoded, content());
    assert_eq!(sections.get(1), Some(7_u8));
    assert_eq!(sections.get(200), Some("new".to_owned()));
    assert_eq!(sections.get::<u8>(2), None);
    assert_eq!(sections.get::<u64>(200), None);
}

/// A damaged value must not be read as a sound one.
#[parameterized(
    tag_only = { b"\x01" },
    too_short = { b"\x01\x02\x07" },
    second_damaged = { b"\x01\x01\x07\x02" },
)]
fn damaged_sections_rejected(end: &[u8]) {
    let value = [CONTENT, end].concat();
    let error = decode_value::<Content>(&value).unwrap_err();
    assert!(matches!(error, DecodeError::Sections(_)), "{error}");
}

#[test]
fn damaged_content_rejected() {
    let error = decode_value::<Content>(&CONTENT[..2]).unwrap_err();
    assert!(matches!(error, DecodeError::Content(_)), "{error}");
}

/// Nothing may be allocated for a length that the value doesn't have.
#[parameterized(
    string = { b"\xfd\xff\xff\xff\xff\xff\xff\xff\x0f" },
    longest = { b"\xfd\xff\xff\xff\xff\xff\xff\xff\xff" },
    section = { b"\x01n\xfb\x2c\x01\x01\xfd\xff\xff\xff\xff\xff\xff\xff\x0f" },
)]
fn absurd_length_rejected(value: &[u8]) {
    decode_value::<Content>(value).unwrap_err();
}
