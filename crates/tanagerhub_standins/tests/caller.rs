//! Tests that the test caller distinguishes complete responses from truncated and wrong ones.

use std::net::SocketAddr;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use tanagerhub_clock::Clock;
use tanagerhub_standins::{
    ADVISOR, Caller, ChatRequest, Checker, Event, Outcome, Promise, Recorder, SAMPLE_KEY, Verdict,
    Violation,
};
use yare::parameterized;

/// Starts a server that responds to its first request with these bytes, and returns its address.
async fn respond_once(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4096];
        let mut read = 0;
        while !String::from_utf8_lossy(&request[..read]).ends_with('}') {
            read += stream.read(&mut request[read..]).await.unwrap();
        }
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    address
}

fn token(text: &str) -> String {
    format!("id: 1\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

/// Returns a streamed response of one chunk, followed by `end`, which may be the final chunk.
fn chunked(body: &str, end: &str) -> String {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{:x}\r\n{body}\r\n{end}", body.len())
}

const DONE_EVENT: &str = "data: [DONE]\n\n";
const FINAL_CHUNK: &str = "0\r\n\r\n";

fn chat_request() -> ChatRequest {
    ChatRequest::new("w-1", ADVISOR).tokens(1)
}

fn expected_text() -> String {
    chat_request().expected()
}

#[parameterized(
    complete = { chunked(&(token(&expected_text()) + DONE_EVENT), FINAL_CHUNK), Verdict::Complete },
    truncated = { chunked(&token(&expected_text()), ""), Verdict::Truncated },
    clean_end_without_marker = { chunked(&token(&expected_text()), FINAL_CHUNK), Verdict::Wrong },
    short = { chunked(DONE_EVENT, FINAL_CHUNK), Verdict::Wrong },
    other_text = { chunked(&(token(" zzzz") + DONE_EVENT), FINAL_CHUNK), Verdict::Wrong },
    repeated_token = { chunked(&(token(&expected_text()) + &token(&expected_text()) + DONE_EVENT), FINAL_CHUNK), Verdict::Wrong },
    error_event = { chunked("data: {\"error\":{}}\n\n", FINAL_CHUNK), Verdict::Truncated },
    no_bytes = { String::new(), Verdict::Lost },
    refused = {
        "HTTP/1.1 503 No\r\nx-tanagerhub-outcome: not-run\r\nContent-Length: 0\r\n\r\n".to_owned(),
        Verdict::Refused(Outcome::NotRun)
    },
    refused_unclear = {
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_owned(),
        Verdict::Refused(Outcome::Unknown)
    },
)]
fn stream_checks_response(response: String, expected: Verdict) {
    block_on(async {
        let node = respond_once(response).await;
        let clock = Clock::real();
        let recorder = Recorder::new(clock.clone());
        let caller = Caller::new(node, SAMPLE_KEY, recorder.clone(), clock);
        let result = caller.stream(&chat_request()).await.unwrap();
        assert_eq!(result.verdict, expected, "{}", result.text);
        let completed = |event: &Event| matches!(event, Event::Completed { .. });
        assert_eq!(recorder.count(completed), 1);
        let violations = Checker::default().check(&recorder.log());
        let promises: Vec<_> = violations.iter().map(Violation::promise).collect();
        let wrong = (expected == Verdict::Wrong).then_some(Some(Promise::CompleteResponses));
        assert_eq!(promises, wrong.into_iter().collect::<Vec<_>>());
    });
}
