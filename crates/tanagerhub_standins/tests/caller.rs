//! Tests that the test client tells whole answers from others.

use std::net::SocketAddr;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task::{self, block_on};
use tanagerhub_clock::Clock;
use tanagerhub_standins::{
    ADVISOR, Caller, Checker, Fact, Outcome, Promise, Question, Recorder, SAMPLE_KEY, Verdict,
    Violation,
};
use yare::parameterized;

/// A peer that answers its first request with these bytes.
async fn peer(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4096];
        let mut read = 0;
        while !String::from_utf8_lossy(&request[..read]).ends_with('}') {
            read += stream.read(&mut request[read..]).await.unwrap();
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    address
}

fn token(text: &str) -> String {
    format!("id: 1\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

/// A streamed answer of one piece, with or without the final chunk.
fn chunked(body: &str, end: &str) -> String {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{:x}\r\n{body}\r\n{end}", body.len())
}

const DONE: &str = "data: [DONE]\n\n";
const END: &str = "0\r\n\r\n";

fn question() -> Question {
    Question::new("w-1", ADVISOR).tokens(1)
}

fn right() -> String {
    question().expected()
}

#[parameterized(
    whole = { chunked(&(token(&right()) + DONE), END), Verdict::Whole },
    cut = { chunked(&token(&right()), ""), Verdict::Cut },
    clean_end_without_marker = { chunked(&token(&right()), END), Verdict::Wrong },
    short = { chunked(DONE, END), Verdict::Wrong },
    other_text = { chunked(&(token(" zzzz") + DONE), END), Verdict::Wrong },
    repeated_token = { chunked(&(token(&right()) + &token(&right()) + DONE), END), Verdict::Wrong },
    error_event = { chunked("data: {\"error\":{}}\n\n", END), Verdict::Cut },
    nothing = { String::new(), Verdict::Lost },
    refused = {
        "HTTP/1.1 503 No\r\nx-tanagerhub-outcome: not-run\r\nContent-Length: 0\r\n\r\n".to_owned(),
        Verdict::Refused(Outcome::NotRun)
    },
    refused_unclear = {
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_owned(),
        Verdict::Refused(Outcome::Unknown)
    },
)]
fn stream_judges_answer(answer: String, expected: Verdict) {
    block_on(async {
        let node = peer(answer).await;
        let clock = Clock::real();
        let recorder = Recorder::new(clock.clone());
        let caller = Caller::new(node, SAMPLE_KEY, recorder.clone(), clock);
        let reply = caller.stream(&question()).await.unwrap();
        assert_eq!(reply.verdict, expected, "{}", reply.text);
        let answered = |fact: &Fact| matches!(fact, Fact::Answered { .. });
        assert_eq!(recorder.count(answered), 1);
        let violations = Checker::default().check(&recorder.log());
        let broken: Vec<_> = violations.iter().map(Violation::promise).collect();
        let wrong = (expected == Verdict::Wrong).then_some(Some(Promise::WholeAnswers));
        assert_eq!(broken, wrong.into_iter().collect::<Vec<_>>());
    });
}
