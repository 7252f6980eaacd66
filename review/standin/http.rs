//! A small HTTP/1.1 server and client over std sockets.

use std::any::Any;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Pieces that follow, each after this pause, in chunks.
    pub pieces: Vec<Vec<u8>>,
    pub gap: Duration,
    /// Dropped once the answer has been written or has failed.
    pub guard: Option<Arc<dyn Any + Send + Sync>>,
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let found = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = found.into_iter().find(|(key, _)| *key == name);
        value.map_or_else(String::new, |(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Response {
    pub fn json(status: u16, body: String) -> Self {
        Self {
            status,
            headers: vec![("Content-Type".into(), "application/json".into())],
            body: body.into_bytes(),
            ..Self::default()
        }
    }

    pub fn empty(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Bytes that were read ahead of what has been parsed.
struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16_384];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    fn head(&mut self) -> io::Result<Vec<String>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                return Ok(head.trim_end().split("\r\n").map(str::to_owned).collect());
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line).trim().to_owned());
            }
            self.fill()?;
        }
    }

    fn body(&mut self, headers: &[(String, String)], to_end: bool) -> io::Result<Vec<u8>> {
        if header(headers, "transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16)
                    .map_err(io::Error::other)?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exactly(size)?);
                self.exactly(2)?;
            }
        }
        if let Some(length) = header(headers, "content-length") {
            return self.exactly(length.trim().parse().map_err(io::Error::other)?);
        }
        if to_end {
            while self.fill().is_ok() {}
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(Vec::new())
    }
}

fn parse_headers(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().filter_map(|line| line.split_once(':'));
    pairs
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

/// What a handler does with a request: `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request, SocketAddr) -> Option<Response> + Send + Sync>;

/// Serves connections on threads until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || drop(serve_connection(stream, &handler)));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let peer = stream.peer_addr()?;
    let mut reader = Reader {
        stream,
        buffer: Vec::new(),
    };
    loop {
        let lines = reader.head()?;
        let mut first = lines[0].split(' ');
        let mut request = Request {
            method: first.next().unwrap_or_default().to_owned(),
            target: first.next().unwrap_or_default().to_owned(),
            headers: parse_headers(&lines[1..]),
            body: Vec::new(),
        };
        request.body = reader.body(&request.headers, false)?;
        let Some(response) = handler(request, peer) else {
            return Ok(());
        };
        let mut head = format!("HTTP/1.1 {} X\r\n", response.status);
        for (name, value) in &response.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let _guard = response.guard;
        if response.pieces.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n\r\n", response.body.len()));
            let mut bytes = head.into_bytes();
            bytes.extend(response.body);
            reader.stream.write_all(&bytes)?;
            continue;
        }
        head.push_str("Transfer-Encoding: chunked\r\n\r\n");
        reader.stream.write_all(head.as_bytes())?;
        for piece in response.pieces {
            thread::sleep(response.gap);
            let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
            chunk.extend(piece);
            chunk.extend(b"\r\n");
            reader.stream.write_all(&chunk)?;
        }
        reader.stream.write_all(b"0\r\n\r\n")?;
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn send(address: SocketAddr, request: &Request, timeout: Duration) -> io::Result<Response> {
    let started = Instant::now();
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let left = timeout
        .saturating_sub(started.elapsed())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut reader = Reader {
        stream,
        buffer: Vec::new(),
    };
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend(&request.body);
    reader.stream.write_all(&bytes)?;
    let lines = reader.head()?;
    let status = lines[0]
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    let headers = parse_headers(&lines[1..]);
    let body = reader.body(&headers, true)?;
    Ok(Response {
        status,
        headers,
        body,
        ..Response::default()
    })
}
