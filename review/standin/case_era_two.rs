//! A drill of the store just after replicas were added and have formed a group: the copy doesn't know the group.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Setup;
use crate::client::{DESK, LLM, ask_model, config_with_engines};
use crate::desk::{Desk, Run};
use crate::engine::{Engines, Model};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// The greatest age of the copy, in milliseconds.
const MAX_AGE: u64 = 6_000;
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(140);

const MODELS: [Model; 1] = [Model {
    name: "rada7437b5",
    size: 2,
    load: Duration::from_secs(12),
    warm: Duration::from_millis(1_100),
}];

pub fn run(setup: &Setup) -> Result<Vec<String>, String> {
    let record = &setup.record;
    let store = Store::new(record.clone());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let zones = ["tbs-a", "tbs-b", "tbs-c"];
    for index in 0..3 {
        Desk::start(
            &store,
            record,
            &runs,
            &format!("i-desk{index}"),
            DESK,
            zones[index],
        );
    }
    let engines = Engines::new(&store, record, LLM, MODELS.to_vec());
    let mut draws = Draws::new();
    for (domain, zone) in zones.iter().cycle().take(4).enumerate() {
        for index in 0..10 {
            engines.add(
                &format!("i-{domain}{index}{:06x}", draws.next() >> 40),
                zone,
                &format!("d{domain}"),
                draws.share(),
            );
        }
    }
    let tenants: [(&str, &[&str]); 1] = [("hule930", &["key-one"])];
    store.put("op", "config", &config_with_engines(3, &tenants, &MODELS));
    let address = store.serve(None);
    let mut nodes = Vec::new();
    for index in 0..3 {
        let mut node = Node::new(
            &setup.folder,
            &setup.program,
            index as u8,
            zones[index],
            address,
        );
        node.start().map_err(|error| error.to_string())?;
        nodes.push(node);
    }
    for node in &nodes {
        if !node.wait_until_ready(Duration::from_secs(10)) {
            return Err(format!("{} isn't ready", node.name));
        }
    }
    thread::sleep(Duration::from_secs(10));
    let groups = engines.open_heads().len();
    record.say(&format!("{groups} groups are open"));
    for node in &nodes {
        let status = ask_model(record, node.front(), MODELS[0].name, "key-one").status;
        if status != Some(200) {
            return Err(format!(
                "{} answers {status:?} before the disruption",
                node.name
            ));
        }
    }
    start_traffic(record, &nodes);
    // `scale_out`: ten empty replicas are added, a quarter of those that were there.
    for index in 0..10 {
        engines.add(
            &format!("i-4{index}{:06x}", draws.next() >> 40),
            zones[0],
            "d4",
            draws.share(),
        );
    }
    let added = record.ms();
    record.line("ten replicas are added");
    // The store's copy is made while the new replicas load their model. The drill comes after four groups of
    // them are open, about three seconds later.
    let mut copy = (record.ms(), store.copy());
    while engines
        .open_heads()
        .into_iter()
        .filter(|head| head.starts_with("i-4"))
        .count()
        < 4
    {
        if record.ms() > added + 40_000 {
            return Err("no four groups were formed of the new replicas".into());
        }
        if !engines.has_staged("i-4") {
            copy = (record.ms(), store.copy());
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.line("four groups of the new replicas are open");
    thread::sleep(Duration::from_millis(1_200));
    if setup.trouble {
        let (at, copy) = copy;
        let age = record.ms() - at;
        if age > MAX_AGE {
            return Err(format!("the copy would be {age} ms old"));
        }
        store.go_away();
        record.line(&format!("the copy is {age} ms old"));
        thread::sleep(AWAY);
        store.come_back(Some(copy));
    }
    thread::sleep(Duration::from_secs(15));
    for node in &nodes {
        ask_model(record, node.front(), MODELS[0].name, "key-one");
    }
    Ok(engines
        .broken()
        .into_iter()
        .map(|it| format!("TWO: {it}"))
        .collect())
}

/// Sends about twelve streams a second to each node, until the process ends.
fn start_traffic(record: &Record, nodes: &[Node]) {
    for front in nodes.iter().map(Node::front) {
        for _ in 0..24 {
            let record = record.clone();
            thread::spawn(move || {
                loop {
                    ask_model(&record, front, MODELS[0].name, "key-one");
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
    }
}

/// Random numbers (splitmix64), for ids and the moments of heartbeats.
struct Draws(u64);

impl Draws {
    fn new() -> Self {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        Self(now.as_nanos() as u64)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut draw = self.0;
        draw = (draw ^ (draw >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        draw = (draw ^ (draw >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        draw ^ (draw >> 31)
    }

    /// Returns a number from 0 to 1.
    fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
