//! Replicas of a service with engines, which serve in groups, as PROTOCOL.md tells them. They note each join
//! that breaks the rule TWO.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::desk::born_ms;
use crate::http::{Request, Response, serve};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The time of an `open`.
const FORM: Duration = Duration::from_millis(300);
/// The time of a join whose model was that of the member's last group.
const REJOIN: Duration = Duration::from_millis(200);
/// The time after which a group without a member is broken: `stall_ms`.
const STALL: Duration = Duration::from_secs(5);
/// The events of a stream, and the pause before each.
const EVENTS: usize = 35;
const GAP: Duration = Duration::from_millis(50);
const TICK: Duration = Duration::from_millis(20);

/// A model of the service.
#[derive(Debug, Clone, Copy)]
pub struct Model {
    pub name: &'static str,
    pub size: usize,
    pub load: Duration,
    pub warm: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Joining,
    Ready,
    Opening,
    Open,
    Closing,
    Broken,
}

#[derive(Debug, Clone)]
struct Group {
    name: String,
    epoch: u64,
    model: String,
    members: Vec<String>,
    stage: Stage,
    /// When the stage in progress ends.
    until: Option<Instant>,
}

#[derive(Debug)]
struct Vm {
    id: String,
    address: SocketAddr,
    zone: String,
    domain: String,
    born: u64,
    seq: u64,
    staged: Option<String>,
    loading: Option<(String, Instant)>,
    last_model: Option<String>,
    top_epoch: u64,
    group: Option<Group>,
    /// Since when a member of the group that it serves has been in another one or in none.
    incomplete_since: Option<Instant>,
    /// Streams that run here.
    running: Arc<AtomicUsize>,
    /// The entry that was written last.
    written: String,
    next_beat: Instant,
}

/// All engine replicas of a deployment.
#[derive(Clone)]
pub struct Engines {
    vms: Arc<Mutex<Vec<Vm>>>,
    models: Arc<Vec<Model>>,
    service: String,
    record: Record,
    store: Store,
    broken: Arc<Mutex<Vec<String>>>,
    /// Whether requests have arrived, so that loads take their full time.
    in_use: Arc<Mutex<bool>>,
}

impl Engines {
    pub fn new(store: &Store, record: &Record, service: &str, models: Vec<Model>) -> Self {
        let engines = Self {
            vms: Arc::default(),
            models: Arc::new(models),
            service: service.to_owned(),
            record: record.clone(),
            store: store.clone(),
            broken: Arc::default(),
            in_use: Arc::default(),
        };
        let own = engines.clone();
        thread::spawn(move || own.live());
        engines
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Vm>> {
        self.vms.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Starts a replica, whose heartbeats come at `phase` of their interval.
    pub fn add(&self, id: &str, zone: &str, domain: &str, phase: f64) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let vm = Vm {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            zone: zone.to_owned(),
            domain: domain.to_owned(),
            born: born_ms(),
            seq: 0,
            staged: None,
            loading: None,
            last_model: None,
            top_epoch: 0,
            group: None,
            incomplete_since: None,
            running: Arc::default(),
            written: String::new(),
            next_beat: Instant::now() + HEARTBEAT.mul_f64(phase),
        };
        self.lock().push(vm);
        let (own, id) = (self.clone(), id.to_owned());
        serve(
            listener,
            Arc::new(move |request, _| Some(own.answer(&id, &request))),
        );
        self.write_changed();
    }

    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().unwrap().clone()
    }

    pub fn set_in_use(&self) {
        *self.in_use.lock().unwrap() = true;
    }

    /// Returns the heads of the open groups.
    pub fn open_heads(&self) -> Vec<String> {
        let vms = self.lock();
        let is_open = |vm: &&Vm| {
            vm.group
                .as_ref()
                .is_some_and(|group| group.stage == Stage::Open)
        };
        vms.iter().filter(is_open).map(|vm| vm.id.clone()).collect()
    }

    /// Returns whether a replica whose id begins so has staged a model.
    pub fn has_staged(&self, prefix: &str) -> bool {
        self.lock()
            .iter()
            .any(|vm| vm.id.starts_with(prefix) && vm.staged.is_some())
    }

    /// Carries on what takes time, and keeps the entries in the store.
    fn live(&self) {
        loop {
            thread::sleep(TICK);
            let now = Instant::now();
            for vm in self.lock().iter_mut() {
                vm.carry_on(now, &self.record);
            }
            break_incomplete(&mut self.lock(), now, &self.record);
            self.write_changed();
            self.beat(now);
        }
    }

    /// Writes entries that have changed at once, if the store answers.
    fn write_changed(&self) {
        for vm in self.lock().iter_mut() {
            let entry = vm.entry(&self.service);
            if entry != vm.written && self.put(vm, &entry) {
                vm.written = entry;
            }
        }
    }

    /// At each heartbeat, an entry that the store hasn't, or has otherwise, is written again.
    fn beat(&self, now: Instant) {
        for vm in self.lock().iter_mut().filter(|vm| vm.next_beat <= now) {
            vm.next_beat += HEARTBEAT;
            let entry = vm.entry(&self.service);
            let known = self.store.row("servers", &vm.id);
            let known = known.map(|it| String::from_utf8_lossy(&it).into_owned());
            if !known.is_some_and(|known| known.starts_with(&format!("{{{entry},\"seq\"")))
                && self.put(vm, &entry)
            {
                self.record
                    .line(&format!("{} writes its entry again", vm.id));
                vm.written = entry;
            }
        }
    }

    fn put(&self, vm: &Vm, entry: &str) -> bool {
        self.store
            .put(
                "servers",
                &vm.id,
                &format!("{{{entry},\"seq\":{}}}", vm.seq),
            )
            .is_some()
    }

    fn answer(&self, id: &str, request: &Request) -> Response {
        let echo = request
            .header("X-Tanagerhub-Request-Id")
            .unwrap_or_default()
            .to_owned();
        let expected = request.header("X-Tanagerhub-Expect-Instance");
        let response = if expected.is_some_and(|it| it != id) {
            Response::empty(421).with("X-Tanagerhub-Not-Run", "1")
        } else {
            match (request.method.as_str(), request.path()) {
                ("GET", "/report") => self.report(id),
                ("GET", "/health") => Response::empty(200).with("X-Tanagerhub-Instance-Id", id),
                ("POST", "/order") => self.order(id, &request.body),
                _ => self.stream(id, request),
            }
        };
        if echo.is_empty() {
            return response;
        }
        response.with("X-Tanagerhub-Request-Id", echo)
    }

    fn report(&self, id: &str) -> Response {
        let vms = self.lock();
        let Some(vm) = vms.iter().find(|vm| vm.id == id) else {
            return Response::empty(404);
        };
        let body = format!(
            "{{{},\"busy\":{},\"seq\":{},\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":1860000,\
             \"handles\":0,\"pace\":1.0,\"born\":{}}}",
            vm.engine_fields(),
            vm.loading.is_some(),
            vm.seq,
            vm.born
        );
        Response::json(200, body)
    }

    /// Runs a stream, if this is the head of an open group.
    fn stream(&self, id: &str, request: &Request) -> Response {
        self.set_in_use();
        let name = request
            .header("X-Tanagerhub-Request-Id")
            .unwrap_or_default();
        let vms = self.lock();
        let vm = vms.iter().find(|vm| vm.id == id);
        let stage = vm.and_then(|vm| vm.group.as_ref()).map(|group| group.stage);
        if stage == Some(Stage::Broken) {
            return Response::empty(503).with("X-Tanagerhub-Not-Run", "1");
        }
        let open = vm.filter(|vm| vm.group.as_ref().is_some_and(|it| it.stage == Stage::Open));
        let Some(vm) = open else {
            return Response::empty(421).with("X-Tanagerhub-Not-Run", "1");
        };
        self.record.line(&format!("run    {name} at {id}"));
        let after: usize = request
            .header("Last-Event-Id")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let event = |index: usize| format!("id: {index}\ndata: piece {index}\n\n").into_bytes();
        Response {
            status: 200,
            headers: vec![("Content-Type".into(), "text/event-stream".into())],
            pieces: (after + 1..=EVENTS).map(event).collect(),
            gap: GAP,
            guard: Some(Arc::new(Running::start(&vm.running))),
            ..Response::default()
        }
        .with("X-Tanagerhub-Server-Stamp", format!("{id}.{name}"))
        .with("X-Tanagerhub-Weight-Versions", "1")
    }

    fn order(&self, id: &str, body: &[u8]) -> Response {
        let Some(order) = Json::parse(&String::from_utf8_lossy(body)) else {
            return Response::empty(400);
        };
        let now = Instant::now();
        let mut vms = self.lock();
        let Some(at) = vms.iter().position(|vm| vm.id == id) else {
            return Response::empty(404);
        };
        if order.text("op") == "join" {
            if let Some(broken) = breaks_two(&vms, at, &order) {
                self.record.line(&format!("BREAKS TWO: {broken}"));
                self.broken.lock().unwrap().push(broken);
            }
        }
        let in_use = *self.in_use.lock().unwrap();
        let status = vms[at].obey(&order, &self.models, now, in_use);
        let text = String::from_utf8_lossy(body);
        self.record
            .line(&format!("order  {id} answers {status} to {text}"));
        drop(vms);
        self.write_changed();
        Response::json(status, "{}".into())
    }
}

/// Counts a stream while it runs.
struct Running(Arc<AtomicUsize>);

impl Running {
    fn start(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(count))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Breaks the groups at whose heads a member has been missing for the time of `stall_ms`.
fn break_incomplete(vms: &mut [Vm], now: Instant, record: &Record) {
    let own = |vm: &Vm| vm.group.as_ref().map(|it| (it.name.clone(), it.epoch));
    let all: Vec<_> = vms.iter().map(|vm| (vm.id.clone(), own(vm))).collect();
    for vm in vms.iter_mut() {
        let key = own(vm);
        let Some(group) = &mut vm.group else {
            vm.incomplete_since = None;
            continue;
        };
        let takes_part = |id: &String| {
            all.iter()
                .any(|(other, group)| other == id && *group == key)
        };
        let serves = matches!(group.stage, Stage::Open | Stage::Closing);
        if !serves || group.members.iter().all(takes_part) {
            vm.incomplete_since = None;
            continue;
        }
        let since = *vm.incomplete_since.get_or_insert(now);
        if now.duration_since(since) >= STALL {
            group.stage = Stage::Broken;
            record.line(&format!("{} is Broken in group {}", vm.id, group.name));
        }
    }
}

/// Returns how a join breaks the rule TWO: the head of the member's group is open or closing.
fn breaks_two(vms: &[Vm], at: usize, order: &Json) -> Option<String> {
    let (vm, name) = (&vms[at], order.text("group"));
    let own = vm.group.as_ref().filter(|own| own.name != name)?;
    if order.number("epoch") < vm.top_epoch {
        return None;
    }
    let head = vms.iter().find(|it| Some(&it.id) == own.members.first())?;
    let theirs = head.group.as_ref()?;
    // While an `open` is carried out the head is ready, not open.
    let serves = theirs.name == own.name
        && theirs.epoch == own.epoch
        && matches!(theirs.stage, Stage::Open | Stage::Closing);
    serves.then(|| {
        format!(
            "{} takes a join of group {name} (epoch {}) while {}, the head of its group {} (epoch {}), is {:?}",
            vm.id,
            order.number("epoch"),
            head.id,
            own.name,
            own.epoch,
            theirs.stage
        )
    })
}

impl Vm {
    fn carry_on(&mut self, now: Instant, record: &Record) {
        if let Some((model, _)) = self.loading.take_if(|(_, until)| *until <= now) {
            record.line(&format!("{} has staged {model}", self.id));
            self.staged = Some(model);
        }
        let Some(group) = self
            .group
            .as_mut()
            .filter(|it| it.until.is_some_and(|until| until <= now))
        else {
            return;
        };
        // A head that closes has work until its streams have ended.
        if group.stage == Stage::Closing && self.running.load(Ordering::SeqCst) > 0 {
            return;
        }
        group.until = None;
        group.stage = match group.stage {
            Stage::Joining => Stage::Ready,
            Stage::Opening => Stage::Open,
            Stage::Closing => Stage::Ready,
            other => other,
        };
        if group.stage == Stage::Ready {
            self.last_model = Some(group.model.clone());
        }
        record.line(&format!(
            "{} is {:?} in group {} epoch {}",
            self.id, group.stage, group.name, group.epoch
        ));
    }

    fn obey(&mut self, order: &Json, models: &[Model], now: Instant, in_use: bool) -> u16 {
        let (name, epoch) = (order.text("group"), order.number("epoch"));
        let own = self
            .group
            .as_mut()
            .filter(|it| it.name == name && it.epoch == epoch);
        let status = match order.text("op").as_str() {
            "stage" => return self.stage(&order.text("model"), models, now, in_use),
            "join" => {
                let members: Vec<String> = order
                    .list("members")
                    .iter()
                    .filter_map(|it| {
                        if let Json::Text(text) = it {
                            Some(text.clone())
                        } else {
                            None
                        }
                    })
                    .collect();
                if let Some(own) = own {
                    return if own.members == members { 200 } else { 412 };
                }
                if epoch < self.top_epoch {
                    return 412;
                }
                self.join(name, epoch, order.text("model"), members, models, now);
                202
            }
            "open" => match own {
                Some(own) if matches!(own.stage, Stage::Open | Stage::Opening) => 200,
                Some(own) if own.stage == Stage::Ready && own.members.first() == Some(&self.id) => {
                    (own.stage, own.until) = (Stage::Opening, Some(now + FORM));
                    202
                }
                _ => 409,
            },
            "close" => match own {
                Some(own) if own.stage == Stage::Open => {
                    (own.stage, own.until) = (Stage::Closing, Some(now + TICK));
                    202
                }
                Some(_) => 200,
                None => 409,
            },
            "leave" => {
                if own.is_some() {
                    self.group = None;
                    202
                } else {
                    200
                }
            }
            _ => 400,
        };
        self.seq += u64::from(status == 202);
        status
    }

    fn join(
        &mut self,
        name: String,
        epoch: u64,
        model: String,
        members: Vec<String>,
        models: &[Model],
        now: Instant,
    ) {
        let known = models.iter().find(|it| it.name == model);
        let warm = known.map_or(REJOIN, |it| it.warm);
        let load = known.map_or(REJOIN, |it| it.load);
        let time = if self.last_model.as_deref() == Some(&model) {
            REJOIN
        } else if self.staged.as_deref() == Some(&model) {
            warm
        } else {
            load
        };
        self.top_epoch = epoch;
        self.staged = Some(model.clone());
        self.group = Some(Group {
            name,
            epoch,
            model,
            members,
            stage: Stage::Joining,
            until: Some(now + time),
        });
        self.seq += 1;
    }

    fn stage(&mut self, model: &str, models: &[Model], now: Instant, in_use: bool) -> u16 {
        if self.staged.as_deref() == Some(model) {
            return 200;
        }
        let Some(known) = models.iter().find(|it| it.name == model) else {
            return 409;
        };
        if self.loading.is_some() {
            return 409;
        }
        let time = if in_use { known.load } else { known.load / 10 };
        self.loading = Some((model.to_owned(), now + time));
        self.seq += 1;
        202
    }

    /// Returns the fields that the entry and the report share.
    fn engine_fields(&self) -> String {
        let staged = self.staged.as_ref().map_or(String::new(), |it| quote(it));
        let mut fields = format!(
            "\"stage\":\"colocated\",\"domain\":{},\"staged\":[{staged}],\"models\":[",
            quote(&self.domain)
        );
        let Some(group) = &self.group else {
            fields.push(']');
            return fields;
        };
        let rank = group
            .members
            .iter()
            .position(|it| *it == self.id)
            .unwrap_or(0);
        let state = match group.stage {
            Stage::Joining => "joining",
            Stage::Ready | Stage::Opening => "ready",
            Stage::Open => "open",
            Stage::Closing => "closing",
            Stage::Broken => "broken",
        };
        fields.push_str(&format!(
            "{{\"name\":{},\"version\":1,\"adapters\":[]}}],\"group\":{{\"name\":{},\"epoch\":{},\"rank\":{rank},\
             \"state\":\"{state}\"}}",
            quote(&group.model),
            quote(&group.name),
            group.epoch
        ));
        fields
    }

    /// Returns what the entry says, beside `seq`.
    fn entry(&self, service: &str) -> String {
        format!(
            "\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":17,\"state\":\"ready\",\
             \"cold_left_ms\":0,\"born\":{},{}",
            quote(service),
            self.address,
            quote(&self.zone),
            self.born,
            self.engine_fields()
        )
    }
}
