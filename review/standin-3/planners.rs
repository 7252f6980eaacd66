//! Case: a machine is replaced while the store turns away the other one, whose node plans the groups. The
//! new node plans too.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::wait_for;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use crate::vm::{Vms, names};

const HOST: &str = "fit.example";
const SERVICE: &str = "advisor-llm";
/// Deployments that are played at the same time, and how often.
const DEPLOYMENTS: usize = 8;
const WAVES: usize = 4;
/// No wave begins after this time, so that the script ends within its limit.
const LAST_START: Duration = Duration::from_secs(75);
/// How long the store turns the planner away: the site's `platform_down` for some machines.
const CUT: Duration = Duration::from_secs(9);
/// How slow the store is for the others, and for how long: less than the site's `platform_slow`, which
/// takes 60 times as long for 4.5 s.
const SLOW_TIMES: u64 = 50;
const SLOW: Duration = Duration::from_secs(4);
/// When the replicas crash and the store becomes slow, after the cut.
const CRASH_AFTER: Duration = Duration::from_millis(1_200);
const SLOW_AFTER: Duration = Duration::from_millis(5_000);

fn config(store: &Store) {
    store.put("op", "config", Some(&format!(
        r#"{{"version":7,
"routes":[{{"name":"size-pick","host":"{HOST}","prefix":"/size/","kind":"streaming","resumable":true,"sticky":true,"gap_aim_ms":200,"timeout_ms":6000,"target_latency_ms":300,"priority":1,"service":"{SERVICE}","max_attempts":3,"public":false}}],
"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":238,"cold_per_s":0,
"engine":{{"slots":17,"kv_capacity":1860000,"loads_per_s":5.0,"loads_at_once":7,"keeps":2,
"models":[{{"name":"large","size":4,"pace":1.0,"share":0.75,"load_s":16.0,"warm_s":1.6}},
{{"name":"small","size":2,"pace":1.0,"share":0.25,"load_s":12.0,"warm_s":1.1}}]}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"shop","api_keys":["k1"],"priority":1}}]}}"#
    )));
}

/// Plays the same course in several deployments, which share nothing. They differ only in when the
/// new machine starts.
pub fn run(folder: &Path, trouble: bool, record: &Record) -> io::Result<Option<bool>> {
    let mut results = Vec::new();
    let started = Instant::now();
    for wave in 0..WAVES {
        if started.elapsed() > LAST_START {
            break;
        }
        let plays: Vec<_> = (0..DEPLOYMENTS)
            .map(|index| {
                let number = wave * DEPLOYMENTS + index;
                let (folder, record) = (folder.join(number.to_string()), record.of(number));
                thread::spawn(move || -> io::Result<Option<bool>> {
                    std::fs::create_dir_all(&folder)?;
                    play(&folder, number, trouble, &record)
                })
            })
            .collect();
        for play in plays {
            // A deployment that could not be played says nothing, and must not end the others.
            results.push(play.join().unwrap_or(Ok(None)).unwrap_or_default());
        }
    }
    let broken = results.iter().filter(|it| **it == Some(true)).count();
    let played = results.iter().flatten().count();
    record.add(format!(
        "the rule was broken in {broken} of {played} deployments"
    ));
    Ok((played > 0).then_some(broken > 0))
}

fn play(folder: &Path, number: usize, trouble: bool, record: &Record) -> io::Result<Option<bool>> {
    let start_delay = Duration::from_millis(300 + 100 * (number % DEPLOYMENTS) as u64);
    let store = Store::new();
    config(&store);
    let vms = Vms::new(
        SERVICE,
        &[("large", 1_600), ("small", 1_100)],
        &store,
        record,
    );
    for name in names(7, number as u64) {
        vms.add(&name, &["large", "small"])?;
    }
    let address = 3 * number as u8;
    let mut first = Node::new("front-tbs-a-1", address, folder, &store)?;
    let mut second = Node::new("front-tbs-a-2", address + 1, folder, &store)?;
    let mut new = Node::new("front-tbs-a-3", address + 2, folder, &store)?;
    first.start(true)?;
    second.start(true)?;
    let serves = || {
        let serving = vms.serving();
        let has = |model: &str| serving.iter().any(|it| it.0 == model);
        has("large") && has("small")
    };
    if !(first.wait_ready() && second.wait_ready() && wait_for(Duration::from_secs(15), serves)) {
        record.add(format!("the groups don't serve: {:?}", vms.serving()));
        return Ok(None);
    }
    thread::sleep(Duration::from_secs(2));
    let serving = vms.serving();
    record.add(format!("groups that serve: {serving:?}"));
    let (planner, mut other) = if first.plans() {
        (first, second)
    } else {
        (second, first)
    };
    if !planner.plans() {
        record.add("no node plans");
        return Ok(None);
    }
    record.add(format!(
        "{} plans; {} gets SIGTERM and is removed",
        planner.name, other.name
    ));
    other.signal("TERM");
    if !other.wait_end(Duration::from_secs(9)) {
        record.add("the stopped node does not end");
        return Ok(None);
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        planner.store.cut(true);
        record.add(format!("the store turns {} away", planner.name));
    }
    thread::sleep(start_delay);
    new.start(false)?;
    record.add(format!("{} is added at another address", new.name));
    thread::sleep(CRASH_AFTER.saturating_sub(start_delay));
    let large = serving.iter().find(|it| it.0 == "large");
    let Some((_, _, large)) = large.filter(|it| it.2.len() == 4) else {
        return Ok(None);
    };
    if trouble {
        vms.crash(&large[2]);
        vms.crash(&large[3]);
    }
    thread::sleep(SLOW_AFTER - CRASH_AFTER);
    if trouble {
        store.slow(SLOW_TIMES);
    }
    thread::sleep(CUT - SLOW_AFTER - Duration::from_millis(500));
    for node in [&planner, &new] {
        record.add(format!("{} plans: {}", node.name, node.plans()));
    }
    thread::sleep(SLOW - (CUT - SLOW_AFTER - Duration::from_millis(500)));
    store.slow(1);
    planner.store.cut(false);
    thread::sleep(Duration::from_secs(4));
    record.add(format!("groups that serve: {:?}", vms.serving()));
    if !vms.broken_rules().is_empty() {
        for node in [&planner, &new] {
            for line in node
                .log()
                .lines()
                .filter(|it| it.contains("group decision"))
            {
                record.add(format!("{}: {}", node.name, line));
            }
        }
    }
    Ok(Some(!vms.broken_rules().is_empty()))
}
