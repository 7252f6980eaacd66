//! The store returns from a copy some seconds old: nothing that binds a node is taken back by it.

use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;
use yare::parameterized;

use crate::deployment::{BackendServer, Script, TestSetup, status};

/// Longer than the feeds take to notice the return, and to apply the rows of the copy.
const NOTICE_DELAY: Duration = Duration::from_millis(900);
/// Longer than operators and VMs need to write again what the store lost.
const RESTORE_DELAY: Duration = Duration::from_secs(3);

/// Returns a gateway that accepts the key `k1`, before a store that names its era, with the backend
/// server of the service `desk`.
async fn start(desk: &BackendServer) -> TestSetup {
    let setup = TestSetup::with_backends(&[("desk", desk)]).await;
    setup.store.set_era(1);
    task::sleep(NOTICE_DELAY).await;
    setup.manual_clock.advance(RESTORE_DELAY);
    setup.wait_until_ready().await;
    setup
}

async fn sound_server() -> BackendServer {
    BackendServer::start(vec![Script::response(200, "", "hello")]).await
}

/// Guards against a key that is accepted again since the copy is older than its revocation.
#[test]
fn revoked_key_stays_revoked() {
    task::block_on(async {
        let desk = sound_server().await;
        let mut setup = start(&desk).await;
        let copy = setup.store.copy();
        setup.configure(&["k2"]);
        task::sleep(NOTICE_DELAY).await;
        assert_eq!(status(&setup.send("GET", "/safe/x").await), 401);
        setup.store.return_from(copy);
        for _ in 0..3 {
            task::sleep(NOTICE_DELAY).await;
            setup.manual_clock.advance(RESTORE_DELAY);
            assert_eq!(status(&setup.send("GET", "/safe/x").await), 401);
        }
        let response = setup
            .send_with_headers("GET", "/safe/x", "key: k2\r\n")
            .await;
        assert_eq!(status(&response), 200, "{response}");
    });
}

/// Guards against a node that never hears of a configuration after the return, since its version is
/// lower than one that the node knows, the same, or has passed it unseen.
#[parameterized(
    version_fell = { 0 },
    same_number = { 2 },
    version_passed_unseen = { 9 },
)]
fn revocation_after_return(rows_written: usize) {
    task::block_on(async {
        let desk = sound_server().await;
        let mut setup = start(&desk).await;
        let copy = setup.store.copy();
        for index in 0..4 {
            setup.store.put("other", &index.to_string(), "lost");
        }
        task::sleep(NOTICE_DELAY).await;
        // The feeds call the store again only once it has returned and its version has changed.
        setup.store.down.store(true, Ordering::SeqCst);
        task::sleep(Duration::from_millis(100)).await;
        setup.store.return_from(copy);
        for index in 0..rows_written {
            setup.store.put("other", &index.to_string(), "new");
        }
        setup.configure(&["k2"]);
        setup.store.down.store(false, Ordering::SeqCst);
        task::sleep(NOTICE_DELAY + NOTICE_DELAY).await;
        let response = setup.send("GET", "/safe/x").await;
        assert_eq!(status(&response), 401, "{response}");
        assert_eq!(desk.request_heads().len(), 0);
        assert_eq!(setup.metric("tanagerhub_store_returns_total").await, 1);
    });
}

/// Guards against rows of the copy that confirm the keys although a revocation may have been lost
/// with what the store lost: until it is written again, the node refuses rather than runs.
#[test]
fn keys_unconfirmed_until_written_again() {
    task::block_on(async {
        let desk = sound_server().await;
        let setup = start(&desk).await;
        let copy = setup.store.copy();
        setup.store.return_from(copy);
        task::sleep(NOTICE_DELAY).await;
        setup.manual_clock.advance(setup.settings.key_life);
        // The clock has jumped as in a freeze; the copy was read before, and is not yet complete.
        let copy = setup.store.copy();
        setup.store.return_from(copy);
        task::sleep(NOTICE_DELAY).await;
        assert_eq!(status(&setup.send("GET", "/safe/x").await), 503);
        assert_eq!(setup.ready().await, 503);
        assert_eq!(status(&setup.send("GET", "/public/x").await), 200);
        setup.manual_clock.advance(RESTORE_DELAY);
        setup.wait_until_ready().await;
        assert_eq!(status(&setup.send("GET", "/safe/x").await), 200);
    });
}

/// Guards against requests to an evacuated data centre, or to a VM that leaves, on the strength of
/// a copy that is older than either.
#[parameterized(
    evacuation = { "operators", "here", "" },
    leaving = { "vms", "vm-1", "leaving" },
)]
fn copy_takes_nothing_back(table: &str, name: &str, state: &str) {
    task::block_on(async {
        let desk = sound_server().await;
        let setup = start(&desk).await;
        assert_eq!(status(&setup.send("GET", "/safe/x").await), 200);
        let copy = setup.store.copy();
        let row = format!("desk {} {state}", desk.address);
        setup.store.put(table, name, &row);
        task::sleep(NOTICE_DELAY).await;
        assert_eq!(status(&setup.send("GET", "/safe/x").await), 503);
        setup.store.return_from(copy);
        task::sleep(NOTICE_DELAY).await;
        assert_eq!(status(&setup.send("GET", "/safe/x").await), 503);
        // It is written again, and stays in force.
        setup.store.put(table, name, &row);
        task::sleep(NOTICE_DELAY).await;
        setup.manual_clock.advance(RESTORE_DELAY);
        task::sleep(NOTICE_DELAY).await;
        assert_eq!(status(&setup.send("GET", "/safe/x").await), 503);
    });
}

/// A VM that is not in the copy is used until its row would have been written again.
#[test]
fn vm_missing_in_copy_kept_until_complete() {
    task::block_on(async {
        let desk = sound_server().await;
        let setup = TestSetup::with_backends(&[]).await;
        setup.store.set_era(1);
        task::sleep(NOTICE_DELAY).await;
        setup.manual_clock.advance(RESTORE_DELAY);
        setup.wait_until_ready().await;
        let copy = setup.store.copy();
        setup.register("vm-1", "desk", &desk);
        task::sleep(NOTICE_DELAY).await;
        setup.store.return_from(copy);
        task::sleep(NOTICE_DELAY).await;
        assert_eq!(status(&setup.send("GET", "/safe/x").await), 200);
        setup.manual_clock.advance(RESTORE_DELAY);
        task::sleep(NOTICE_DELAY).await;
        setup.manual_clock.advance(RESTORE_DELAY);
        task::sleep(NOTICE_DELAY).await;
        assert_eq!(status(&setup.send("GET", "/safe/x").await), 503);
    });
}
