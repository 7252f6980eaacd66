//! What the state dump tells of the planner.

use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;

use crate::deployment::{BackendServer, Script, TestSetup};

/// The longest time until a node has become the planner, and until a term that isn't renewed has ended.
const TERM_TIMEOUT: Duration = Duration::from_secs(8);

/// Guards against a dump that calls a node the planner whose term has long ended, because the store turns
/// it away (review/12).
#[test]
fn state_tells_who_may_plan() {
    task::block_on(async {
        let desk = BackendServer::start(vec![Script::response(200, "", "hello")]).await;
        let setup = TestSetup::with_backends(&[("desk", &desk)]).await;
        let state = setup
            .wait_for_state(TERM_TIMEOUT, |state| state["plans"] == true)
            .await;
        assert_eq!(state["planner"]["holder"], "node");
        assert_eq!(state["planner"]["holds_row"], true);
        assert!(state["planner"]["term_ms"].as_u64().unwrap() <= 2_000);
        setup.store.down.store(true, Ordering::SeqCst);
        setup.store.refuses_commits.store(true, Ordering::SeqCst);
        let state = setup
            .wait_for_state(TERM_TIMEOUT, |state| state["plans"] == false)
            .await;
        assert_eq!(state["planner"]["holds_row"], true);
        assert_eq!(state["planner"]["term_ms"], 0);
    });
}
