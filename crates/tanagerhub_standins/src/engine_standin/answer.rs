//! Answers to requests, whole or streamed.

use std::io;
use std::time::Duration;

use async_channel::Sender;
use async_std::task;
use futures_lite::future;
use http_types::{Body, Response, StatusCode};
use serde_json::{Value, json};
use tanagerhub_clock::Clock;

use super::chunks::Chunks;
use super::fabric::{Run, Step};
use super::prompt::{ModelApi, Prompt};
use crate::server::Caller;

/// How often a step that waits for a paused member is tried again.
const WAIT: Duration = Duration::from_millis(5);

/// Pieces of a stream that may wait for the caller to read them.
const WINDOW: usize = 4;

/// Answers with one JSON document; a broken group or a caller that leaves ends it without one.
pub(super) async fn whole(
    prompt: Prompt,
    mut run: Run,
    caller: Caller,
    done: u32,
    clock: Clock,
) -> http_types::Result<Response> {
    let work = async {
        for place in done..prompt.tokens {
            step(&mut run, &clock, place + 1 == prompt.tokens).await?;
        }
        Ok(())
    };
    let left = async {
        caller.gone().await;
        Err(io::Error::other("the caller has left"))
    };
    future::or(work, left).await?;
    let text = prompt.text(done..prompt.tokens);
    let (kind, choice) = match prompt.api {
        ModelApi::Chat => (
            "chat.completion",
            json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"}),
        ),
        ModelApi::Completion => (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": "stop"}),
        ),
    };
    let mut answer = frame(&prompt, kind, &choice);
    answer["usage"] = usage(&prompt);
    crate::platform_standin::json(&answer)
}

/// Answers with server-sent events, one a token.
pub(super) fn stream(
    prompt: Prompt,
    run: Run,
    caller: Caller,
    done: u32,
    clock: Clock,
) -> Response {
    let (sender, receiver) = async_channel::bounded(WINDOW);
    task::spawn(async move {
        let work = async {
            if let Err(error) = send_all(&prompt, run, &sender, done, &clock).await {
                // The caller may have left already.
                drop(sender.send(Err(error)).await);
            }
        };
        future::or(work, caller.gone()).await;
    });
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(Chunks::new(receiver), None));
    response.insert_header("content-type", "text/event-stream");
    response
}

async fn send_all(
    prompt: &Prompt,
    mut run: Run,
    sender: &Sender<io::Result<Vec<u8>>>,
    done: u32,
    clock: &Clock,
) -> io::Result<()> {
    for place in done..prompt.tokens {
        let last = place + 1 == prompt.tokens;
        step(&mut run, clock, last).await?;
        send(sender, event(prompt, place, last)).await?;
    }
    if prompt.usage {
        let mut tail = frame(prompt, stream_kind(prompt), &Value::Null);
        tail["choices"] = json!([]);
        tail["usage"] = usage(prompt);
        send(sender, format!("data: {tail}\n\n")).await?;
    }
    send(sender, "data: [DONE]\n\n".to_owned()).await
}

/// Makes the next token with every member of the group.
async fn step(run: &mut Run, clock: &Clock, last: bool) -> io::Result<()> {
    loop {
        match run.step(last) {
            Step::Done(span) => {
                clock.sleep(span).await;
                return Ok(());
            }
            Step::Wait => clock.sleep(WAIT).await,
            Step::Broken => return Err(io::Error::other("a member of the group is missing")),
        }
    }
}

async fn send(sender: &Sender<io::Result<Vec<u8>>>, text: String) -> io::Result<()> {
    sender
        .send(Ok(text.into_bytes()))
        .await
        .map_err(|_closed| io::Error::other("the caller has left"))
}

fn event(prompt: &Prompt, place: u32, last: bool) -> String {
    let reason = if last { json!("stop") } else { Value::Null };
    let token = prompt.token(place);
    let choice = match prompt.api {
        ModelApi::Chat => json!({"index": 0, "delta": {"content": token}, "finish_reason": reason}),
        ModelApi::Completion => json!({"index": 0, "text": token, "finish_reason": reason}),
    };
    let data = frame(prompt, stream_kind(prompt), &choice);
    format!("id: {}\ndata: {data}\n\n", place + 1)
}

const fn stream_kind(prompt: &Prompt) -> &'static str {
    match prompt.api {
        ModelApi::Chat => "chat.completion.chunk",
        ModelApi::Completion => "text_completion",
    }
}

fn frame(prompt: &Prompt, kind: &str, choice: &Value) -> Value {
    json!({
        "id": "cmpl-standin",
        "object": kind,
        "created": 0,
        "model": prompt.model,
        "choices": [choice],
    })
}

fn usage(prompt: &Prompt) -> Value {
    json!({
        "prompt_tokens": prompt.asked,
        "completion_tokens": prompt.tokens,
        "total_tokens": prompt.asked + prompt.tokens,
    })
}
