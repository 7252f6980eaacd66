//! Exchanges of single requests over sockets.

use std::net::SocketAddr;

use async_std::io::prelude::*;
use async_std::net::TcpStream;

/// Sends a request and returns what arrives until the connection ends, or until the end of the head
/// if it stays open.
pub async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let mut buffer = [0; 1_024];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => response.extend_from_slice(&buffer[..count]),
        }
        // Connections of the readiness check stay open and receive one response without a body.
        if response.ends_with(b"\r\n\r\n") && !request.contains("close") {
            break;
        }
    }
    String::from_utf8(response).unwrap()
}

/// Returns the status of a response, or zero if there is none.
pub fn status(response: &str) -> u16 {
    let code = response.split(' ').nth(1);
    code.and_then(|code| code.parse().ok()).unwrap_or_default()
}
