//! One tenant with two keys, like the config that `fleetbench wire` shows. Both keys are taken away, one after
//! the other.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Setup;
use crate::client::{DESK, Sent, ask, config};
use crate::desk::{Desk, Run};
use crate::node::Node;
use crate::store::Store;

const REVOKE_MS: u64 = 5_000;
/// A key that no config ever held.
const STRANGER: &str = "never-in-any-config";

pub fn run(setup: &Setup) -> Result<Vec<String>, String> {
    let record = &setup.record;
    let store = Store::new(record.clone());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let zones = ["tbs-a", "tbs-b"];
    for index in 0..3 {
        let (id, zone) = (format!("i-desk{index}"), zones[index % 2]);
        Desk::start(&store, record, &runs, &id, DESK, zone);
    }
    let both: [(&str, &[&str]); 1] = [("hule930", &["key-one", "key-two"])];
    store.put("op", "config", &config(3, 600, &both));
    let address = store.serve(None);
    let mut nodes = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let mut node = Node::new(&setup.folder, &setup.program, index as u8, zone, address);
        node.start().map_err(|error| error.to_string())?;
        nodes.push(node);
    }
    for node in &nodes {
        if !node.wait_until_ready(Duration::from_secs(10)) {
            return Err(format!("{} isn't ready", node.name));
        }
    }
    thread::sleep(Duration::from_secs(2));
    let mut before = 0;
    for node in &nodes {
        for key in ["key-one", "key-two"] {
            let sent = ask(record, node.front(), "/book/1", key);
            before += usize::from(sent.status == Some(200));
        }
        if ask(record, node.front(), "/book/1", STRANGER).status != Some(401) {
            return Err("a key that no config holds is accepted before the disruption".into());
        }
    }
    if before != 4 {
        return Err(format!(
            "only {before} of 4 requests are served before the disruption"
        ));
    }
    // `revoke` with count = 2 and how = last: a tenant loses all its keys.
    let one: [(&str, &[&str]); 1] = [("hule930", &["key-two"])];
    let none: [(&str, &[&str]); 1] = [("hule930", &[])];
    let (second, third) = if setup.trouble {
        (one, none)
    } else {
        (both, both)
    };
    store.put("op", "config", &config(7, 600, &second));
    record.line("the store confirms config 7");
    thread::sleep(Duration::from_millis(1_500));
    store.put("op", "config", &config(9, 600, &third));
    let confirmed = record.ms();
    record.line("the store confirms config 9");
    let mut sent: Vec<Sent> = Vec::new();
    while record.ms() < confirmed + 15_000 {
        for node in &nodes {
            for key in ["key-one", "key-two", STRANGER] {
                for path in ["/book/2", "/read/2"] {
                    sent.push(ask(record, node.front(), path, key));
                }
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(Duration::from_secs(1));
    let runs = runs.lock().unwrap();
    let late = |it: &&Sent| it.at_ms > confirmed + REVOKE_MS && it.key != STRANGER;
    let count = |mut chosen: Vec<&Sent>| {
        chosen.retain(|it| runs.iter().any(|run| run.id == it.id));
        chosen.len()
    };
    let revoked = if setup.trouble {
        count(sent.iter().filter(late).collect())
    } else {
        0
    };
    let strange = count(sent.iter().filter(|it| it.key == STRANGER).collect());
    let late = sent.iter().filter(late).count();
    let mut broken = Vec::new();
    if revoked > 0 {
        broken.push(format!(
            "CONFIG: {revoked} of {late} requests whose key was taken away more than {REVOKE_MS} ms before ran"
        ));
    }
    if strange > 0 {
        broken.push(format!(
            "ROUTE: {strange} requests whose key no config ever held ran"
        ));
    }
    Ok(broken)
}
