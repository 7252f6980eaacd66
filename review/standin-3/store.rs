//! A stand-in of the platform's store: tables with transactions and feeds, always sound.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Channel, Message, Server};
use crate::json::{Json, base64};

/// The usual time of an answer.
const ANSWER_MS: u64 = 4;

type Key = (String, String);

#[derive(Default)]
struct Rows {
    /// The version and the value of each row, in base64.
    current: BTreeMap<Key, (u64, String)>,
    /// All changes in their order.
    history: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    /// The time that an answer takes, in milliseconds.
    answer_ms: AtomicU64,
}

/// The way of one node to the store, which can be cut.
pub struct StoreLink {
    pub server: Server,
    is_cut: Arc<AtomicBool>,
}

impl StoreLink {
    /// Cuts the way, or heals it: while it is cut nothing is answered and nothing is done.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            answer_ms: AtomicU64::new(ANSWER_MS),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes answers take so many times as long; 1 ends that.
    pub fn slow(&self, times: u64) {
        self.answer_ms.store(ANSWER_MS * times, Ordering::SeqCst);
    }

    /// Writes a row of the operator or of a replica; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.lock();
        rows.version += 1;
        let version = rows.version;
        let value = value.map(|value| base64(value.as_bytes()));
        rows.write((table.to_owned(), key.to_owned()), value, version);
        drop(rows);
        self.changed.notify_all();
    }

    /// Opens a way to the store.
    pub fn link(self: &Arc<Self>) -> io::Result<StoreLink> {
        let is_cut = Arc::new(AtomicBool::new(false));
        let (store, cut) = (Arc::clone(self), Arc::clone(&is_cut));
        let server = Server::start(move |request, channel| store.handle(&request, channel, &cut))?;
        Ok(StoreLink { server, is_cut })
    }

    fn handle(
        &self,
        request: &Message,
        channel: &mut Channel,
        is_cut: &AtomicBool,
    ) -> io::Result<()> {
        let wait_while_cut = || -> io::Result<()> {
            if !is_cut.load(Ordering::SeqCst) {
                return Ok(());
            }
            while is_cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
            }
            // What was sent into the cut is lost.
            Err(io::ErrorKind::ConnectionReset.into())
        };
        wait_while_cut()?;
        thread::sleep(Duration::from_millis(self.answer_ms.load(Ordering::SeqCst)));
        let path = request.target().split('?').next().unwrap_or_default();
        let (status, body) = match path {
            "/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            "/rows-get" => (200, self.read(request)),
            "/rows-feed" => (200, self.follow(request, is_cut)),
            _ => (404, "{}".to_owned()),
        };
        wait_while_cut()?;
        channel.respond(
            status,
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        )
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis() + 1_000_000
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| (row.text("table").to_owned(), row.text("key").to_owned());
        let mut rows = self.lock();
        let is_met = body.list("expected_rev").iter().all(|row| {
            let version = rows.current.get(&key(row)).map_or(0, |it| it.0);
            version == row.number("ver").unwrap_or(0)
        });
        if !is_met {
            return (412, "{\"rows\":[]}".to_owned());
        }
        rows.version += 1;
        let version = rows.version;
        for row in body.list("writes") {
            rows.write(key(row), Some(row.text("value").to_owned()), version);
        }
        for row in body.list("remove") {
            rows.write(key(row), None, version);
        }
        drop(rows);
        self.changed.notify_all();
        let now = self.now_ms();
        (200, format!("{{\"ver\":{version},\"now_ms\":{now}}}"))
    }

    fn read(&self, request: &Message) -> String {
        let (table, from) = (request.query("table"), request.query("from").to_owned());
        let rows = self.lock();
        let of_table = rows.current.iter().filter(|(key, _)| key.0 == table);
        let listed: Vec<String> = of_table
            .filter(|(key, _)| from.is_empty() || key.1 >= from)
            .map(|(key, (version, value))| row_text(key, *version, Some(value)))
            .collect();
        self.page(&listed, rows.version)
    }

    fn follow(&self, request: &Message, is_cut: &AtomicBool) -> String {
        let table = request.query("table").to_owned();
        let after: u64 = request.query("after_rev").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let start = Instant::now();
        let mut rows = self.lock();
        loop {
            let of_table = rows.history.iter().rev().take_while(|it| it.0 > after);
            let mut listed: Vec<String> = of_table
                .filter(|it| it.1.0 == table)
                .map(|it| row_text(&it.1, it.0, it.2.as_deref()))
                .collect();
            listed.reverse();
            let left = wait.saturating_sub(start.elapsed());
            if !listed.is_empty() || left.is_zero() || is_cut.load(Ordering::SeqCst) {
                return self.page(&listed, rows.version);
            }
            let step = left.min(Duration::from_millis(50));
            rows = self
                .changed
                .wait_timeout(rows, step)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let (rows, now) = (rows.join(","), self.now_ms());
        format!("{{\"rows\":[{rows}],\"has_more\":false,\"ver\":{version},\"now_ms\":{now}}}")
    }
}

impl Rows {
    fn write(&mut self, key: Key, value: Option<String>, version: u64) {
        match &value {
            Some(value) => {
                self.current.insert(key.clone(), (version, value.clone()));
            }
            None => {
                self.current.remove(&key);
            }
        }
        self.history.push((version, key, value));
    }
}

fn row_text(key: &Key, version: u64, value: Option<&str>) -> String {
    let (table, name) = key;
    let value = value.map_or("\"removed\":true".to_owned(), |it| {
        format!("\"value\":\"{it}\"")
    });
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{name}\",{value},\"ver\":{version}}}")
}
