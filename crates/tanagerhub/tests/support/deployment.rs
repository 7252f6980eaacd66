//! A test deployment: an in-memory store, scripted backend servers on loopback, and a simple
//! message format.
#![expect(dead_code, reason = "each test binary uses a part")]

pub mod backend_server;
mod http_exchange;
pub mod memory_store;
pub mod test_engines;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use tanagerhub::gateway::{
    Adapters, CallHead, Configuration, DecodedReport, Dialect, Engines, Gateway, GatewayMetrics,
    GatewaySettings, HeadError, KeyHolder, OperatorRow, ResponseKind, SelfReport, Store, Upstream,
};
use tanagerhub_catalogue::{
    Catalogue, CatalogueVersion, Class, Entry, EntryId, EntryKind, Epoch, GroupId, Ingress,
    IngressRoute, KeyHash, Limits, RouteKind, RouteTarget, ServiceEntry, Vm, VmState,
};
use tanagerhub_clock::{Clock, ManualClock};
use tanagerhub_groups::{EngineSpec, GroupReport, GroupState, LoadLimit, ModelSpec, VmReport};
use tanagerhub_proxy::ServerLimits;
use tanagerhub_standins::unused_address;
use xxhash_rust::xxh3::xxh3_64;

pub use self::backend_server::{BackendServer, Script};
use self::http_exchange::exchange;
pub use self::http_exchange::status;
pub use self::memory_store::MemoryStore;
pub use self::test_engines::TestEngines;

/// The data centre of all backend servers.
const DATA_CENTRE: &str = "here";
/// The service whose backend servers form groups.
const ENGINE: &str = "engine";
/// Its model.
const MODEL: &str = "model";
/// The catalogue entry of the model.
const MODEL_ENTRY: &str = "engine/model";
/// The interval at which the manual clock follows real time.
const CLOCK_STEP: Duration = Duration::from_millis(1);

/// A format in which a configuration row contains the version of a configuration that the test has
/// prepared.
#[derive(Debug, Default)]
pub struct TestDialect {
    configurations: Arc<Mutex<HashMap<u64, Configuration>>>,
    /// The address to which all connections to backend servers lead instead, if any.
    detour: Option<SocketAddr>,
}

impl TestDialect {
    pub fn add(&self, configuration: Configuration) {
        let mut known = self.configurations.lock().unwrap();
        known.insert(configuration.version, configuration);
    }
}

impl Dialect for TestDialect {
    fn operator_table(&self) -> &'static str {
        "operators"
    }

    fn vm_table(&self) -> &'static str {
        "vms"
    }

    fn operator_row(&self, name: &str) -> OperatorRow {
        match name {
            "configuration" => OperatorRow::Configuration,
            data_centre => OperatorRow::Evacuation(data_centre.to_owned()),
        }
    }

    fn configuration(&self, value: &[u8]) -> Result<Configuration, String> {
        let version: Option<u64> = String::from_utf8_lossy(value).parse().ok();
        let known = self.configurations.lock().unwrap();
        let found = version.and_then(|version| known.get(&version).cloned());
        found.ok_or_else(|| "no such version".to_owned())
    }

    fn vm(&self, name: &str, value: &[u8]) -> Result<VmReport, String> {
        let text = String::from_utf8_lossy(value);
        let mut words = text.split(' ');
        let mut word = || words.next().unwrap_or_default();
        let vm = Vm {
            name: name.to_owned(),
            service: Some(word().to_owned()),
            address: {
                let address = word().parse().map_err(|error| format!("{error}"))?;
                self.detour.unwrap_or(address)
            },
            data_centre: DATA_CENTRE.to_owned(),
            domain: String::new(),
            state: VmState::Live,
        };
        let role = word();
        let is_head = role == "head";
        let vm = Vm {
            state: if role == "leaving" {
                VmState::Leaving
            } else {
                VmState::Live
            },
            ..vm
        };
        Ok(VmReport {
            vm,
            started_ms: 1,
            slots: 4,
            cold_remaining: Duration::ZERO,
            staged: Vec::new(),
            served_model: is_head.then(|| MODEL.to_owned()),
            busy: None,
            order_count: None,
            group: is_head.then(|| GroupReport {
                group: GroupId(xxh3_64(name.as_bytes())),
                epoch: Epoch(1),
                rank: 0,
                state: GroupState::Open,
            }),
        })
    }

    fn head(&self, request: &Parts) -> Result<CallHead, HeadError> {
        let text = |name: &str| {
            let value = request.headers.get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Ok(CallHead {
            id: text("id").ok_or_else(|| HeadError {
                reason: "no id".to_owned(),
            })?,
            host: text("host").unwrap_or_default(),
            key: text("key"),
            timeout: text("deadline")
                .and_then(|millis| millis.parse().ok())
                .map(Duration::from_millis),
            model: text("model"),
            prompt_tokens: 0,
            max_tokens: 0,
            last_event: 0,
            shared_parts: text("parts").map_or_else(Vec::new, |parts| {
                let parts = parts.split(',').map(|part| xxh3_64(part.as_bytes()));
                parts.collect()
            }),
        })
    }

    fn upstream(&self, headers: &mut HeaderMap, upstream: &Upstream<'_>) {
        let mut set = |name: &'static str, value: String| {
            headers.insert(name, value.parse().unwrap());
        };
        set("after", upstream.last_event.to_string());
        set("left", upstream.time_left.as_millis().to_string());
        set("vm", upstream.vm.to_owned());
        if let Some(organisation) = upstream.organisation {
            set("organisation", organisation.to_owned());
        }
    }

    fn set_timeout(&self, headers: &mut HeaderMap, timeout: Duration) {
        headers.insert("deadline", timeout.as_millis().to_string().parse().unwrap());
    }

    fn response_kind(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> ResponseKind {
        let Some(named) = headers.get("id") else {
            return ResponseKind::Foreign;
        };
        if named != id {
            return ResponseKind::OfOther;
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            return ResponseKind::Misdirected;
        }
        if headers.contains_key("not-run") {
            return ResponseKind::NotRun;
        }
        ResponseKind::Valid
    }

    fn server_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, String> {
        let Some(value) = headers.get("limit") else {
            return Ok(None);
        };
        let limit = value.to_str().map_err(|error| error.to_string())?;
        let limit: f64 = limit.parse().map_err(|error| format!("{error}"))?;
        Ok(Some(limit))
    }

    fn self_report(&self, status: StatusCode, headers: &HeaderMap) -> DecodedReport {
        let pause = headers.get("pause").filter(|_| status == 503);
        let pause = pause.map(|millis| millis.to_str().unwrap().parse().unwrap());
        DecodedReport {
            report: SelfReport {
                leaving: headers.contains_key("leaving"),
                pause: pause.map(Duration::from_millis),
            },
            invalid: None,
        }
    }
}

/// A gateway with its deployment. A manual clock follows real time, and tests can advance it to
/// simulate that the process was frozen.
pub struct TestSetup {
    pub store: Arc<MemoryStore>,
    pub dialect: Arc<TestDialect>,
    pub engines: Arc<TestEngines>,
    pub gateway: Option<Gateway>,
    pub settings: GatewaySettings,
    pub manual_clock: Arc<ManualClock>,
    /// The start limits of the next configuration.
    pub start_limits: HashMap<EntryId, u32>,
    /// The maximum size of a request body in the next configuration.
    pub max_body_bytes: usize,
    /// The number of further routes in the next configuration, with the prefixes `/more-0/` and so on.
    pub more_routes: usize,
    version: u64,
}

impl TestSetup {
    pub async fn start() -> Self {
        Self::start_node("node", Arc::default(), Arc::default(), 0).await
    }

    /// Starts another node of the same deployment and waits until it is ready.
    pub async fn start_peer(&self, node: &str) -> Self {
        let (store, dialect) = (Arc::clone(&self.store), Arc::clone(&self.dialect));
        let peer = Self::start_node(node, store, dialect, self.version).await;
        peer.wait_until_ready().await;
        peer
    }

    /// Starts another node whose connections to backend servers lead to `address` and whose probes
    /// stay unanswered, and waits until it is ready.
    pub async fn start_cut_off_peer(&self, node: &str, address: SocketAddr) -> Self {
        let dialect = TestDialect {
            configurations: Arc::clone(&self.dialect.configurations),
            detour: Some(address),
        };
        let (store, dialect) = (Arc::clone(&self.store), Arc::new(dialect));
        let peer = Self::start_node(node, store, dialect, self.version).await;
        let names = (1..=9).map(|index| format!("vm-{index}"));
        peer.engines.unreachable.lock().unwrap().extend(names);
        peer.wait_until_ready().await;
        peer
    }

    /// Starts nodes in the data centre of the backend servers, without waiting until they are
    /// ready.
    ///
    /// They receive rows from each other, and this store's time stands still, so nothing but the
    /// store itself confirms keys.
    pub async fn start_beside_servers(nodes: &[&str]) -> Vec<Self> {
        let (store, dialect) = (Arc::<MemoryStore>::default(), Arc::<TestDialect>::default());
        let mut setups = Vec::new();
        for node in nodes {
            let edit = |mut settings: GatewaySettings| {
                DATA_CENTRE.clone_into(&mut settings.data_centre);
                settings.key_life(Duration::from_mins(10))
            };
            let (store, dialect) = (Arc::clone(&store), Arc::clone(&dialect));
            setups.push(Self::start_adjusted(node, store, dialect, 0, edit).await);
        }
        setups
    }

    async fn start_node(
        node: &str,
        store: Arc<MemoryStore>,
        dialect: Arc<TestDialect>,
        version: u64,
    ) -> Self {
        Self::start_adjusted(node, store, dialect, version, |settings| settings).await
    }

    /// Starts a gateway with a memory limit, which accepts the keys `k1` and, for the least urgent
    /// priority, `batch`.
    pub async fn with_memory(
        backends: &[(&str, &BackendServer)],
        adjust: impl FnOnce(GatewaySettings) -> GatewaySettings,
    ) -> Self {
        let (store, dialect) = (Arc::default(), Arc::default());
        let mut setup = Self::start_adjusted("node", store, dialect, 0, adjust).await;
        setup.max_body_bytes = 16 << 20;
        setup.configure(&["k1", "batch"]);
        for (index, (service, backend)) in backends.iter().enumerate() {
            setup.register(&format!("vm-{}", index + 1), service, backend);
        }
        setup.wait_until_ready().await;
        setup
    }

    async fn start_adjusted(
        node: &str,
        store: Arc<MemoryStore>,
        dialect: Arc<TestDialect>,
        version: u64,
        adjust: impl FnOnce(GatewaySettings) -> GatewaySettings,
    ) -> Self {
        let (clock, manual_clock) = Clock::manual();
        // A confirmation at moment zero would count as none.
        manual_clock.advance(Duration::from_secs(100));
        let [callers, ready, metrics, peers] = [(); 4].map(|()| unused_address().unwrap());
        // Nodes of one data centre would read rows from each other, whose clocks differ here.
        let data_centre = format!("centre-of-{node}");
        let settings = GatewaySettings::new(node, &data_centre, callers, ready)
            .metrics(metrics)
            .peers(peers)
            .retries(1.0, 1_000.0);
        let settings = adjust(settings);
        let engines = Arc::<TestEngines>::default();
        let adapters = Adapters {
            store: Arc::clone(&store) as Arc<dyn Store>,
            engines: Arc::clone(&engines) as Arc<dyn Engines>,
            dialect: Arc::clone(&dialect) as Arc<dyn Dialect>,
        };
        let metrics = GatewayMetrics::default();
        let gateway = Gateway::start(settings.clone(), adapters, clock, metrics)
            .await
            .unwrap();
        let running_clock = Arc::clone(&manual_clock);
        task::spawn(async move {
            let mut last = Instant::now();
            loop {
                task::sleep(CLOCK_STEP).await;
                let now = Instant::now();
                running_clock.advance(now - last);
                last = now;
            }
        });
        Self {
            store,
            dialect,
            engines,
            gateway: Some(gateway),
            settings,
            manual_clock,
            start_limits: HashMap::new(),
            max_body_bytes: 1_000,
            more_routes: 0,
            version,
        }
    }

    /// Starts a gateway that accepts the key `k1`, with backend servers by service.
    pub async fn with_backends(backends: &[(&str, &BackendServer)]) -> Self {
        let mut setup = Self::start().await;
        setup.configure(&["k1"]);
        for (index, (service, backend)) in backends.iter().enumerate() {
            setup.register(&format!("vm-{}", index + 1), service, backend);
        }
        setup.wait_until_ready().await;
        setup
    }

    /// Publishes a configuration with one route per kind, such as `/safe/`, and the given keys.
    pub fn configure(&mut self, keys: &[&str]) {
        self.configure_with(keys, "desk");
    }

    /// The same with another service in place of `desk`.
    pub fn configure_with(&mut self, keys: &[&str], desk: &str) {
        self.publish(Some(keys), desk);
    }

    /// The same for callers that need no key.
    pub fn configure_without_keys(&mut self) {
        self.publish(None, "desk");
    }

    fn publish(&mut self, keys: Option<&[&str]>, desk: &str) {
        self.version += 1;
        let route = |prefix: &str, kind, service: &str, public| {
            let mut route = IngressRoute::new("shop", prefix);
            route.kind = kind;
            route.timeout = Duration::from_secs(5);
            route.first_byte_objective = Duration::from_millis(200);
            route.max_attempts = 2;
            route.public = public;
            route.targets = vec![RouteTarget {
                service: service.to_owned(),
                weight: 1,
            }];
            route
        };
        let entry = |name: &str| Entry {
            name: name.to_owned(),
            owner: String::new(),
            class: Class::Interactive,
            limits: Limits {
                first_byte_timeout: Duration::from_mins(1),
                ..Limits::default()
            },
            kind: EntryKind::Service(ServiceEntry {
                routes: Vec::new(),
                deduplicates: false,
            }),
        };
        let more = (0..self.more_routes).map(|index| {
            route(
                &format!("/more-{index}/"),
                RouteKind::Idempotent,
                desk,
                false,
            )
        });
        let bare = IngressRoute {
            targets: Vec::new(),
            ..route("/bare/", RouteKind::Idempotent, desk, false)
        };
        let holder = KeyHolder {
            organisation: Arc::from("fit"),
            priority: None,
        };
        self.dialect.add(Configuration {
            version: self.version,
            catalogue: Arc::new(Catalogue {
                version: CatalogueVersion(self.version),
                entries: vec![entry(desk), entry("llm"), entry(MODEL_ENTRY)],
                ..Catalogue::default()
            }),
            ingress: Ingress::new(
                [
                    route("/safe/", RouteKind::Idempotent, desk, false),
                    route("/unsafe/", RouteKind::Unrepeatable, desk, false),
                    route("/public/", RouteKind::Idempotent, desk, true),
                    route("/stream/", RouteKind::ResumableStream, "llm", false),
                    route("/once/", RouteKind::Stream, "llm", false),
                    route("/grouped/", RouteKind::ResumableStream, ENGINE, false),
                ]
                .into_iter()
                .chain([bare])
                .chain(more)
                .collect(),
            ),
            engines: vec![engine()],
            start_limits: self.start_limits.clone(),
            memory_tokens: HashMap::new(),
            token_read_times: HashMap::new(),
            keys: keys.map(|keys| {
                let holders = keys.iter().map(|key| {
                    let priority = (*key == "batch").then_some(2);
                    let holder = holder.clone();
                    (KeyHash::of(key), KeyHolder { priority, ..holder })
                });
                holders.collect()
            }),
            limits: ServerLimits::default(),
            max_body_bytes: self.max_body_bytes,
        });
        let version = self.version.to_string();
        self.store.put("operators", "configuration", &version);
    }

    /// Writes the row of a backend server to the store.
    pub fn register(&self, name: &str, service: &str, backend: &BackendServer) {
        let row = format!("{service} {}", backend.address);
        self.store.put("vms", name, &row);
    }

    /// Writes the row of the head of a group to the store, and waits until the node has received it.
    pub async fn register_head(&self, name: &str, backend: &BackendServer) {
        let row = format!("{ENGINE} {} head", backend.address);
        self.store.put("vms", name, &row);
        task::sleep(Duration::from_millis(1_300)).await;
    }

    /// Replaces a backend server that has crashed by one at the same address, and waits until the
    /// nodes have received the rows.
    pub async fn replace_backend(&self, name: &str, by: &str, service: &str, at: &BackendServer) {
        self.store.remove("vms", name);
        self.register(by, service, at);
        task::sleep(Duration::from_millis(1_300)).await;
    }

    /// Waits until the node accepts requests and has received the rows of all backend servers.
    pub async fn wait_until_ready(&self) {
        while self.ready().await != 200 {
            task::sleep(Duration::from_millis(5)).await;
        }
        task::sleep(Duration::from_millis(1_300)).await;
    }

    /// Returns the status of the readiness check.
    pub async fn ready(&self) -> u16 {
        let response = exchange(
            self.settings.ready_address,
            "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n",
        )
        .await;
        status(&response)
    }

    /// Returns the state dump once it fulfils a condition; panics after `timeout`.
    pub async fn wait_for_state(
        &self,
        timeout: Duration,
        is_met: impl Fn(&serde_json::Value) -> bool,
    ) -> serde_json::Value {
        let address = self.settings.metrics_address.unwrap();
        let request = "GET /state HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let started = Instant::now();
        loop {
            let text = exchange(address, request).await;
            let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            let state = serde_json::from_str(body).unwrap_or_default();
            if is_met(&state) {
                return state;
            }
            assert!(started.elapsed() < timeout, "{text}");
            task::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the value of a metric, whose name includes its labels.
    pub async fn metric(&self, name: &str) -> u64 {
        let address = self.settings.metrics_address.unwrap();
        let request = "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let text = exchange(address, request).await;
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        let value = line.and_then(|value| value.trim().parse().ok());
        value.unwrap_or_else(|| panic!("no {name} in {text}"))
    }

    /// Returns the reserved bytes of a part of the memory budget.
    pub async fn memory_used(&self, part: &str) -> u64 {
        let name = format!("tanagerhub_memory_used_bytes{{part=\"{part}\"}}");
        self.metric(&name).await
    }

    /// Waits until at least this number of bytes of a part are reserved.
    pub async fn wait_until_memory_used(&self, part: &str, bytes: u64) {
        let started = Instant::now();
        while self.memory_used(part).await < bytes {
            assert!(
                started.elapsed() < Duration::from_secs(5),
                "{part} below {bytes}"
            );
            task::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until no byte of the memory budget is reserved.
    pub async fn wait_until_memory_is_free(&self) {
        for part in ["bodies", "responses"] {
            let started = Instant::now();
            while self.memory_used(part).await > 0 {
                assert!(
                    started.elapsed() < Duration::from_secs(5),
                    "{part} not given back"
                );
                task::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Sends a request with a valid key and returns the complete response.
    pub async fn send(&self, method: &str, path: &str) -> String {
        self.send_with_headers(method, path, "key: k1\r\n").await
    }

    pub async fn send_with_headers(&self, method: &str, path: &str, headers: &str) -> String {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop\r\nid: 1\r\n{headers}Connection: close\r\n\r\n"
        );
        exchange(self.settings.caller_address, &request).await
    }
}

/// Returns the engine of a model whose groups are not formed by the node.
fn engine() -> EngineSpec {
    EngineSpec {
        service: ENGINE.to_owned(),
        slots: 4,
        models: vec![ModelSpec {
            name: MODEL.to_owned(),
            entry: EntryId::of(MODEL_ENTRY),
            group_size: 0,
            share: 0.0,
            load_time: Duration::ZERO,
            join_time: Duration::ZERO,
        }],
        load_limit: LoadLimit {
            per_second: 1.0,
            concurrent: 1,
        },
    }
}
