//! Relays forward complete responses, once, for any division into chunks.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tanagerhub_traffic::{BodyCheck, EventRelay, Framing, RelayError};
use yare::parameterized;

fn event(token: u32, end: &str) -> String {
    format!("id: {token}{end}data: {{\"text\":\"t{token}\"}}{end}{end}")
}

/// Returns a stream of the tokens in a range, with the role event first and the final event last.
fn stream(tokens: std::ops::RangeInclusive<u32>, end: &str) -> String {
    let role = format!("data: {{\"role\":\"assistant\"}}{end}{end}");
    let events: String = tokens.map(|token| event(token, end)).collect();
    format!("{role}{events}data: [DONE]{end}{end}")
}

fn push_all(relay: &mut EventRelay, bytes: &[u8], cuts: &[usize]) -> Result<Vec<u8>, RelayError> {
    let mut out = Vec::new();
    let mut start = 0;
    for cut in cuts {
        let cut = (*cut).clamp(start, bytes.len());
        relay.push(&bytes[start..cut], &mut out)?;
        start = cut;
    }
    relay.push(&bytes[start..], &mut out)?;
    Ok(out)
}

#[parameterized(
    gap = { "id: 1\ndata: a\n\nid: 3\ndata: c\n\n", RelayError::Gap { expected: 2, found: 3 } },
    bad_id = { "id: one\ndata: a\n\n", RelayError::InvalidId },
    negative_id = { "id: -1\ndata: a\n\n", RelayError::InvalidId },
    after_end = { "data: [DONE]\n\nid: 1\ndata: a\n\n", RelayError::AfterEnd },
    second_end = { "data: [DONE]\n\ndata: [DONE]\n\n", RelayError::AfterEnd },
)]
fn push_refused(text: &str, error: RelayError) {
    let mut relay = EventRelay::default();
    assert_eq!(relay.push(text.as_bytes(), &mut Vec::new()), Err(error));
}

/// A resumed stream repeats the events that precede a malformed one in its chunk.
#[parameterized(
    gap = { "id: 9\ndata: i\n\n" },
    bad_id = { "id: one\ndata: a\n\n" },
    after_end = { "data: [DONE]\n\nid: 3\ndata: c\n\n" },
)]
fn push_refused_after_events(malformed: &str) {
    let mut relay = EventRelay::default();
    let mut out = Vec::new();
    relay.push(event(1, "\n").as_bytes(), &mut out).unwrap();
    let chunk = event(2, "\n") + malformed;
    relay.push(chunk.as_bytes(), &mut out).unwrap_err();
    assert_eq!(out, event(1, "\n").as_bytes());
    assert_eq!(relay.tokens(), 1);
    assert!(!relay.is_done());
}

/// The text of an error between two streams must not reach the caller, however far the first one came.
#[parameterized(
    before_first_event = { "", "error!\n\n" },
    after_comment = { ": begun\n\n", "error!\n\n" },
    after_event = { "id: 1\ndata: a\n\n", "error!\n\n" },
    whole_head = { "id: 1\ndata: a\n\n", "HTTP/1.1 500 X\r\nname: error!\r\n\r\n" },
    comment = { "id: 1\ndata: a\n\n", ": error!\n\n" },
    unnamed = { "id: 1\ndata: a\n\n", "data: error!\n\n" },
)]
fn error_text_is_no_continuation(first: &str, error: &str) {
    for mut relay in [EventRelay::default(), EventRelay::framed_by_body(0)] {
        let mut out = Vec::new();
        relay.push(first.as_bytes(), &mut out).unwrap();
        relay.resume();
        relay.push(error.as_bytes(), &mut out).unwrap();
        assert_eq!(out, first.as_bytes());
        assert!(relay.end().is_err());
    }
}

/// Nothing of the first stream was forwarded, so the resumed one begins with its first event.
#[test]
fn push_resumed_from_start() {
    let mut relay = EventRelay::default();
    let mut out = Vec::new();
    let malformed = stream(1..=1, "\n").replace("id: 1", "id: one");
    relay.push(malformed.as_bytes(), &mut out).unwrap_err();
    relay.resume();
    let whole = stream(1..=2, "\n");
    relay.push(whole.as_bytes(), &mut out).unwrap();
    assert_eq!(String::from_utf8(out).unwrap(), whole);
}

#[test]
fn push_endless_line() {
    let mut relay = EventRelay::default();
    let bytes = vec![b'x'; 64 * 1024];
    let mut out = Vec::new();
    let failed = (0..5).find_map(|_| relay.push(&bytes, &mut out).err());
    assert_eq!(failed, Some(RelayError::TooLarge { limit: 256 * 1024 }));
    assert!(out.is_empty());
}

#[parameterized(
    comments = { ": still there\n\n" },
    blank_lines = { "\n\n" },
    known_events = { "id: 1\ndata: a\n\n" },
    unknown_fields = { "garbage\n\n" },
)]
fn push_without_progress(text: &str) {
    let mut relay = EventRelay::default();
    let mut out = Vec::new();
    relay.push(event(1, "\n").as_bytes(), &mut out).unwrap();
    let chunk = text.repeat(100);
    let chunks = 2 * 256 * 1024 / chunk.len();
    let failed = (0..chunks).find_map(|_| relay.push(chunk.as_bytes(), &mut out).err());
    assert_eq!(failed, Some(RelayError::Idle { limit: 256 * 1024 }));
    assert!(out.len() <= 256 * 1024 + event(1, "\n").len());
}

/// Comments between events, and a long stream that is repeated from its start, are no flood.
#[test]
fn push_long_stream_again() {
    let mut relay = EventRelay::default();
    let mut out = Vec::new();
    let comment = ": still there\n\n";
    let events: String = (1..=20_000)
        .map(|token| event(token, "\n") + comment)
        .collect();
    for _ in 0..2 {
        relay.push(events.as_bytes(), &mut out).unwrap();
        relay.resume();
    }
    assert_eq!(relay.tokens(), 20_000);
}

#[test]
fn push_keep_alive_comment() {
    let mut relay = EventRelay::default();
    let mut out = Vec::new();
    relay.push(b": still there\n\n", &mut out).unwrap();
    assert_eq!(out, b": still there\n\n");
    assert_eq!(relay.tokens(), 0);
}

#[test]
fn end_without_final_event() {
    let mut relay = EventRelay::default();
    relay
        .push(event(1, "\n").as_bytes(), &mut Vec::new())
        .unwrap();
    assert_eq!(relay.end(), Err(RelayError::Truncated { tokens: 1 }));
}

#[test]
fn end_inside_event() {
    let mut relay = EventRelay::default();
    let text = stream(1..=2, "\n") + "id: 3";
    relay.push(text.as_bytes(), &mut Vec::new()).unwrap();
    assert_eq!(relay.end(), Err(RelayError::Truncated { tokens: 2 }));
}

#[parameterized(
    missing = { None, false, Err(RelayError::NoFraming) },
    length = { Some(4), false, Ok(Framing::Length(4)) },
    chunked = { None, true, Ok(Framing::Chunked) },
)]
fn framing_from_headers(length: Option<u64>, chunked: bool, expected: Result<Framing, RelayError>) {
    assert_eq!(Framing::from_headers(length, chunked), expected);
}

#[parameterized(
    short = { 5, &[2, 2], false },
    exact = { 4, &[2, 2], true },
    long = { 3, &[2, 2], false },
)]
fn body_check_length(length: u64, chunks: &[usize], complete: bool) {
    let mut check = BodyCheck::new(Framing::Length(length));
    let pushed = chunks.iter().try_for_each(|bytes| check.push(*bytes));
    assert_eq!(pushed.is_ok() && check.end().is_ok(), complete);
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(0x5eed_0001))]

    /// Any division into chunks gives the same bytes.
    #[test]
    fn push_any_chunks(mut cuts in prop::collection::vec(0_usize..600, 0..12), crlf: bool) {
        let text = stream(1..=8, if crlf { "\r\n" } else { "\n" });
        cuts.sort_unstable();
        let mut relay = EventRelay::default();
        let out = push_all(&mut relay, text.as_bytes(), &cuts).unwrap();
        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!(relay.end(), Ok(()));
        prop_assert_eq!(relay.tokens(), 8);
    }

    /// The caller gets each event once, however often the stream breaks and wherever it is resumed.
    #[test]
    fn push_resumed_streams(
        breaks in prop::collection::vec((0_usize..600, 0_u32..3), 0..5),
        mut cuts in prop::collection::vec(0_usize..600, 0..6),
    ) {
        cuts.sort_unstable();
        let mut relay = EventRelay::default();
        let mut out = Vec::new();
        let mut from = 1;
        for (length, repeated) in breaks {
            let text = stream(from..=8, "\n");
            let cut = length.min(text.len() - 1);
            out.extend(push_all(&mut relay, &text.as_bytes()[..cut], &cuts).unwrap());
            if relay.is_done() {
                break;
            }
            relay.resume();
            from = (relay.tokens() + 1).saturating_sub(repeated).max(1);
        }
        if !relay.is_done() {
            out.extend(push_all(&mut relay, stream(from..=8, "\n").as_bytes(), &cuts).unwrap());
        }
        let complete = stream(1..=8, "\n");
        let role = complete.find("id: 1").unwrap();
        let text = String::from_utf8(out).unwrap();
        prop_assert_eq!(relay.end(), Ok(()));
        prop_assert!(text.ends_with(&complete[role..]), "{}", text);
    }

    /// Invalid input never counts as a complete response, and the output is never larger than the
    /// input.
    #[test]
    fn push_invalid_bytes(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..20)) {
        let mut relay = EventRelay::default();
        let mut out = Vec::new();
        let passed = chunks.iter().try_for_each(|chunk| relay.push(chunk, &mut out));
        let bytes: usize = chunks.iter().map(Vec::len).sum();
        prop_assert!(out.len() <= bytes);
        let text = String::from_utf8_lossy(&out).into_owned();
        prop_assert!(passed.is_err() || relay.end().is_err() || text.contains("[DONE]"));
    }
}
