//! A gateway from end to end, over real sockets, before a deployment in memory.

#[path = "support/deployment.rs"]
mod deployment;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::io::{self, prelude::*};
use async_std::net::TcpStream;
use async_std::task;
use deployment::{Backend, Script, Site, status};
use yare::parameterized;

/// Far beyond what an answer takes; only keeps a fault from hanging the run.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

#[test]
fn refuse_without_configuration() {
    task::block_on(async {
        let site = Site::start().await;
        assert_eq!(site.ready().await, 503);
        let answer = site.ask("GET", "/safe/x").await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
    });
}

#[parameterized(
    no_route = { "GET", "/nowhere/", "key: k1\r\n", 404 },
    unknown_key = { "GET", "/safe/", "key: k9\r\n", 401 },
    no_key = { "GET", "/safe/", "", 401 },
    public = { "GET", "/public/", "", 200 },
    known_key = { "GET", "/safe/", "key: k1\r\n", 200 },
)]
fn check_request(method: &str, path: &str, headers: &str, expected: u16) {
    task::block_on(async {
        let desk = Backend::start(vec![Script::answer(200, "id: 1\r\n", "hello")]).await;
        let site = Site::before(&[("desk", &desk)]).await;
        let answer = site.ask_with(method, path, headers).await;
        assert_eq!(status(&answer), expected, "{answer}");
        assert_eq!(desk.heads().len(), usize::from(expected == 200));
    });
}

#[test]
fn refuse_long_body() {
    task::block_on(async {
        let site = Site::before(&[]).await;
        let headers = "key: k1\r\nContent-Length: 1001\r\n";
        let mut stream = TcpStream::connect(site.settings.callers).await.unwrap();
        let head = format!("POST /unsafe/ HTTP/1.1\r\nHost: shop\r\nid: 1\r\n{headers}\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&[b'a'; 1_001]).await.unwrap();
        let mut buffer = [0; 1_024];
        let count = stream.read(&mut buffer).await.unwrap();
        let answer = String::from_utf8_lossy(&buffer[..count]).into_owned();
        assert_eq!(status(&answer), 413, "{answer}");
    });
}

#[test]
fn retry_where_not_run() {
    task::block_on(async {
        let full = Backend::start(vec![Script::answer(503, "not-run: 1\r\n", "")]).await;
        let sound = Backend::start(vec![Script::answer(200, "", "booked")]).await;
        let site = Site::before(&[("desk", &full), ("desk", &sound)]).await;
        // More than two attempts are not allowed, so each request gets through.
        for _ in 0..4 {
            let answer = site.ask("POST", "/unsafe/x").await;
            assert!(answer.ends_with("booked"), "{answer}");
        }
    });
}

#[parameterized(
    unrepeatable = { "/unsafe/x", 502, 1 },
    idempotent = { "/safe/x", 502, 2 },
)]
fn break_before_answer(path: &str, expected: u16, sent: usize) {
    task::block_on(async {
        let broken = Backend::start(vec![Script::default()]).await;
        let site = Site::before(&[("desk", &broken), ("desk", &broken)]).await;
        let answer = site.ask("POST", path).await;
        assert_eq!(status(&answer), expected, "{answer}");
        assert!(!answer.to_lowercase().contains("retry-after"), "{answer}");
        assert_eq!(broken.heads().len(), sent);
    });
}

/// A late answer is better than none where the request can't go elsewhere.
#[test]
fn wait_for_late_answer() {
    task::block_on(async {
        let late = Script::answer(200, "", "found").after(Duration::from_millis(1_500));
        let desk = Backend::start(vec![late]).await;
        let site = Site::before(&[("desk", &desk)]).await;
        let answer = site.ask("GET", "/safe/x").await;
        assert!(answer.ends_with("found"), "{answer}");
        assert_eq!(desk.heads().len(), 1);
    });
}

#[test]
fn pass_failure_unchanged() {
    task::block_on(async {
        let failing = Backend::start(vec![Script::answer(500, "stamp: s\r\n", "sorry")]).await;
        let site = Site::before(&[("desk", &failing)]).await;
        let answer = site.ask("POST", "/unsafe/x").await;
        assert_eq!(status(&answer), 500);
        assert!(answer.to_lowercase().contains("stamp: s"), "{answer}");
        assert!(answer.ends_with("sorry"), "{answer}");
    });
}

#[test]
fn ignore_answer_of_other_request() {
    task::block_on(async {
        let foreign = Backend::start(vec![Script::answer(200, "id: 2\r\n", "not yours")]).await;
        let site = Site::before(&[("desk", &foreign)]).await;
        let answer = site.ask("POST", "/unsafe/x").await;
        assert_eq!(status(&answer), 502, "{answer}");
        assert!(!answer.contains("not yours"));
    });
}

#[test]
fn resume_broken_stream() {
    task::block_on(async {
        let scripts = vec![Script::events(1, 3, false), Script::events(4, 6, true)];
        let llm = Backend::start(scripts).await;
        let site = Site::before(&[("llm", &llm), ("llm", &llm)]).await;
        let answer = site.ask("POST", "/stream/x").await;
        let ids: Vec<&str> = answer
            .lines()
            .filter(|line| line.starts_with("id: "))
            .collect();
        let expected: Vec<String> = (1..=6).map(|id| format!("id: {id}")).collect();
        assert_eq!(ids, expected, "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
        let heads = llm.heads();
        assert!(heads[1].contains("after: 3"), "{heads:?}");
    });
}

#[test]
fn cut_stream_that_must_not_resume() {
    task::block_on(async {
        let llm = Backend::start(vec![Script::events(1, 3, false)]).await;
        let site = Site::before(&[("llm", &llm), ("llm", &llm)]).await;
        let answer = site.ask("POST", "/once/x").await;
        assert!(answer.contains("id: 3"), "{answer}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
        assert_eq!(llm.heads().len(), 1);
    });
}

/// An event out of order is no event of this answer, and the answer must not look complete.
#[test]
fn cut_stream_out_of_order() {
    task::block_on(async {
        let mut script = Script::events(1, 2, false);
        script
            .parts
            .extend(Script::events(5, 6, true).parts.split_off(1));
        let llm = Backend::start(vec![script]).await;
        let site = Site::before(&[("llm", &llm)]).await;
        let answer = site.ask("POST", "/once/x").await;
        assert!(answer.contains("id: 2"), "{answer}");
        assert!(!answer.contains("id: 5"), "{answer}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    });
}

#[test]
fn give_up_at_deadline() {
    task::block_on(async {
        let silent = Backend::start(vec![Script::silence()]).await;
        let site = Site::before(&[("desk", &silent)]).await;
        let headers = "key: k1\r\ndeadline: 300\r\n";
        let answer = site.ask_with("POST", "/unsafe/x", headers).await;
        assert_eq!(status(&answer), 504, "{answer}");
        let left = silent.heads()[0]
            .lines()
            .find_map(|line| line.strip_prefix("left: ").map(str::to_owned));
        let left: u64 = left.unwrap().parse().unwrap();
        assert!(left <= 300, "{left}");
    });
}

#[test]
fn refuse_at_once_without_back_end() {
    task::block_on(async {
        let site = Site::before(&[]).await;
        let answer = site.ask("GET", "/safe/x").await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
    });
}

#[test]
fn revoked_key_is_refused() {
    task::block_on(async {
        let desk = Backend::start(vec![Script::answer(200, "", "hello")]).await;
        let mut site = Site::before(&[("desk", &desk)]).await;
        assert_eq!(status(&site.ask("GET", "/safe/x").await), 200);
        site.configure(&["k2"]);
        task::sleep(Duration::from_millis(500)).await;
        assert_eq!(status(&site.ask("GET", "/safe/x").await), 401);
    });
}

#[test]
fn stale_keys_are_refused() {
    task::block_on(async {
        let desk = Backend::start(vec![Script::answer(200, "", "hello")]).await;
        let site = Site::before(&[("desk", &desk)]).await;
        site.store.down.store(true, Ordering::SeqCst);
        task::sleep(Duration::from_millis(100)).await;
        site.hand.advance(site.settings.key_life);
        assert_eq!(status(&site.ask("GET", "/safe/x").await), 503);
        assert_eq!(site.ready().await, 503);
        // What needs no key goes on.
        assert_eq!(status(&site.ask("GET", "/public/x").await), 200);
        site.store.down.store(false, Ordering::SeqCst);
        site.settle().await;
        assert_eq!(status(&site.ask("GET", "/safe/x").await), 200);
    });
}

/// After a failed call an answer without news is news: it proves that keys still hold.
#[test]
fn ask_at_once_after_failure() {
    task::block_on(async {
        let site = Site::before(&[]).await;
        site.store.down.store(true, Ordering::SeqCst);
        task::sleep(Duration::from_millis(300)).await;
        site.store.waits.lock().unwrap().clear();
        task::sleep(Duration::from_millis(1_500)).await;
        let waits = site.store.waits.lock().unwrap().clone();
        assert!(!waits.is_empty());
        // Each feed asked when it was due, and found the store away before that.
        let long = waits.iter().filter(|wait| !wait.is_zero()).count();
        assert!(long <= 3, "{waits:?}");
    });
}

/// A request that was read before a freeze must not run after it: its key may be gone by then.
#[test]
fn freeze_between_read_and_dispatch() {
    task::block_on(async {
        let desk = Backend::start(vec![Script::answer(200, "", "hello")]).await;
        let site = Site::before(&[("desk", &desk)]).await;
        let mut stream = TcpStream::connect(site.settings.callers).await.unwrap();
        let head = "POST /unsafe/x HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k1\r\n";
        let head = format!("{head}Content-Length: 2\r\n\r\na");
        stream.write_all(head.as_bytes()).await.unwrap();
        // The head has been read and the key was good.
        task::sleep(Duration::from_millis(100)).await;
        site.store.down.store(true, Ordering::SeqCst);
        task::sleep(Duration::from_millis(100)).await;
        // Short enough for the request's own deadline, too long for the key.
        let freeze = site.settings.key_life + Duration::from_millis(200);
        site.hand.advance(freeze);
        stream.write_all(b"b").await.unwrap();
        let mut buffer = [0; 1_024];
        let count = stream.read(&mut buffer).await.unwrap();
        let answer = String::from_utf8_lossy(&buffer[..count]).into_owned();
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(desk.heads().is_empty(), "{:?}", desk.heads());
    });
}

#[test]
fn leaving_back_end_gets_nothing() {
    task::block_on(async {
        let desk = Backend::start(vec![Script::answer(200, "", "hello")]).await;
        let site = Site::before(&[("desk", &desk)]).await;
        let row = format!("desk {} leaving", desk.address);
        site.store.put("vms", "vm-1", &row);
        task::sleep(Duration::from_millis(900)).await;
        assert_eq!(status(&site.ask("GET", "/safe/x").await), 503);
        assert!(desk.heads().is_empty());
    });
}

/// A VM starts and leaves between two answers of the store.
#[test]
fn short_lived_back_end_gets_nothing() {
    task::block_on(async {
        let desk = Backend::start(vec![Script::answer(200, "", "hello")]).await;
        let site = Site::before(&[]).await;
        let row = format!("desk {}", desk.address);
        site.store.put_and_remove("vms", "vm-1", &row);
        task::sleep(Duration::from_millis(900)).await;
        assert_eq!(status(&site.ask("GET", "/safe/x").await), 503);
        assert!(desk.heads().is_empty());
    });
}

#[test]
fn evacuated_centre_gets_nothing() {
    task::block_on(async {
        let desk = Backend::start(vec![Script::answer(200, "", "hello")]).await;
        let site = Site::before(&[("desk", &desk)]).await;
        site.store.put("operators", "here", "");
        task::sleep(Duration::from_millis(500)).await;
        assert_eq!(status(&site.ask("GET", "/safe/x").await), 503);
        site.store.remove("operators", "here");
        task::sleep(Duration::from_millis(500)).await;
        assert_eq!(status(&site.ask("GET", "/safe/x").await), 200);
    });
}

#[test]
fn stop_finishes_stream() {
    task::block_on(async {
        let llm = Backend::start(vec![Script::events(1, 300, true)]).await;
        let mut site = Site::before(&[("llm", &llm)]).await;
        let gateway = site.gateway.take().unwrap();
        let callers = site.settings.callers;
        let stream = task::spawn(async move {
            let mut stream = TcpStream::connect(callers).await.unwrap();
            let request = "POST /stream/x HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k1\r\n\r\n";
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await.unwrap();
            String::from_utf8(answer).unwrap()
        });
        task::sleep(Duration::from_millis(100)).await;
        gateway.stop().await;
        let answer = stream.await;
        assert!(answer.contains("id: 300\n"), "the stream was cut");
        assert!(answer.ends_with("0\r\n\r\n"));
    });
}

/// Callers who did not heed the balancer's check go on opening connections until the end.
#[test]
fn stop_cuts_no_late_request() {
    task::block_on(async {
        let llm = Backend::start(vec![Script::events(1, 200, true)]).await;
        let mut site = Site::before(&[("llm", &llm)]).await;
        let mut gateway = site.gateway.take().unwrap();
        gateway.reload(site.settings.clone().grace(Duration::from_secs(4)));
        let callers = site.settings.callers;
        let served = Arc::new(Served::default());
        for _ in 0..4 {
            task::spawn(call_again_and_again(callers, Arc::clone(&served)));
        }
        task::sleep(Duration::from_millis(200)).await;
        gateway.stop().await;
        assert!(served.whole.load(Ordering::SeqCst) > 0);
        assert_eq!(served.begun.load(Ordering::SeqCst), 0, "answers are cut");
    });
}

/// What callers got.
#[derive(Debug, Default)]
struct Served {
    /// Answers that have begun and are not out.
    begun: AtomicUsize,
    /// Answers that are out.
    whole: AtomicUsize,
}

/// Asks for a stream on a new connection each time, until none can be opened.
async fn call_again_and_again(callers: SocketAddr, served: Arc<Served>) {
    let request = "POST /stream/x HTTP/1.1\r\nHost: shop\r\nid: 1\r\nkey: k1\r\n\r\n";
    while let Ok(mut stream) = TcpStream::connect(callers).await {
        if stream.write_all(request.as_bytes()).await.is_err() {
            return;
        }
        let mut first = [0];
        let answered = io::timeout(ANSWER_LIMIT, stream.read_exact(&mut first));
        if answered.await.is_err() {
            return;
        }
        served.begun.fetch_add(1, Ordering::SeqCst);
        let mut rest = Vec::new();
        let ended = io::timeout(ANSWER_LIMIT, stream.read_to_end(&mut rest)).await;
        if ended.is_err() {
            return;
        }
        served.begun.fetch_sub(1, Ordering::SeqCst);
        served.whole.fetch_add(1, Ordering::SeqCst);
    }
}
