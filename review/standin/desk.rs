//! A replica of a service without engines, as PROTOCOL.md tells it.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, serve};
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

/// Work of one request.
const WORK: Duration = Duration::from_millis(15);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub server: String,
    /// The key that was passed on with the request.
    pub key: Option<String>,
}

pub struct Desk {
    pub id: String,
    pub address: SocketAddr,
    born: u64,
    /// What the replica's entry says, beside `seq`.
    entry: Mutex<String>,
    /// Headers of all answers.
    pub extra: Mutex<Vec<(String, String)>>,
    /// Whether the replica writes to the store.
    pub registers: Mutex<bool>,
}

pub fn born_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    now.as_millis() as u64
}

impl Desk {
    pub fn start(
        store: &Store,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
        id: &str,
        service: &str,
        zone: &str,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let born = born_ms();
        let entry = format!(
            "\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"born\":{}",
            quote(service),
            quote(zone),
            born
        );
        let desk = Arc::new(Self {
            id: id.to_owned(),
            address,
            born,
            entry: Mutex::new(entry),
            extra: Mutex::default(),
            registers: Mutex::new(true),
        });
        let (own, record, runs) = (Arc::clone(&desk), record.clone(), Arc::clone(runs));
        serve(
            listener,
            Arc::new(move |request, _| Some(own.answer(&request, &record, &runs))),
        );
        let (own, store) = (Arc::clone(&desk), store.clone());
        thread::spawn(move || own.register(&store));
        desk
    }

    /// Begins to leave without a report to the store: all answers say so from now on.
    pub fn leave(&self) {
        *self.registers.lock().unwrap() = false;
        self.extra
            .lock()
            .unwrap()
            .push(("Server-Leaving".into(), "1".into()));
    }

    /// Keeps the entry in the store; an entry that is the same but for `seq` isn't written.
    fn register(&self, store: &Store) {
        let mut seq = 0;
        loop {
            seq += 1;
            let entry = self.entry.lock().unwrap().clone();
            let known = store.row("servers", &self.id);
            let known = known.map(|it| String::from_utf8_lossy(&it).into_owned());
            let same = known.is_some_and(|known| known.starts_with(&format!("{{{entry},\"seq\"")));
            if *self.registers.lock().unwrap() && !same {
                store.put("servers", &self.id, &format!("{{{entry},\"seq\":{seq}}}"));
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn answer(&self, request: &Request, record: &Record, runs: &Mutex<Vec<Run>>) -> Response {
        let response = self.run(request, record, runs);
        let extra = self.extra.lock().unwrap().clone();
        extra
            .into_iter()
            .fold(response, |it, (name, value)| it.with(&name, value))
    }

    fn run(&self, request: &Request, record: &Record, runs: &Mutex<Vec<Run>>) -> Response {
        if request.path() == "/health" {
            return Response::empty(200).with("X-Tanagerhub-Instance-Id", self.id.as_str());
        }
        if request.path() == "/report" {
            let expected = request.header("X-Tanagerhub-Expect-Instance");
            if expected.is_some_and(|it| it != self.id) {
                return Response::empty(421);
            }
            return Response::json(
                200,
                format!(
                    "{{\"stage\":\"colocated\",\"models\":[],\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":0,\
                     \"kv_used\":0,\"kv_total\":0,\"handles\":0,\"pace\":1.0,\"born\":{}}}",
                    self.born
                ),
            );
        }
        let id = request
            .header("X-Tanagerhub-Request-Id")
            .unwrap_or_default()
            .to_owned();
        let echoed = |response: Response| response.with("X-Tanagerhub-Request-Id", id.clone());
        let expected = request.header("X-Tanagerhub-Expect-Instance");
        if expected.is_some_and(|it| it != self.id) {
            return echoed(Response::empty(421).with("X-Tanagerhub-Not-Run", "1"));
        }
        let tenant = request.header("X-Tanagerhub-Tenant").map(str::to_owned);
        let key = request.header("Authorization").map(str::to_owned);
        record.line(&format!(
            "run    {id} at {} tenant {tenant:?} key {key:?}",
            self.id
        ));
        let run = Run {
            id: id.clone(),
            server: self.id.clone(),
            key,
        };
        runs.lock().unwrap().push(run);
        thread::sleep(WORK);
        let mut response = Response::json(200, format!("{{\"done\":{}}}", quote(&id)));
        response = response.with("X-Tanagerhub-Server-Stamp", format!("{}.{id}", self.id));
        echoed(response)
    }
}
