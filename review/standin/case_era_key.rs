//! A drill of the store: it is away for 2.6 seconds and comes back from a copy three seconds old. The
//! operator takes a key away right afterwards.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Setup;
use crate::client::{DESK, Sent, ask, config};
use crate::desk::{Desk, Run};
use crate::node::Node;
use crate::store::Store;

const REVOKE_MS: u64 = 5_000;
/// The age of the copy.
const COPY_AGE: Duration = Duration::from_secs(3);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(2_600);

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
    let before: [(&str, &[&str]); 2] = [
        ("hule930", &["key-one", "key-gone"]),
        ("mira204", &["key-two"]),
    ];
    store.put("op", "config", &config(3, 600, &before));
    let address = store.serve(None);
    let mut nodes = Vec::new();
    for index in 0..6 {
        let zone = zones[index % 3];
        let mut node = Node::new(&setup.folder, &setup.program, index as u8, zone, address);
        node.start().map_err(|error| error.to_string())?;
        nodes.push(node);
    }
    for node in &nodes {
        if !node.wait_until_ready(Duration::from_secs(10)) {
            return Err(format!("{} isn't ready", node.name));
        }
    }
    thread::sleep(Duration::from_secs(8));
    for node in &nodes {
        for key in ["key-one", "key-gone"] {
            if ask(record, node.front(), "/read/1", key).status != Some(200) {
                return Err(format!(
                    "{} serves nothing before the disruption",
                    node.name
                ));
            }
        }
    }
    let copy = store.copy();
    record.line(&format!("the copy is made at version {}", store.version()));
    thread::sleep(COPY_AGE);
    if setup.trouble {
        store.go_away();
        thread::sleep(AWAY);
        store.come_back(Some(copy));
    } else {
        thread::sleep(AWAY);
    }
    let after: [(&str, &[&str]); 2] = [("hule930", &["key-one"]), ("mira204", &["key-two"])];
    let ver = store
        .put("op", "config", &config(7, 600, &after))
        .ok_or("the config isn't taken")?;
    let confirmed = record.ms();
    record.line(&format!(
        "the store confirms config 7, which takes key-gone away, at version {ver}"
    ));
    let mut sent: Vec<(String, Sent)> = Vec::new();
    while record.ms() < confirmed + 30_000 {
        for node in &nodes {
            for key in ["key-one", "key-gone"] {
                sent.push((node.name.clone(), ask(record, node.front(), "/read/2", key)));
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(Duration::from_secs(1));
    let runs = runs.lock().unwrap();
    let mut broken = Vec::new();
    for node in &nodes {
        let late = |it: &Sent| it.at_ms > confirmed + REVOKE_MS && it.key == "key-gone";
        let late: Vec<&Sent> = sent
            .iter()
            .filter(|(name, it)| *name == node.name && late(it))
            .map(|(_, it)| it)
            .collect();
        let ran: Vec<&&Sent> = late
            .iter()
            .filter(|it| runs.iter().any(|run| run.id == it.id))
            .collect();
        record.say(&format!(
            "{}: {} of {} late requests with the revoked key ran",
            node.name,
            ran.len(),
            late.len()
        ));
        if let Some(last) = ran.last() {
            broken.push(format!(
                "CONFIG: at {} {} of {} requests with a key taken away more than {REVOKE_MS} ms before ran, the \
                 last one sent {} ms after the confirmation",
                node.name,
                ran.len(),
                late.len(),
                last.at_ms - confirmed
            ));
        }
    }
    Ok(broken)
}
