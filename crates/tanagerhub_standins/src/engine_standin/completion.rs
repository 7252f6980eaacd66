//! Responses to completion requests, as one document or as a stream.

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
use crate::server::ClientConnection;

/// Interval at which a step is retried while a member is paused.
const PAUSED_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of chunks of a stream that are buffered until the client reads them.
const MAX_BUFFERED_CHUNKS: usize = 4;

/// Responds with one JSON document; returns an error when a member of the group is missing or the
/// client disconnects.
pub(super) async fn document(
    prompt: Prompt,
    mut run: Run,
    client: ClientConnection,
    resumed_tokens: u32,
    clock: Clock,
) -> http_types::Result<Response> {
    let generation = async {
        for index in resumed_tokens..prompt.tokens {
            step(&mut run, &clock, index + 1 == prompt.tokens).await?;
        }
        Ok(())
    };
    let cancelled = async {
        client.disconnected().await;
        Err(io::Error::other("the client disconnected"))
    };
    future::or(generation, cancelled).await?;
    let text = prompt.text(resumed_tokens..prompt.tokens);
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
    let mut completion = completion_object(&prompt, kind, &choice);
    completion["usage"] = usage(&prompt);
    crate::platform_standin::json_response(&completion)
}

/// Responds with server-sent events, one for each token.
pub(super) fn stream(
    prompt: Prompt,
    run: Run,
    client: ClientConnection,
    resumed_tokens: u32,
    clock: Clock,
) -> Response {
    let (sender, receiver) = async_channel::bounded(MAX_BUFFERED_CHUNKS);
    task::spawn(async move {
        let generation = async {
            if let Err(error) = send_stream(&prompt, run, &sender, resumed_tokens, &clock).await {
                // The client may have disconnected already.
                drop(sender.send(Err(error)).await);
            }
        };
        future::or(generation, client.disconnected()).await;
    });
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(Chunks::new(receiver), None));
    response.insert_header("content-type", "text/event-stream");
    response
}

async fn send_stream(
    prompt: &Prompt,
    mut run: Run,
    sender: &Sender<io::Result<Vec<u8>>>,
    resumed_tokens: u32,
    clock: &Clock,
) -> io::Result<()> {
    for index in resumed_tokens..prompt.tokens {
        let last = index + 1 == prompt.tokens;
        step(&mut run, clock, last).await?;
        send(sender, sse_event(prompt, index, last)).await?;
    }
    if prompt.usage {
        let mut usage_event = completion_object(prompt, stream_kind(prompt), &Value::Null);
        usage_event["choices"] = json!([]);
        usage_event["usage"] = usage(prompt);
        send(sender, format!("data: {usage_event}\n\n")).await?;
    }
    send(sender, "data: [DONE]\n\n".to_owned()).await
}

/// Generates the next token, in which every member of the group takes part.
async fn step(run: &mut Run, clock: &Clock, last: bool) -> io::Result<()> {
    loop {
        match run.step(last) {
            Step::Done(step_time) => {
                clock.sleep(step_time).await;
                return Ok(());
            }
            Step::Wait => clock.sleep(PAUSED_RETRY_INTERVAL).await,
            Step::Broken => return Err(io::Error::other("a member of the group is missing")),
        }
    }
}

async fn send(sender: &Sender<io::Result<Vec<u8>>>, text: String) -> io::Result<()> {
    sender
        .send(Ok(text.into_bytes()))
        .await
        .map_err(|_closed| io::Error::other("the client disconnected"))
}

fn sse_event(prompt: &Prompt, index: u32, last: bool) -> String {
    let reason = if last { json!("stop") } else { Value::Null };
    let token = prompt.token(index);
    let choice = match prompt.api {
        ModelApi::Chat => json!({"index": 0, "delta": {"content": token}, "finish_reason": reason}),
        ModelApi::Completion => json!({"index": 0, "text": token, "finish_reason": reason}),
    };
    let data = completion_object(prompt, stream_kind(prompt), &choice);
    format!("id: {}\ndata: {data}\n\n", index + 1)
}

const fn stream_kind(prompt: &Prompt) -> &'static str {
    match prompt.api {
        ModelApi::Chat => "chat.completion.chunk",
        ModelApi::Completion => "text_completion",
    }
}

fn completion_object(prompt: &Prompt, kind: &str, choice: &Value) -> Value {
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
        "prompt_tokens": prompt.prompt_tokens,
        "completion_tokens": prompt.tokens,
        "total_tokens": prompt.prompt_tokens + prompt.tokens,
    })
}
