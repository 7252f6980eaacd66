//! Tests of parsing and authorising operators' calls.

use http::StatusCode;
use tanagerhub_catalogue::{CatalogueVersion, Mark};
use tanagerhub_wire::http::Request;
use tanagerhub_wire::operators::{
    Apply, MarkCall, MarkTarget, OperatorCall, OperatorError, OperatorResponse, OperatorToken,
    Readiness, Subject, handle_operator_request,
};
use yare::parameterized;

fn request(method: &str, path: &str, body: &str) -> Request {
    http::Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", "Bearer s3cret")
        .body(body.to_owned().into())
        .unwrap()
}

#[parameterized(
    state = { "GET", "/debug/state", "", OperatorCall::State },
    catalogue = { "GET", "/v1/catalogue", "", OperatorCall::Catalogue },
    status = { "GET", "/v1/status", "", OperatorCall::Status },
    group = { "GET", "/v1/explain/group/00f3", "", OperatorCall::Explain(Subject::Group("00f3".to_owned())) },
    crashes = { "GET", "/v1/crashes", "", OperatorCall::Crashes },
    clear = { "DELETE", "/v1/crashes", "", OperatorCall::ClearCrashes },
    apply = { "PUT", "/v1/catalogue?expected=7&wait=true", "x", OperatorCall::Apply(Apply {
        document: "x".to_owned(),
        expected: Some(CatalogueVersion(7)),
        dry_run: false,
        wait: true,
    }) },
    mark = { "POST", "/v1/marks", r#"{"target":"vm","name":"tbs-a-07","mark":"out"}"#, OperatorCall::Mark(MarkCall {
        target: MarkTarget::Vm,
        name: "tbs-a-07".to_owned(),
        mark: Mark::Out,
        expected: None,
    }) },
)]
fn parse_call(method: &str, path: &str, body: &str, expected: OperatorCall) {
    let call = OperatorCall::parse(&request(method, path, body)).unwrap();
    assert_eq!(call, expected);
}

#[parameterized(
    path = { "GET", "/v1/nothing", "", StatusCode::NOT_FOUND },
    kind = { "GET", "/v1/explain/node/x", "", StatusCode::NOT_FOUND },
    method = { "POST", "/v1/status", "", StatusCode::NOT_FOUND },
    version = { "PUT", "/v1/catalogue?expected=new", "", StatusCode::BAD_REQUEST },
    field = { "PUT", "/v1/catalogue?force=true", "", StatusCode::BAD_REQUEST },
    mark = { "POST", "/v1/marks", r#"{"target":"vm","name":"a","mark":"up"}"#, StatusCode::BAD_REQUEST },
    mark_field = { "POST", "/v1/marks", r#"{"target":"vm","name":"a","mark":"in","force":1}"#, StatusCode::BAD_REQUEST },
)]
fn refuse_call(method: &str, path: &str, body: &str, status: StatusCode) {
    let error = OperatorCall::parse(&request(method, path, body)).unwrap_err();
    assert_eq!(error.status(), status, "{error}");
}

async fn ready(_: OperatorCall) -> Result<OperatorResponse, OperatorError> {
    Ok(OperatorResponse::Ready(Readiness {
        ready: false,
        reason: "the catalogue is not fresh".to_owned(),
    }))
}

#[parameterized(
    open = { "/ready", "", StatusCode::SERVICE_UNAVAILABLE },
    none = { "/v1/status", "", StatusCode::UNAUTHORIZED },
    wrong = { "/v1/status", "Bearer guess", StatusCode::UNAUTHORIZED },
    right = { "/v1/catalogue", "Bearer s3cret", StatusCode::SERVICE_UNAVAILABLE },
)]
fn handle_operator_request_token(path: &str, authorization: &str, status: StatusCode) {
    let request = http::Request::get(path)
        .header("authorization", authorization)
        .body("".into())
        .unwrap();
    let token = OperatorToken::new("s3cret");
    let response = async_std::task::block_on(handle_operator_request(&request, &token, ready));
    assert_eq!(response.status(), status);
}

#[test]
fn handle_operator_request_error() {
    let response = async_std::task::block_on(async {
        let call = request("GET", "/v1/status", "");
        let error = OperatorError::Conflict {
            expected: CatalogueVersion(6),
            current: CatalogueVersion(8),
        };
        let refuse = async |_| Err(error);
        let response = handle_operator_request(&call, &OperatorToken::new("s3cret"), refuse).await;
        assert_eq!(response.status(), StatusCode::CONFLICT);
        assert_eq!(response.headers()["x-tanagerhub-outcome"], "not-run");
        response.into_body().read(1_000).await.unwrap()
    });
    let error: OperatorError = serde_json::from_slice(&response).unwrap();
    assert!(matches!(
        error,
        OperatorError::Conflict {
            current: CatalogueVersion(8),
            ..
        }
    ));
}
