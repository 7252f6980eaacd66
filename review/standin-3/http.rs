//! A plain HTTP/1.1 server and client with a thread for each connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The head and the body of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|it| it.0.eq_ignore_ascii_case(name));
        found.next().map(|it| it.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// Returns a value of the query.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target().split_once('?').map_or("", |it| it.1);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|it| it.0 == name).map_or("", |it| it.1)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Channel {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16_384];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.fill()?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// Reads a head. Of a response without a length the body ends with the channel.
    pub fn read(&mut self, is_response: bool) -> io::Result<Message> {
        let mut message = Message {
            first_line: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let value = value.trim().to_owned();
            message.headers.push((name.to_owned(), value));
        }
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length = message
            .header("content-length")
            .and_then(|it| it.parse().ok());
        if is_chunked {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(size)?;
                message.body.extend(chunk);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = length {
            message.body = self.take(length)?;
        } else if is_response {
            loop {
                match self.fill() {
                    Ok(()) => {}
                    Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => break,
                    Err(error) => return Err(error),
                }
            }
            message.body = std::mem::take(&mut self.ahead);
        }
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.write(&[head.as_bytes(), body].concat())
    }
}

/// A server that can be taken away: its listener is closed and its channels are reset.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl Server {
    /// Serves requests; a handler that returns an error ends its channel.
    pub fn start<H>(handler: H) -> io::Result<Self>
    where
        H: Fn(Message, &mut Channel) -> io::Result<()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let ended = Arc::new(AtomicBool::new(false));
        let handler = Arc::new(handler);
        let is_ended = Arc::clone(&ended);
        thread::spawn(move || {
            while !is_ended.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let (handler, is_ended) = (Arc::clone(&handler), Arc::clone(&is_ended));
                thread::spawn(move || serve_channel(stream, &*handler, &is_ended));
            }
        });
        Ok(Self { address, ended })
    }

    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

fn serve_channel<H>(stream: TcpStream, handler: &H, ended: &Arc<AtomicBool>)
where
    H: Fn(Message, &mut Channel) -> io::Result<()>,
{
    let _ = stream.set_nonblocking(false);
    let Ok(watched) = stream.try_clone() else {
        return;
    };
    let is_ended = Arc::clone(ended);
    let is_closed = Arc::new(AtomicBool::new(false));
    let closed = Arc::clone(&is_closed);
    thread::spawn(move || {
        while !is_ended.load(Ordering::Relaxed) && !closed.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
        }
        let _ = watched.shutdown(std::net::Shutdown::Both);
    });
    let mut channel = Channel::new(stream);
    while !ended.load(Ordering::Relaxed) {
        let Ok(request) = channel.read(false) else {
            break;
        };
        if handler(request, &mut channel).is_err() {
            break;
        }
    }
    is_closed.store(true, Ordering::Relaxed);
}

/// Sends one request on a new channel and reads the response.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    let mut channel = Channel::new(stream);
    let length = body.len();
    let head = format!("{head}Content-Length: {length}\r\n\r\n");
    channel.write(&[head.as_bytes(), body].concat())?;
    channel.read(true)
}

/// Waits until a condition holds. Returns whether it did in time.
pub fn wait_for(timeout: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if is_met() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
