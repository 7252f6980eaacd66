//! The platform's store: rows, conditional transactions, feeds, as PROTOCOL.md tells them, and the drill
//! of LETTER.md: it comes back from a copy some seconds old.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, serve};
use crate::json::{Json, from_base64, quote, to_base64};
use crate::record::Record;

type Key = (String, String, String);

#[derive(Clone)]
struct Change {
    ver: u64,
    key: Key,
    value: Option<Vec<u8>>,
}

/// What the drill rolls back.
#[derive(Clone, Default)]
pub struct Copy {
    rows: BTreeMap<Key, (u64, Vec<u8>)>,
    history: Vec<Change>,
    ver: u64,
}

struct State {
    now: Copy,
    era: u64,
    away: bool,
}

/// Changes a row of the table `servers` on its way to one node, for a proxy of this node's own.
pub type Rewrite = Arc<dyn Fn(&str, Vec<u8>) -> Vec<u8> + Send + Sync>;

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    started: Instant,
    record: Record,
}

impl Store {
    pub fn new(record: Record) -> Self {
        let state = State {
            now: Copy::default(),
            era: 1,
            away: false,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
            started: Instant::now(),
            record,
        }
    }

    /// Serves nodes at a new loopback address.
    pub fn serve(&self, rewrite: Option<Rewrite>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        serve(
            listener,
            Arc::new(move |request, _| store.handle(&request, rewrite.as_ref())),
        );
        address
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    pub fn version(&self) -> u64 {
        self.lock().now.ver
    }

    /// Writes a row for the operator or a replica. Returns the version, or `None` while the store is away.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Option<u64> {
        self.write(table, key, Some(value.as_bytes().to_vec()))
    }

    pub fn remove(&self, table: &str, key: &str) -> Option<u64> {
        self.write(table, key, None)
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) -> Option<u64> {
        let mut state = self.lock();
        if state.away {
            return None;
        }
        state.now.ver += 1;
        state
            .now
            .set((table.into(), String::new(), key.into()), value);
        let ver = state.now.ver;
        drop(state);
        self.changed.notify_all();
        Some(ver)
    }

    pub fn row(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.lock()
            .now
            .rows
            .get(&key)
            .map(|(_, value)| value.clone())
    }

    pub fn copy(&self) -> Copy {
        self.lock().now.clone()
    }

    /// Stops to answer calls: each gets 503, and those that wait for changes end without an answer.
    pub fn go_away(&self) {
        let mut state = self.lock();
        state.away = true;
        self.record
            .line(&format!("store away at version {}", state.now.ver));
        drop(state);
        self.changed.notify_all();
    }

    /// Comes back; with a copy, what was written since the copy is gone and the era rises.
    pub fn come_back(&self, copy: Option<Copy>) {
        let mut state = self.lock();
        if let Some(copy) = copy {
            let before = state.now.ver;
            state.now = copy;
            state.era += 1;
            let (ver, era) = (state.now.ver, state.era);
            self.record.line(&format!(
                "store back from a copy: version {ver}, was {before}; era {era}"
            ));
        } else {
            self.record
                .line(&format!("store back at version {}", state.now.ver));
        }
        state.away = false;
        drop(state);
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u64 {
        10_000_000 + self.started.elapsed().as_millis() as u64
    }

    fn handle(&self, request: &Request, rewrite: Option<&Rewrite>) -> Option<Response> {
        thread::sleep(Duration::from_millis(4));
        let (away, era) = {
            let state = self.lock();
            (state.away, state.era)
        };
        if away {
            return Some(Response::json(503, "{}".into()).with("Store-Era", era.to_string()));
        }
        let response = match (request.method.as_str(), request.path()) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => self.get(request, rewrite),
            ("GET", "/rows-feed") => self.feed(request, rewrite)?,
            _ => Response::json(404, "{}".into()),
        };
        let era = self.lock().era;
        Some(response.with("Store-Era", era.to_string()))
    }

    fn transact(&self, body: &[u8]) -> Response {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return Response::json(400, "{}".into());
        };
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let (writes, removed) = (call.list("writes"), call.list("remove"));
        let mut changed = writes.iter().chain(removed);
        if changed.any(|row| ["op", "servers"].contains(&row.text("table").as_str())) {
            return Response::json(403, "{}".into());
        }
        let mut state = self.lock();
        if state.away {
            return Response::json(503, "{}".into());
        }
        let expected = call.list("expected_rev");
        let current = |row: &Json| state.now.rows.get(&key(row)).map_or(0, |(ver, _)| *ver);
        if expected.iter().any(|row| current(row) != row.number("ver")) {
            let known = expected.iter().filter_map(|row| {
                let key = key(row);
                let (ver, value) = state.now.rows.get(&key)?;
                Some(row_json(&key, *ver, Some(value)))
            });
            let rows: Vec<String> = known.collect();
            return Response::json(412, format!("{{\"rows\":[{}]}}", rows.join(",")));
        }
        state.now.ver += 1;
        for row in writes {
            let Some(value) = from_base64(&row.text("value")) else {
                return Response::json(400, "{}".into());
            };
            state.now.set(key(row), Some(value));
        }
        for row in removed {
            state.now.set(key(row), None);
        }
        let ver = state.now.ver;
        drop(state);
        self.changed.notify_all();
        Response::json(
            200,
            format!("{{\"ver\":{ver},\"now_ms\":{}}}", self.now_ms()),
        )
    }

    fn get(&self, request: &Request, rewrite: Option<&Rewrite>) -> Response {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, target) = (request.query("from"), request.query("target"));
        let limit = request.query("limit").parse().unwrap_or(500_usize).min(500);
        let state = self.lock();
        let found = state.now.rows.iter().filter(|(key, _)| {
            key.0 == table
                && key.1 == part
                && key.2 >= from
                && (target.is_empty() || key.2 < target)
        });
        let found: Vec<_> = found.take(limit + 1).collect();
        let rows: Vec<String> = found
            .iter()
            .take(limit)
            .map(|(key, (ver, value))| row_json(key, *ver, Some(&rewritten(key, value, rewrite))))
            .collect();
        Response::json(
            200,
            format!(
                "{{\"rows\":[{}],\"has_more\":{},\"ver\":{},\"now_ms\":{}}}",
                rows.join(","),
                found.len() > limit,
                state.now.ver,
                self.now_ms()
            ),
        )
    }

    fn feed(&self, request: &Request, rewrite: Option<&Rewrite>) -> Option<Response> {
        let table = request.query("table");
        let after: u64 = request.query("after_rev").parse().unwrap_or(0);
        let wait = request
            .query("wait_ms")
            .parse()
            .unwrap_or(0_u64)
            .min(30_000);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.away || state.era != era {
                return None;
            }
            if after > state.now.ver {
                self.record.line(&format!(
                    "store: 410 for {table} after {after}, version {}",
                    state.now.ver
                ));
                return Some(Response::json(410, "{}".into()));
            }
            let newer = state
                .now
                .history
                .iter()
                .filter(|it| it.ver > after && it.key.0 == table);
            let rows: Vec<String> = newer
                .map(|it| {
                    let value = it
                        .value
                        .as_ref()
                        .map(|value| rewritten(&it.key, value, rewrite));
                    row_json(&it.key, it.ver, value.as_ref())
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (ver, now_ms) = (state.now.ver, self.now_ms());
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{ver},\"now_ms\":{now_ms}}}",
                    rows.join(",")
                );
                return Some(Response::json(200, body));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(|error| error.into_inner())
                .0;
        }
    }
}

impl Copy {
    fn set(&mut self, key: Key, value: Option<Vec<u8>>) {
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (self.ver, value.clone()));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.history.push(Change {
            ver: self.ver,
            key,
            value,
        });
    }
}

fn rewritten(key: &Key, value: &[u8], rewrite: Option<&Rewrite>) -> Vec<u8> {
    match rewrite {
        Some(rewrite) if key.0 == "servers" => rewrite(&key.2, value.to_vec()),
        _ => value.to_vec(),
    }
}

fn row_json(key: &Key, ver: u64, value: Option<&Vec<u8>>) -> String {
    let tail = match value {
        Some(value) => format!("\"value\":\"{}\"", to_base64(value)),
        None => "\"removed\":true".to_owned(),
    };
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{name},\"ver\":{ver},{tail}}}")
}
