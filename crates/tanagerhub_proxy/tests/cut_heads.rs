//! Backend servers that stop in the middle of the head of their response and close.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use async_std::task;
use http::Request;
use tanagerhub_clock::Clock;
use tanagerhub_proxy::{Client, PoolLimits, Reuse, SendError};
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(5);
const SOUND: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

/// Answers the requests on each connection with the given responses, one after the other, and then
/// closes it.
fn serve(connections: Vec<Vec<String>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for responses in connections {
            let (mut stream, _) = listener.accept().unwrap();
            for response in responses {
                let mut request = [0; 1_024];
                // The client may prefer a new connection to this one.
                if stream.read(&mut request).unwrap_or_default() == 0 {
                    break;
                }
                stream.write_all(response.as_bytes()).unwrap();
            }
        }
    });
    address
}

fn request() -> Request<http_body_util::Full<bytes::Bytes>> {
    Request::get("/x")
        .header("host", "a")
        .body("".into())
        .unwrap()
}

/// Guards against a head that is taken for whole although it was cut, at each of its bytes, on a new
/// connection and on a kept one.
#[parameterized(
    length = { "HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 12\r\n\r\n" },
    chunked = { "HTTP/1.1 200 OK\r\nServer: a\r\nTransfer-Encoding: chunked\r\n\r\n" },
    close = { "HTTP/1.1 200 OK\r\nServer: a\r\nConnection: close\r\n\r\n" },
    unframed = { "HTTP/1.1 200 OK\r\n\r\n" },
    old_version = { "HTTP/1.0 200 OK\r\nServer: a\r\n\r\n" },
    line_feeds = { "HTTP/1.1 200 OK\nServer: a\n\n" },
    after_interim_response = { "HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nServer: a\r\n\r\n" },
)]
fn cut_head_is_an_error(head: &str) {
    task::block_on(async {
        for cut in 0..head.len() {
            let part = head[..cut].to_owned();
            let kept = vec![SOUND.to_owned(), part.clone()];
            let address = serve(vec![vec![part.clone()], kept, vec![part]]);
            let client = Client::new(PoolLimits::default(), TIMEOUT, Clock::real());
            let result = client.send(address, request(), Reuse::Idle, || true).await;
            let error = result.map(|it| it.status).unwrap_err();
            assert!(error.may_have_run(), "cut at {cut}: {error}");
            let sound = client.send(address, request(), Reuse::Idle, || true).await;
            assert_eq!(sound.unwrap().body.read(10).await.unwrap(), "hi");
            let result = client.send(address, request(), Reuse::Idle, || true).await;
            let error = result.map(|it| it.status).unwrap_err();
            let is_cut = matches!(
                error,
                SendError::Broken { .. } | SendError::Malformed { .. }
            );
            assert!(is_cut, "cut at {cut}: {error}");
        }
    });
}
