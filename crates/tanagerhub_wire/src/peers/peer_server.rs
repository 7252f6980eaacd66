//! Receives requests of peers over HTTP/2.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::{Bytes, BytesMut};
use futures_lite::{StreamExt, future};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Request, Response, StatusCode};
use tanagerhub_membership::PeerRequest;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::peers::keep_alive::keep_alive;
use crate::peers::peer_counters::increment;
use crate::peers::peer_transport::Shared;
use crate::peers::{Frame, FrameError, MAX_FRAME_BYTES, PeerEvent};

/// How long a peer may take for the handshake or for the body of a request.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of concurrent requests on one connection.
const MAX_STREAMS: u32 = 64;
/// The maximum number of open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 1_024;
/// The delay after a failed accept, so that a lack of file descriptors doesn't cause a busy loop.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until the receiver of `events` is dropped.
pub(crate) async fn listen(listener: TcpListener, shared: Arc<Shared>, events: Sender<PeerEvent>) {
    // Each open connection holds a clone, so that the reference count limits their number.
    let open = Arc::new(());
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        if events.is_closed() {
            return;
        }
        let Ok(stream) = stream else {
            task::sleep(RETRY_DELAY).await;
            continue;
        };
        if Arc::strong_count(&open) > MAX_CONNECTIONS {
            continue;
        }
        let (shared, events, open) = (Arc::clone(&shared), events.clone(), Arc::clone(&open));
        task::spawn(async move {
            // The connecting side reports a failed connection.
            let _: Result<(), h2::Error> = serve(stream, shared, events).await;
            drop(open);
        });
    }
}

async fn serve(
    stream: TcpStream,
    shared: Arc<Shared>,
    events: Sender<PeerEvent>,
) -> Result<(), h2::Error> {
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(MAX_STREAMS);
    let handshake = builder.handshake::<_, Bytes>(stream.compat());
    let handshake = shared.clock.timeout(RECEIVE_TIMEOUT, handshake).await;
    let Some(connection) = handshake else {
        return Ok(());
    };
    let mut connection = connection?;
    let pings = connection.ping_pong();
    let requests = async {
        while let Some(request) = connection.accept().await {
            let (request, respond) = request?;
            let (shared, events) = (Arc::clone(&shared), events.clone());
            task::spawn(async move {
                let _: Result<(), h2::Error> = handle(request, respond, &shared, &events).await;
            });
        }
        Ok(())
    };
    let liveness = async {
        keep_alive(pings, &shared.clock).await;
        increment(&shared.counters.dead);
        Ok(())
    };
    future::or(requests, liveness).await
}

async fn handle(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    shared: &Shared,
    events: &Sender<PeerEvent>,
) -> Result<(), h2::Error> {
    let body = read_body(request.into_body());
    let Some(body) = shared.clock.timeout(RECEIVE_TIMEOUT, body).await else {
        respond.send_reset(Reason::CANCEL);
        return Ok(());
    };
    let bytes = match body? {
        Ok(bytes) => bytes,
        Err(error) => return refuse(respond, shared, &error),
    };
    let frame = match Frame::<PeerRequest>::open(&bytes, &shared.key, &[], MAX_FRAME_BYTES) {
        Ok(frame) => frame,
        Err(error) => return refuse(respond, shared, &error),
    };
    if !shared.is_first(frame.boot, frame.sequence) {
        return send_status(respond, StatusCode::CONFLICT);
    }
    let (responder, response) = async_channel::bounded(1);
    let event = PeerEvent::Request {
        request: frame.body,
        responder,
    };
    if events.send(event).await.is_err() {
        return send_status(respond, StatusCode::SERVICE_UNAVAILABLE);
    }
    let Ok(response) = response.recv().await else {
        return send_status(respond, StatusCode::SERVICE_UNAVAILABLE);
    };
    let frame = Frame {
        boot: shared.boot,
        sequence: shared.next_sequence(),
        body: response,
    };
    // The request is the context of the response's authentication code, so that the response can't
    // be replayed as that to another request.
    match frame.seal(&shared.key, &bytes, MAX_FRAME_BYTES) {
        Ok(sealed) => {
            let mut stream = respond.send_response(Response::new(()), false)?;
            stream.send_data(Bytes::from(sealed), true)
        }
        Err(error) => refuse(respond, shared, &error),
    }
}

fn refuse(
    respond: SendResponse<Bytes>,
    shared: &Shared,
    error: &FrameError,
) -> Result<(), h2::Error> {
    shared.counters.count_dropped(error);
    send_status(respond, StatusCode::FORBIDDEN)
}

fn send_status(mut respond: SendResponse<Bytes>, status: StatusCode) -> Result<(), h2::Error> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true).map(drop)
}

/// Reads a body of up to [`MAX_FRAME_BYTES`].
pub(crate) async fn read_body(
    mut body: RecvStream,
) -> Result<Result<BytesMut, FrameError>, h2::Error> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        let length = bytes.len() + chunk.len();
        if length > MAX_FRAME_BYTES {
            let limit = MAX_FRAME_BYTES;
            return Ok(Err(FrameError::Oversized { length, limit }));
        }
        bytes.extend_from_slice(&chunk);
        body.flow_control().release_capacity(chunk.len())?;
    }
    Ok(Ok(bytes))
}
