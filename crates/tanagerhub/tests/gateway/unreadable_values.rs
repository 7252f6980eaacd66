//! Values that a node can't decode, as those of another build: it takes none of them for absent.

use std::time::Duration;

use async_std::task;
use tanagerhub::gateway::Store as _;
use tanagerhub_catalogue::DataCentreId;
use tanagerhub_clock::Moment;
use tanagerhub_groups::{Presence, PresenceAction, RelayEndpoint};
use tanagerhub_standins::unused_address;
use tanagerhub_table::{RowKey, Transaction, TransactionId};

use crate::deployment::{BackendServer, Script, TestSetup, status};

const UNREADABLE_VM_ROWS: &str = "tanagerhub_unreadable_values_total{kind=\"vm\"}";
/// Longer than the feeds take to deliver a row.
const FEED_DELAY: Duration = Duration::from_millis(1_300);

/// Guards against requests to a VM whose row is invalid: the platform's rule is that such a row names no VM
/// to use.
#[test]
fn invalid_vm_row_removes_server() {
    task::block_on(async {
        let desk = BackendServer::start(vec![Script::response(200, "", "hello")]).await;
        let setup = TestSetup::with_backends(&[("desk", &desk)]).await;
        setup.store.put("vms", "vm-1", "unreadable");
        task::sleep(FEED_DELAY).await;
        let response = setup.send("GET", "/safe/x").await;
        assert_eq!(status(&response), 503, "{response}");
        assert!(desk.request_heads().is_empty());
        assert_eq!(setup.metric(UNREADABLE_VM_ROWS).await, 1);
    });
}

/// A request under which two backend servers ended is refused, also if the rows of these crashes are
/// replaced by ones that can't be decoded. Such rows are not deleted ones.
#[test]
fn unreadable_crash_row_keeps_crash() {
    task::block_on(async {
        let desk = BackendServer::start(vec![Script::default()]).await;
        let setup = TestSetup::with_backends(&[("desk", &desk)]).await;
        let peer = setup.start_peer("peer").await;
        assert_eq!(status(&setup.send("POST", "/unsafe/x").await), 502);
        setup.replace_backend("vm-1", "vm-2", "desk", &desk).await;
        assert_eq!(status(&peer.send("POST", "/unsafe/x").await), 502);
        setup.replace_backend("vm-2", "vm-3", "desk", &desk).await;
        let page = setup.store.read("crashes").await.result.unwrap();
        assert_eq!(page.rows.len(), 2);
        for row in &page.rows {
            setup.store.put("crashes", row.key.name(), "unreadable");
        }
        task::sleep(FEED_DELAY).await;
        for node in [&setup, &peer] {
            let response = node.send("POST", "/unsafe/x").await;
            assert_eq!(status(&response), 503, "{response}");
        }
        assert_eq!(desk.request_heads().len(), 2);
    });
}

/// A node of another build may mark the response to a forwarded request in another form. The request
/// has run there, so it must not be offered to a further node, nor answered as not run.
#[test]
fn unreadable_mark_of_response_is_a_response() {
    task::block_on(async {
        let desk = BackendServer::start(vec![Script::default()]).await;
        let mut sound = TestSetup::with_backends(&[("desk", &desk)]).await;
        let cut_off = sound
            .start_cut_off_peer("node-2", unused_address().unwrap())
            .await;
        sound.gateway.take().unwrap().stop().await;
        let headers = "tanagerhub-handled-by: build-9\r\n";
        let other = BackendServer::start(vec![Script::response(200, headers, "hello")]).await;
        let endpoint = RelayEndpoint {
            data_centre: DataCentreId::of("elsewhere"),
            address: other.address,
        };
        let mut presence = Presence::new("node-9", 9, 0).relay(endpoint);
        let mut actions = presence.tick(Moment::ZERO, false);
        let Some(PresenceAction::Write(value)) = actions.pop() else {
            panic!("the row is written: {actions:?}");
        };
        let row = RowKey::in_table("nodes", "node-9");
        let transaction = Transaction::new(TransactionId(9)).put(row, value);
        cut_off.store.commit(transaction).await;
        task::sleep(FEED_DELAY).await;
        let response = cut_off.send("POST", "/unsafe/x").await;
        assert_eq!(status(&response), 200, "{response}");
        assert!(!response.contains("handled-by"), "{response}");
        assert_eq!(other.request_heads().len(), 1);
    });
}
