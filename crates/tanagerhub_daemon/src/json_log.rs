//! Structured JSON logs on standard output.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::fmt::Formatter;
use env_logger::{Builder, Target, WriteStyle};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

/// The number of lines that may be queued for standard output.
const MAX_QUEUED_LINES: usize = 4_096;

/// Installs a logger that writes JSON lines to standard output from its own thread, so that the
/// caller never waits for it.
///
/// `filters` has the syntax of `env_logger`. A line that does not fit into the queue is dropped,
/// and `dropped` is called.
///
/// # Panics
///
/// Panics if a logger is already set, or if the thread can't be started.
pub fn json_log(filters: &str, dropped: impl Fn() + Send + 'static) {
    let (sender, lines) = sync_channel(MAX_QUEUED_LINES);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines))
        .expect("a thread for the log can be started");
    let queue = LineQueue {
        sender,
        dropped: Box::new(dropped),
    };
    Builder::new()
        .parse_filters(filters)
        .write_style(WriteStyle::Never)
        .target(Target::Pipe(Box::new(queue)))
        .format(write_json)
        .init();
}

/// Queues complete lines for the thread that writes them.
struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    dropped: Box<dyn Fn() + Send>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(line.to_vec()).is_err() {
            (self.dropped)();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the channel or standard output is closed; all queued lines in one write.
fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(mut block) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            block.extend_from_slice(&line);
        }
        if output
            .write_all(&block)
            .and_then(|()| output.flush())
            .is_err()
        {
            // Standard output is closed, and the error can be reported nowhere else.
            return;
        }
    }
}

fn write_json(formatter: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut line = Map::new();
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    line.insert(
        "time_ms".to_owned(),
        u64::try_from(millis).unwrap_or(u64::MAX).into(),
    );
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("target".to_owned(), record.target().into());
    line.insert("message".to_owned(), record.args().to_string().into());
    record
        .key_values()
        .visit(&mut JsonFields(&mut line))
        .map_err(io::Error::other)?;
    serde_json::to_writer(&mut *formatter, &line).map_err(io::Error::other)?;
    formatter.write_all(b"\n")
}

/// Adds the key-value pairs of a record to a JSON object.
struct JsonFields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value
            .to_u64()
            .map(Into::into)
            .or_else(|| value.to_i64().map(Into::into))
            .or_else(|| value.to_f64().map(Into::into))
            .or_else(|| value.to_bool().map(Into::into))
            .unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
