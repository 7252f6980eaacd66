//! Case: one replica of a plain service hands out bytes that are no response for a few of the
//! requests that it has run.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Channel, Message, Server, call, wait_for};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "hire.example";
const REPLICAS: usize = 3;
/// Of every so many requests that the faulty replica runs, it spoils the answer of one: 2.5 in 100.
const SPOILED_EVERY: usize = 40;
const REQUESTS: usize = 3_600;
const CLIENTS: usize = 6;

/// What the bytes of the faulty replica begin like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Success,
    Refusal,
}

impl Kind {
    /// Returns bytes that are no response in the protocol: none of them names the request or bears a
    /// stamp, and none says that the request has not run.
    const fn bytes(self) -> [&'static str; 3] {
        match self {
            Self::Success => [
                "\u{1}\u{2}\u{3} 7f3a91c2 c9f2a4d1\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\nc9f2a4d1 7f3a91c2 5c1e07a2 91bd3f06",
                "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\nc9f2a4d1 7f3a91c2",
            ],
            Self::Refusal => [
                "\u{1}\u{2}\u{3} 7f3a91c2 c9f2a4d1\r\n\r\n",
                "HTTP/1.1 503 Service Unavailable\r\n\r\nc9f2a4d1 7f3a91c2 5c1e07a2 91bd3f06",
                "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 17\r\n\r\nc9f2a4d1 7f3a91c2",
            ],
        }
    }
}

struct Replica {
    id: String,
    /// How it spoils answers, if it does.
    spoils: Option<Kind>,
    runs: AtomicUsize,
    /// How each request ended here.
    ended: Mutex<BTreeMap<String, &'static str>>,
    record: Record,
}

impl Replica {
    fn handle(&self, request: &Message, channel: &mut Channel) -> io::Result<()> {
        if request.target() == "/health" {
            let id = format!("X-Tanagerhub-Instance-Id: {}\r\n", self.id);
            return channel.respond(200, &id, b"");
        }
        let expected = request
            .header("x-tanagerhub-expect-instance")
            .unwrap_or(&self.id);
        let request_id = request
            .header("x-tanagerhub-request-id")
            .unwrap_or("")
            .to_owned();
        let echo = format!("X-Tanagerhub-Request-Id: {request_id}\r\n");
        if expected != self.id {
            let not_run = format!("{echo}X-Tanagerhub-Not-Run: 1\r\n");
            return channel.respond(421, &not_run, b"");
        }
        let number = self.runs.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(5));
        if let Some(kind) = self.spoils
            && number % SPOILED_EVERY == SPOILED_EVERY - 1
        {
            let bytes = kind.bytes()[number / SPOILED_EVERY % 3];
            self.ended
                .lock()
                .unwrap()
                .insert(request_id.clone(), "spoiled");
            self.record
                .add(format!("{} ran {request_id} and sends {bytes:?}", self.id));
            channel.write(bytes.as_bytes())?;
            return Err(io::ErrorKind::Other.into());
        }
        self.ended
            .lock()
            .unwrap()
            .insert(request_id.clone(), "answered");
        let stamp = format!("{echo}X-Tanagerhub-Server-Stamp: {}.{number}\r\n", self.id);
        channel.respond(200, &stamp, format!("done {request_id}").as_bytes())
    }
}

fn config(store: &Store) {
    store.put("op", "config", Some(&format!(
        r#"{{"version":7,
"routes":[
{{"name":"kit-booking","host":"{HOST}","prefix":"/book/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":100,"priority":1,"service":"hire-desk","max_attempts":3,"public":false}},
{{"name":"stock-lookup","host":"{HOST}","prefix":"/stock/","kind":"safe","timeout_ms":1500,"target_latency_ms":100,"priority":1,"service":"hire-desk","max_attempts":3,"public":false}}],
"services":[{{"name":"hire-desk","health_path":"/health","max_conns":51,"cold_per_s":0}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"shire","api_keys":["k1"],"priority":1}}]}}"#
    )));
}

pub fn run(folder: &Path, trouble: bool, record: &Record, kind: Kind) -> io::Result<Option<bool>> {
    let store = Store::new();
    config(&store);
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let replica = Arc::new(Replica {
            id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(index as u32 + 1)),
            spoils: Some(kind).filter(|_| trouble && index == 0),
            runs: AtomicUsize::new(0),
            ended: Mutex::default(),
            record: record.clone(),
        });
        let serving = Arc::clone(&replica);
        let server = Server::start(move |request, channel| serving.handle(&request, channel))?;
        let row = format!(
            r#"{{"service":"hire-desk","address":"{}","zone":"tbs-a","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":1,"born":{}}}"#,
            server.address,
            1_780_000_000_000_u64 + index as u64
        );
        store.put("servers", &replica.id, Some(&row));
        replicas.push(replica);
    }
    let mut nodes = Vec::new();
    for number in 0..2 {
        let mut node = Node::new(
            &format!("front-tbs-a-{}", number + 1),
            number,
            folder,
            &store,
        )?;
        node.start(true)?;
        nodes.push(node);
    }
    if !nodes.iter().all(Node::wait_ready) {
        record.add("the nodes are not ready");
        return Ok(None);
    }
    let served = |address| {
        let head = format!(
            "GET /stock/x HTTP/1.1\r\nHost: {HOST}\r\nX-Tanagerhub-Request-Id: warm\r\nX-Tanagerhub-Deadline-Ms: 1500\r\nAuthorization: Bearer k1\r\nConnection: close\r\n"
        );
        let response = call(address, &head, b"", Duration::from_secs(2));
        response.is_ok_and(|it| it.status() == 200)
    };
    for node in &nodes {
        if !wait_for(Duration::from_secs(10), || served(node.callers())) {
            record.add("a node serves nothing");
            return Ok(None);
        }
    }
    let addresses: Vec<_> = nodes.iter().map(Node::callers).collect();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (addresses, answers) = (addresses.clone(), Arc::clone(&answers));
            thread::spawn(move || {
                for number in 0..REQUESTS / CLIENTS {
                    let id = format!("{client:02x}{number:06x}");
                    let (method, path) = if number % 2 == 0 {
                        ("POST", "/book/kit")
                    } else {
                        ("GET", "/stock/kit")
                    };
                    let head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Tanagerhub-Request-Id: {id}\r\nX-Tanagerhub-Deadline-Ms: 1500\r\nAuthorization: Bearer k1\r\nConnection: close\r\n");
                    let address = addresses[(client + number) % addresses.len()];
                    let answer = call(address, &head, b"", Duration::from_secs(2));
                    answers.lock().unwrap().push((id, path, answer));
                    thread::sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let mut broken = 0;
    let mut statuses: BTreeMap<String, usize> = BTreeMap::new();
    for (id, path, answer) in answers.lock().unwrap().iter() {
        let ends = replicas
            .iter()
            .filter_map(|it| Some((it.id.clone(), *it.ended.lock().unwrap().get(id)?)));
        let ends: Vec<_> = ends.collect();
        let text = match answer {
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.kind().to_string(),
        };
        *statuses.entry(text.clone()).or_default() += 1;
        if ends.iter().any(|it| it.1 == "spoiled") {
            record.add(format!(
                "request {id} ({path}): answered {text}; at the replicas: {ends:?}"
            ));
        }
        let Ok(answer) = answer else {
            continue;
        };
        let is_broken = match kind {
            Kind::Success => {
                let has_stamp = answer.header("x-tanagerhub-server-stamp").is_some();
                (200..300).contains(&answer.status()) && !has_stamp
            }
            Kind::Refusal => {
                let promises = [408, 421, 429, 503].contains(&answer.status());
                promises && path.starts_with("/book/") && !ends.is_empty()
            }
        };
        if is_broken {
            broken += 1;
            let rule = if kind == Kind::Success {
                "MIXED"
            } else {
                "REFUSED"
            };
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            record.add(format!(
                "{rule}: request {id} ({path}) got {:?}, headers {:?}, body {body:?}; at the replicas: {ends:?}",
                answer.first_line, answer.headers
            ));
        }
    }
    record.add(format!(
        "answers by status: {statuses:?}; answers that break the rule: {broken}"
    ));
    if nodes.iter_mut().any(Node::has_ended) {
        record.add("a node has ended by itself");
    }
    Ok(Some(broken > 0))
}
