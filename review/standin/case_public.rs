//! A new config adds a public route below the prefix of a route that needs keys. Clients that used the longer
//! path before still send their key.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Setup;
use crate::client::{DESK, HOST, Sent, ask, config};
use crate::desk::{Desk, Run};
use crate::node::Node;
use crate::store::Store;

pub fn run(setup: &Setup) -> Result<Vec<String>, String> {
    let record = &setup.record;
    let store = Store::new(record.clone());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let zones = ["tbs-a", "tbs-b"];
    for index in 0..3 {
        let (id, zone) = (format!("i-desk{index}"), zones[index % 2]);
        Desk::start(&store, record, &runs, &id, DESK, zone);
    }
    let tenants: [(&str, &[&str]); 1] = [("hule930", &["key-one", "key-two"])];
    store.put("op", "config", &config(3, 600, &tenants));
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
    let mut sent: Vec<Sent> = Vec::new();
    for node in &nodes {
        sent.push(ask(record, node.front(), "/read/info/1", "key-one"));
    }
    if sent.iter().any(|it| it.status != Some(200)) {
        return Err("the path isn't served before the change".into());
    }
    let added = format!(
        "\"routes\":[{{\"name\":\"info\",\"host\":\"{HOST}\",\"prefix\":\"/read/info/\",\
         \"kind\":\"safe\",\"timeout_ms\":600,\"target_latency_ms\":100,\"priority\":1,\
         \"service\":\"{DESK}\",\"max_attempts\":2,\"public\":true}},"
    );
    let plain = config(7, 600, &tenants);
    let next = if setup.trouble {
        plain.replace("\"routes\":[", &added)
    } else {
        plain
    };
    store.put("op", "config", &next);
    let confirmed = record.ms();
    record.line("the store confirms config 7");
    while record.ms() < confirmed + 6_000 {
        for node in &nodes {
            sent.push(ask(record, node.front(), "/read/info/2", "key-one"));
            sent.push(ask(record, node.front(), "/book/2", "key-two"));
        }
        thread::sleep(Duration::from_millis(250));
    }
    let runs = runs.lock().unwrap();
    let leaked: Vec<&Run> = runs.iter().filter(|run| run.key.is_some()).collect();
    record.say(&format!(
        "{} of {} runs got the client's key",
        leaked.len(),
        runs.len()
    ));
    let Some(first) = leaked.first() else {
        return Ok(Vec::new());
    };
    Ok(vec![format!(
        "UNASKED: the key was passed on with {} requests, first with {}",
        leaked.len(),
        first.id
    )])
}
