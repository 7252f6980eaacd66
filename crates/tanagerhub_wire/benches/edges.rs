//! The overhead of the HTTP server and client over bare socket exchanges, measured in one run over
//! loopback.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use criterion::{Criterion, criterion_group, criterion_main};
use http::{Method, StatusCode};
use tanagerhub_clock::Clock;
use tanagerhub_wire::backend::{BackendClient, BackendRequest, PoolLimits};
use tanagerhub_wire::callers::CallerRequest;
use tanagerhub_wire::http::{HttpLimits, HttpServer, Request, Response, ResponseBody, json, serve};

const REQUEST: &[u8] =
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\n\
    Content-Type: application/json\r\nContent-Length: 69\r\n\r\n\
    {\"model\":\"advisor\",\"messages\":[{\"role\":\"user\",\"content\":\"size 42?\"}]}";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\"ok\"";
/// The number of events of a streamed response.
const EVENTS: usize = 100;
const EVENT: &[u8] =
    b"id: 1\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\" forty\"}}]}\n\n";

/// Starts a server that responds to each request without parsing it.
async fn bare_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            task::spawn(async move {
                let mut buffer = [0; 4_096];
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
                    stream.write_all(RESPONSE).await.unwrap();
                }
            });
        }
    });
    address
}

async fn server<F>(handler: fn(Request) -> F) -> HttpServer
where
    F: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve(listener, HttpLimits::default(), Clock::real(), handler).unwrap()
}

async fn respond(request: Request) -> Response {
    black_box(CallerRequest::parse(request).unwrap());
    json(StatusCode::OK, &"ok")
}

async fn stream(_: Request) -> Response {
    let (sender, body) = ResponseBody::stream();
    task::spawn(async move {
        for _ in 0..EVENTS {
            sender.send(Bytes::from_static(EVENT)).await.unwrap();
        }
        sender.finish().await.unwrap();
    });
    Response::new(body)
}

async fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

async fn exchange(stream: &mut TcpStream) {
    let mut buffer = [0; 4_096];
    stream.write_all(REQUEST).await.unwrap();
    let mut filled = 0;
    while !buffer[..filled].ends_with(b"\"ok\"") {
        filled += stream.read(&mut buffer[filled..]).await.unwrap();
    }
}

fn request() -> BackendRequest {
    let body = REQUEST.rsplit(|byte| *byte == b'\n').next().unwrap();
    BackendRequest::new(Method::POST, "/v1/chat/completions").body(body)
}

fn exchanges(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("exchange");
    group.measurement_time(Duration::from_secs(3));
    let bare = task::block_on(bare_server());
    let mut stream = task::block_on(connect(bare));
    group.bench_function("bare", |bencher| {
        bencher.iter(|| task::block_on(exchange(&mut stream)));
    });
    let serving = task::block_on(server(respond));
    let mut stream = task::block_on(connect(serving.address()));
    group.bench_function("server", |bencher| {
        bencher.iter(|| task::block_on(exchange(&mut stream)));
    });
    let client = BackendClient::new(PoolLimits::default(), Clock::real());
    group.bench_function("client", |bencher| {
        bencher.iter(|| {
            task::block_on(async {
                let response = client.send(bare, request()).await.unwrap();
                black_box(response.body.read(100).await.unwrap());
            });
        });
    });
    group.finish();
}

fn streams(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("stream_of_100_events");
    group.measurement_time(Duration::from_secs(3));
    let serving = task::block_on(server(stream));
    let client = BackendClient::new(PoolLimits::default(), Clock::real());
    group.bench_function("server_and_client", |bencher| {
        bencher.iter(|| {
            task::block_on(async {
                let response = client.send(serving.address(), request()).await.unwrap();
                let body = response.body.read(1 << 20).await.unwrap();
                assert_eq!(body.len(), EVENTS * EVENT.len());
            });
        });
    });
    group.finish();
}

criterion_group!(benches, exchanges, streams);
criterion_main!(benches);
