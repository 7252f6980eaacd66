//! Tests of the stand-in platform through the client that nodes use.

use std::time::Duration;

use async_std::task::block_on;
use tanagerhub_clock::Clock;
use tanagerhub_standins::{PlatformStandin, RateLimits};
use tanagerhub_table::{CommitOutcome, RowKey, Transaction, TransactionId};
use tanagerhub_wire::platform::{HttpPlatform, Platform, PlatformError, ReadRows};

async fn start() -> (PlatformStandin, HttpPlatform) {
    let clock = Clock::real();
    let standin = PlatformStandin::start(clock.clone()).await.unwrap();
    let client = HttpPlatform::new(standin.address(), clock);
    (standin, client)
}

fn claim(id: u128) -> Transaction {
    let key = RowKey::new("claim/1");
    Transaction::new(TransactionId(id))
        .require_absent(key.clone())
        .put(key, vec![7])
}

fn all() -> ReadRows {
    ReadRows::Prefix {
        prefix: "claim/".to_owned(),
        after: None,
        limit: 10,
    }
}

#[test]
fn commit_conflict_on_second() {
    block_on(async {
        let (_standin, client) = start().await;
        let first = client.commit(claim(1)).await;
        assert!(matches!(first, CommitOutcome::Committed { ref rows } if rows.len() == 1));
        let second = client.commit(claim(2)).await;
        let key = RowKey::new("claim/1");
        assert_eq!(second, CommitOutcome::Conflict { key });
        let rows = client.read(all()).await.unwrap();
        assert_eq!(rows[0].transaction, TransactionId(1));
        assert_eq!(rows[0].value, vec![7]);
    });
}

#[test]
fn commit_response_lost_takes_effect() {
    block_on(async {
        let (standin, client) = start().await;
        standin.lose_responses(1);
        assert_eq!(client.commit(claim(1)).await, CommitOutcome::Unknown);
        assert_eq!(client.read(all()).await.unwrap().len(), 1);
        assert_eq!(standin.counts().lost_responses, 1);
    });
}

#[test]
fn commit_stopped_not_applied() {
    block_on(async {
        let (standin, client) = start().await;
        standin.stop().await;
        assert_eq!(client.commit(claim(1)).await, CommitOutcome::NotApplied);
        let read = client.read(all()).await;
        assert!(matches!(read, Err(PlatformError::Unavailable { .. })));
        standin.restart().await.unwrap();
        assert!(client.read(all()).await.unwrap().is_empty());
        assert_eq!(client.calls().failures, 2);
    });
}

#[test]
fn commit_paused_unknown() {
    block_on(async {
        let (standin, client) = start().await;
        let client = client.timeout(Duration::from_millis(50));
        standin.set_paused(true);
        assert_eq!(client.commit(claim(1)).await, CommitOutcome::Unknown);
    });
}

#[test]
fn commit_rate_limited_not_applied() {
    block_on(async {
        let (standin, client) = start().await;
        standin.set_rate_limits(RateLimits {
            writes: 0,
            reads: 0,
        });
        assert_eq!(client.commit(claim(1)).await, CommitOutcome::NotApplied);
        let read = client.read(all()).await;
        assert_eq!(read, Err(PlatformError::RateLimited));
        assert_eq!(client.calls().rate_limited, 2);
    });
}

#[test]
fn put_object_reads_back() {
    block_on(async {
        let (_standin, client) = start().await;
        let name = client.put_object(b"catalogue".to_vec()).await.unwrap();
        assert_eq!(client.get_object(name).await.unwrap(), b"catalogue");
        let other = tanagerhub_wire::platform::ObjectName::of(b"other");
        let missing = client.get_object(other).await;
        assert_eq!(missing, Err(PlatformError::NoObject { name: other }));
    });
}
