//! Runs the operators' commands against an operator API on loopback.

use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_std::net::TcpListener;
use async_std::task;
use tanagerhub_catalogue::{Catalogue, CatalogueVersion, Mark};
use tanagerhub_clock::Clock;
use tanagerhub_daemon::ctl::{Command, CtlError, ExitStatus, Output, ctl, run};
use tanagerhub_wire::http::{HttpLimits, Request, serve};
use tanagerhub_wire::operators::{
    Applied, CatalogueView, MarkTarget, OperatorCall, OperatorError, OperatorResponse,
    OperatorToken, StatusView, handle_operator_request,
};
use yare::parameterized;

const TOKEN: &str = "fedcba9876543210";
const DOCUMENT: &str = "[[data_centres]]\nname = \"tbs-a\"\nregion = \"tbilisi\"\n";

type NodeResponse = Result<OperatorResponse, OperatorError>;

/// Starts an operator API that records calls and gives each the same response; reads of the
/// catalogue get a catalogue and aren't recorded.
async fn serve_node(response: NodeResponse) -> (SocketAddr, Arc<Mutex<Vec<OperatorCall>>>) {
    let calls = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&calls);
    let handler = move |request: Request| {
        let (response, recorded) = (response.clone(), Arc::clone(&recorded));
        async move {
            let respond = async |call: OperatorCall| {
                if call == OperatorCall::Catalogue {
                    return Ok(OperatorResponse::Catalogue(Box::new(CatalogueView {
                        version: CatalogueVersion(6),
                        fresh: true,
                        catalogue: Catalogue::default(),
                    })));
                }
                recorded.lock().unwrap().push(call);
                response.clone()
            };
            handle_operator_request(&request, &OperatorToken::new(TOKEN), respond).await
        }
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = serve(listener, HttpLimits::default(), Clock::real(), handler).unwrap();
    let address = server.address();
    // Keeps the server running until the test process ends.
    std::mem::forget(server);
    (address, calls)
}

async fn call(address: &str, args: &[&str]) -> Result<Output, CtlError> {
    let ctl = ctl().run_inner(args).unwrap();
    let variables = |name: &str| match name {
        "TANAGERCTL_ADDRESS" => Some(address.to_owned()),
        "TANAGERCTL_TOKEN" => Some(TOKEN.to_owned()),
        _ => None,
    };
    run(ctl, variables).await
}

fn applied(committed: bool, in_force: bool) -> OperatorResponse {
    OperatorResponse::Applied(Applied {
        version: CatalogueVersion(7),
        committed,
        in_force,
        missing: if in_force {
            Vec::new()
        } else {
            vec!["10.0.0.6:7070".to_owned()]
        },
    })
}

/// Writes a catalogue document to a temporary file and returns its path.
fn document_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
    let mut file = std::fs::File::create(&path).unwrap();
    file.write_all(text.as_bytes()).unwrap();
    path.to_str().unwrap().to_owned()
}

#[parameterized(
    in_force = { applied(true, true), "--wait", None, "version 7 is in force at every node" },
    not_waited = { applied(true, false), "--json", None, "\"version\": 7" },
    late = { applied(true, false), "--wait", Some(ExitStatus::NotInForce), "10.0.0.6:7070" },
    dry = { applied(false, false), "--dry-run", None, "nothing was changed" },
)]
fn apply_accepted(response: OperatorResponse, flag: &str, error: Option<ExitStatus>, text: &str) {
    task::block_on(async {
        let file = document_file(&format!("accepted{flag}{}", text.len()), DOCUMENT);
        let (address, calls) = serve_node(Ok(response)).await;
        let output = call(&address.to_string(), &["apply", "-f", &file, flag])
            .await
            .unwrap();
        assert!(
            output.text.contains("data_centres.tbs-a"),
            "{}",
            output.text
        );
        assert!(output.text.contains(text), "{}", output.text);
        assert_eq!(output.error.map(|error| error.exit_status()), error);
        let calls = calls.lock().unwrap();
        let [OperatorCall::Apply(apply)] = calls.as_slice() else {
            panic!("{calls:?}");
        };
        assert_eq!(apply.expected, Some(CatalogueVersion(6)));
        assert_eq!(apply.document, DOCUMENT);
        assert_eq!(apply.wait, flag == "--wait");
        assert_eq!(apply.dry_run, flag == "--dry-run");
        std::fs::remove_file(file).unwrap();
    });
}

#[parameterized(
    conflict = { OperatorError::Conflict { expected: CatalogueVersion(6), current: CatalogueVersion(8) }, ExitStatus::Refused },
    unavailable = { OperatorError::Unavailable { reason: "the table is down".to_owned() }, ExitStatus::Refused },
    unknown = { OperatorError::Unknown { reason: "the answer was lost".to_owned() }, ExitStatus::Unknown },
)]
fn mark_refused(error: OperatorError, status: ExitStatus) {
    task::block_on(async {
        let (address, calls) = serve_node(Err(error)).await;
        let error = call(&address.to_string(), &["dc", "out", "tbs-a"])
            .await
            .unwrap_err();
        assert_eq!(error.exit_status(), status, "{error}");
        let calls = calls.lock().unwrap();
        let [OperatorCall::Mark(mark)] = calls.as_slice() else {
            panic!("{calls:?}");
        };
        assert_eq!(mark.target, MarkTarget::DataCentre);
        assert_eq!((mark.name.as_str(), mark.mark), ("tbs-a", Mark::Out));
    });
}

#[test]
fn apply_mistakes() {
    task::block_on(async {
        let file = document_file("mistakes", "colour = 1\n[[data_centres]]\nname = \"a\"");
        let error = call("127.0.0.1:1", &["apply", "-f", &file])
            .await
            .unwrap_err();
        assert_eq!(error.exit_status(), ExitStatus::Refused);
        assert!(
            error
                .to_string()
                .contains("data_centres.a.region: is missing"),
            "{error}"
        );
        std::fs::remove_file(file).unwrap();
    });
}

/// Returns an address that nothing listens on.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn status_first_node_unreachable() {
    task::block_on(async {
        let status = StatusView {
            node: "10.0.0.5:7070".to_owned(),
            ..StatusView::default()
        };
        let (address, _) = serve_node(Ok(OperatorResponse::Status(Box::new(status)))).await;
        let addresses = format!("{},{address}", closed_address().await);
        let output = call(&addresses, &["status"]).await.unwrap();
        assert!(
            output.text.starts_with("node 10.0.0.5:7070 at version 0"),
            "{}",
            output.text
        );
    });
}

#[test]
fn status_unreachable() {
    task::block_on(async {
        let address = closed_address().await.to_string();
        let error = call(&address, &["status"]).await.unwrap_err();
        assert_eq!(error.exit_status(), ExitStatus::Unreachable);
    });
}

#[test]
fn status_wrong_token() {
    task::block_on(async {
        let (address, _) = serve_node(Ok(applied(true, true))).await;
        let args = ["status", "--token", "guess"];
        let error = call(&address.to_string(), &args).await.unwrap_err();
        assert_eq!(error, CtlError::Refused(OperatorError::Unauthorised));
    });
}

#[test]
fn mark_response_lost() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        task::spawn(async move {
            // Reads the call, and closes the connection without a response.
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = [0; 1_024];
            async_std::io::ReadExt::read(&mut stream, &mut bytes)
                .await
                .unwrap();
        });
        let addresses = format!("{address},{}", closed_address().await);
        let error = call(&addresses, &["vm", "in", "tbs-a-07"])
            .await
            .unwrap_err();
        assert_eq!(error.exit_status(), ExitStatus::Unknown, "{error}");
    });
}

#[test]
fn get_invalid_address() {
    task::block_on(async {
        let error = call("localhost:80", &["get"]).await.unwrap_err();
        assert_eq!(error.exit_status(), ExitStatus::Usage);
        assert!(error.to_string().contains("\"localhost:80\""), "{error}");
    });
}

#[parameterized(
    no_command = { &[] },
    bad_kind = { &["explain", "node", "x"] },
    bad_mark = { &["vm", "sideways", "x"] },
    no_file = { &["apply"] },
    no_name = { &["dc", "out"] },
)]
fn parse_wrong_usage(args: &[&str]) {
    let failure = ctl().run_inner(args).unwrap_err();
    assert!(matches!(failure, bpaf::ParseFailure::Stderr(_)));
}

#[test]
fn parse_crashes_clear() {
    let parsed = ctl().run_inner(&["crashes", "clear", "--json"]).unwrap();
    assert_eq!(parsed.command, Command::ClearCrashes);
    assert!(parsed.common.json);
}
