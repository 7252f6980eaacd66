//! Tests of the stand-in engine.

use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task::{self, block_on};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde_json::{Value, json};
use tanagerhub_catalogue::{Epoch, GroupId, Rank};
use tanagerhub_clock::Clock;
use tanagerhub_fleet::{EngineState, MemberReport, Order, OrderKind, OrderResponse};
use tanagerhub_standins::{
    CRASH_MARKER, EngineSettings, EngineStandin, Event, Fabric, ModelApi, Prompt, Recorder,
    StopCause, WeightStore,
};
use tanagerhub_wire::engine::{EPOCH, GROUP, LAST_EVENT_ID, NOT_RUN};

const GROUP_ID: GroupId = GroupId(0xab);

fn fabric() -> Fabric {
    let clock = Clock::real();
    let weights = WeightStore::new(clock.clone(), 4, Duration::from_millis(5));
    Fabric::new(clock.clone(), Recorder::new(clock), weights)
}

async fn engines(fabric: &Fabric, count: usize) -> Vec<EngineStandin> {
    let mut engines = Vec::new();
    for number in 0..count {
        let settings = EngineSettings {
            name: format!("vm-{number}"),
            restart_delay: Duration::from_millis(10),
            ..EngineSettings::default()
        };
        engines.push(EngineStandin::start(fabric, settings).await.unwrap());
    }
    engines
}

async fn call(engine: &EngineStandin, request: Request) -> http_types::Result<Response> {
    let stream = TcpStream::connect(engine.address()).await?;
    async_h1::connect(stream, request).await
}

fn request(engine: &EngineStandin, method: Method, path: &str) -> Request {
    let url = Url::parse(&format!("http://{}{path}", engine.address())).unwrap();
    Request::new(method, url)
}

async fn report(engine: &EngineStandin) -> MemberReport {
    let request = request(engine, Method::Get, "/engine/report");
    let mut response = call(engine, request).await.unwrap();
    serde_json::from_slice(&response.body_bytes().await.unwrap()).unwrap()
}

async fn order(engine: &EngineStandin, epoch: u64, kind: OrderKind) -> OrderResponse {
    let order = Order {
        vm: engine.vm(),
        group: GROUP_ID,
        epoch: Epoch(epoch),
        kind,
    };
    let mut request = request(engine, Method::Post, "/engine/order");
    request.set_body(serde_json::to_vec(&order).unwrap());
    let mut response = call(engine, request).await.unwrap();
    serde_json::from_slice(&response.body_bytes().await.unwrap()).unwrap()
}

async fn join(engines: &[EngineStandin], epoch: u64) {
    let members: Vec<_> = engines.iter().map(EngineStandin::address).collect();
    for (rank, engine) in (0..).zip(engines) {
        let kind = OrderKind::Join {
            rank: Rank(rank),
            weights: "advisor-1".to_owned(),
            members: members.clone(),
        };
        assert_eq!(order(engine, epoch, kind).await, OrderResponse::Accepted);
    }
    for engine in engines {
        while report(engine).await.state != EngineState::Ready {
            task::sleep(Duration::from_millis(2)).await;
        }
    }
}

fn completion_request(engine: &EngineStandin, epoch: u64, body: &Value) -> Request {
    let mut request = request(engine, Method::Post, "/v1/completions");
    request.insert_header(GROUP, GROUP_ID.to_string());
    request.insert_header(EPOCH, epoch.to_string());
    request.set_body(serde_json::to_vec(body).unwrap());
    request
}

fn body(tokens: u32, stream: bool) -> Value {
    json!({"model": "advisor", "prompt": "Which size?", "max_tokens": tokens,
        "stream": stream, "user": "w-1"})
}

fn prompt_of(body: &Value) -> Prompt {
    let body = serde_json::to_vec(body).unwrap();
    Prompt::parse(&body, ModelApi::Completion).unwrap()
}

/// Returns the text of all events, and whether the stream ended with its marker.
fn events(stream: &str) -> (String, bool) {
    let data = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let mut text = String::new();
    let mut ended = false;
    for data in data {
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap();
        text += event["choices"][0]["text"].as_str().unwrap();
    }
    (text, ended)
}

#[test]
fn complete_document_and_stream_agree() {
    block_on(async {
        let fabric = fabric();
        let engines = engines(&fabric, 2).await;
        join(&engines, 1).await;
        let expected = prompt_of(&body(5, false)).text(0..5);
        let mut document = call(
            &engines[0],
            completion_request(&engines[0], 1, &body(5, false)),
        )
        .await
        .unwrap();
        let response: Value =
            serde_json::from_slice(&document.body_bytes().await.unwrap()).unwrap();
        assert_eq!(response["choices"][0]["text"], expected);
        assert_eq!(response["usage"]["completion_tokens"], 5);
        let mut streamed = call(
            &engines[0],
            completion_request(&engines[0], 1, &body(5, true)),
        )
        .await
        .unwrap();
        let stream = streamed.body_string().await.unwrap();
        assert_eq!(events(&stream), (expected, true));
    });
}

#[test]
fn complete_resumed_continues() {
    block_on(async {
        let fabric = fabric();
        let engines = engines(&fabric, 1).await;
        join(&engines, 1).await;
        let mut body = body(6, true);
        let prompt = prompt_of(&body);
        body["resume_text"] = json!(prompt.text(0..4));
        let mut request = completion_request(&engines[0], 1, &body);
        request.insert_header(LAST_EVENT_ID, "4");
        let mut response = call(&engines[0], request).await.unwrap();
        let stream = response.body_string().await.unwrap();
        assert_eq!(events(&stream), (prompt.text(4..6), true));
    });
}

#[test]
fn complete_wrong_epoch_not_run() {
    block_on(async {
        let fabric = fabric();
        let engines = engines(&fabric, 1).await;
        join(&engines, 2).await;
        let response = call(
            &engines[0],
            completion_request(&engines[0], 1, &body(1, false)),
        )
        .await
        .unwrap();
        assert_eq!(response.status(), StatusCode::Conflict);
        assert_eq!(response[NOT_RUN].as_str(), "true");
        let started = |event: &Event| matches!(event, Event::Started(_));
        assert_eq!(fabric.recorder().count(started), 0);
    });
}

#[test]
fn complete_member_killed_breaks_stream() {
    block_on(async {
        let fabric = fabric();
        let engines = engines(&fabric, 2).await;
        join(&engines, 1).await;
        let mut response = call(
            &engines[0],
            completion_request(&engines[0], 1, &body(100_000, true)),
        )
        .await
        .unwrap();
        engines[1].kill().await;
        response.body_string().await.unwrap_err();
        let broken = |event: &Event| {
            matches!(
                event,
                Event::Stopped {
                    cause: StopCause::Broken,
                    ..
                }
            )
        };
        assert_eq!(fabric.recorder().count(broken), 1);
    });
}

#[test]
fn complete_client_disconnected_cancels() {
    block_on(async {
        let fabric = fabric();
        let engines = engines(&fabric, 1).await;
        join(&engines, 1).await;
        let response = call(
            &engines[0],
            completion_request(&engines[0], 1, &body(100_000, true)),
        )
        .await
        .unwrap();
        drop(response);
        let cancelled = |event: &Event| {
            matches!(
                event,
                Event::Stopped {
                    cause: StopCause::Cancelled,
                    ..
                }
            )
        };
        while fabric.recorder().count(cancelled) == 0 {
            task::sleep(Duration::from_millis(2)).await;
        }
    });
}

#[test]
fn complete_marked_crashes_and_restarts() {
    block_on(async {
        let fabric = fabric();
        let engines = engines(&fabric, 1).await;
        join(&engines, 1).await;
        let boot = report(&engines[0]).await.boot;
        let mut body = body(4, false);
        body["prompt"] = json!(CRASH_MARKER);
        let request = completion_request(&engines[0], 1, &body);
        call(&engines[0], request).await.unwrap_err();
        while fabric
            .recorder()
            .count(|event| matches!(event, Event::Returned { .. }))
            == 0
        {
            task::sleep(Duration::from_millis(2)).await;
        }
        let report = report(&engines[0]).await;
        assert_ne!(report.boot, boot);
        assert_eq!(report.state, EngineState::Empty);
    });
}

#[test]
fn order_stale_is_refused() {
    block_on(async {
        let fabric = fabric();
        let engines = engines(&fabric, 1).await;
        join(&engines, 5).await;
        let response = order(&engines[0], 4, OrderKind::Release).await;
        assert_eq!(response, OrderResponse::Stale { epoch: Epoch(5) });
    });
}

#[test]
fn stall_open_connections_spares_new() {
    block_on(async {
        let fabric = fabric();
        let engines = engines(&fabric, 1).await;
        join(&engines, 1).await;
        let mut open_response = call(
            &engines[0],
            completion_request(&engines[0], 1, &body(20, true)),
        )
        .await
        .unwrap();
        engines[0].stall_open_connections();
        assert_eq!(report(&engines[0]).await.state, EngineState::Ready);
        let clock = fabric.clock().clone();
        let end = clock
            .timeout(Duration::from_millis(500), open_response.body_string())
            .await;
        assert!(end.is_none());
    });
}
