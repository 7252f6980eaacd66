//! Parts of prompts under which backend servers crash, whatever else the requests hold.

use std::time::Duration;

use async_std::task;
use yare::parameterized;

use crate::deployment::{BackendServer, Script, TestSetup, status};

/// Time in which the nodes receive changed rows of the store.
const FEED_TIME: Duration = Duration::from_millis(1_300);

/// Backend servers that end when they run a request with the part `bad`.
struct Desks {
    servers: Vec<BackendServer>,
}

impl Desks {
    async fn start(count: usize) -> Self {
        let mut servers = Vec::new();
        for _ in 0..count {
            let script = Script::response(200, "", "sound").crashing_on("bad");
            servers.push(BackendServer::start(vec![script]).await);
        }
        Self { servers }
    }

    async fn deploy(&self) -> TestSetup {
        let listed: Vec<_> = self.servers.iter().map(|desk| ("desk", desk)).collect();
        TestSetup::with_backends(&listed).await
    }

    /// Returns the names of the VMs that have crashed.
    fn crashed(&self) -> Vec<String> {
        let has_crashed = |desk: &BackendServer| {
            let heads = desk.request_heads();
            heads.iter().any(|head| head.contains("bad"))
        };
        let desks = self.servers.iter().enumerate();
        let crashed = desks.filter(|(_, desk)| has_crashed(desk));
        crashed
            .map(|(index, _)| format!("vm-{}", index + 1))
            .collect()
    }

    /// Sends requests with the bad part, no two alike, until one more VM has crashed, whose row is
    /// removed then.
    async fn crash_one(&self, node: &TestSetup, parts: &str) {
        let before = self.crashed();
        while self.crashed() == before {
            let path = format!("/unsafe/{}", rand::random::<u32>());
            send(node, "POST", &path, parts).await;
        }
        for vm in self.crashed() {
            if !before.contains(&vm) {
                node.store.remove("vms", &vm);
            }
        }
        task::sleep(FEED_TIME).await;
    }
}

async fn send(node: &TestSetup, method: &str, path: &str, parts: &str) -> u16 {
    let headers = format!("key: k1\r\nparts: {parts}\r\n");
    status(&node.send_with_headers(method, path, &headers).await)
}

async fn assert_only_bad_refused(node: &TestSetup, bad: &str, sound: &str) {
    for index in 0..4 {
        let path = format!("/unsafe/again-{index}");
        assert_eq!(send(node, "POST", &path, bad).await, 503, "{bad}");
        let path = format!("/safe/again-{index}");
        assert_eq!(send(node, "GET", &path, sound).await, 200, "{sound}");
    }
}

#[parameterized(
    first = { "bad,other", "other" },
    after_shared_part = { "first,bad", "first" },
)]
fn crashing_part_refused_at_all_nodes(bad: &str, sound: &str) {
    task::block_on(async {
        let desks = Desks::start(5).await;
        let setup = desks.deploy().await;
        let peers = [
            setup.start_peer("peer-1").await,
            setup.start_peer("peer-2").await,
        ];
        for node in [&peers[0], &setup, &peers[1]] {
            assert_eq!(send(node, "GET", "/safe/sound", sound).await, 200);
            desks.crash_one(node, bad).await;
        }
        for node in [&setup, &peers[0], &peers[1]] {
            assert_only_bad_refused(node, bad, sound).await;
        }
        assert_eq!(desks.crashed().len(), 3);
    });
}

#[test]
fn crashing_part_refused_after_start() {
    task::block_on(async {
        let desks = Desks::start(5).await;
        let mut setup = desks.deploy().await;
        for _ in 0..3 {
            desks.crash_one(&setup, "first,bad").await;
        }
        setup.gateway.take().unwrap().stop().await;
        let restarted = setup.start_peer("node").await;
        assert_only_bad_refused(&restarted, "first,bad", "first").await;
        assert_eq!(desks.crashed().len(), 3);
    });
}
