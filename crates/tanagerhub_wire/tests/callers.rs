//! Tests of parsing callers' requests.

use http::{Method, StatusCode};
use tanagerhub_catalogue::KeyHash;
use tanagerhub_wire::callers::{
    BLOCK_BYTES, Call, CallerRequest, Endpoint, ErrorKind, ErrorResponse, Outcome, ServiceCall,
};
use yare::parameterized;

fn parse(method: &str, path: &str, body: &str) -> Result<CallerRequest, ErrorResponse> {
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", "Bearer s3cret")
        .body(body.to_owned().into())
        .unwrap();
    CallerRequest::parse(request)
}

fn chat(text: &str) -> String {
    format!(r#"{{"model":"advisor","messages":[{{"role":"user","content":"{text}"}}]}}"#)
}

#[test]
fn parse_chat() {
    let body = r#"{"model":"advisor","stream":true,"max_tokens":9,"max_completion_tokens":7,
        "messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"seed":1}"#;
    let request = parse("POST", "/v1/chat/completions", body).unwrap();
    assert_eq!(request.entry(), Some("advisor"));
    assert_eq!(request.key, KeyHash::of("s3cret"));
    let Call::Model(call) = request.call else {
        panic!("{:?}", request.call);
    };
    assert_eq!(call.endpoint, Endpoint::Chat);
    assert!(call.stream);
    assert_eq!(call.max_tokens, Some(7));
    assert_eq!(request.body, body);
}

#[test]
fn parse_text() {
    let body = r#"{"model":"advisor","prompt":"twelve bytes"}"#;
    let request = parse("POST", "/v1/completions", body).unwrap();
    let Call::Model(call) = request.call else {
        panic!("{:?}", request.call);
    };
    assert_eq!(call.endpoint, Endpoint::Text);
    assert_eq!((call.stream, call.prompt_tokens), (false, 3));
}

#[test]
fn parse_prefix_shared() {
    let start = "s".repeat(2 * BLOCK_BYTES);
    let prefix = |end: &str| {
        let request = parse(
            "POST",
            "/v1/chat/completions",
            &chat(&format!("{start}{end}")),
        );
        let Call::Model(call) = request.unwrap().call else {
            panic!("not a model call");
        };
        call.prefix
    };
    let long = "a".repeat(BLOCK_BYTES);
    let (one, other) = (prefix(&long), prefix(&"b".repeat(BLOCK_BYTES)));
    assert_eq!(one.len(), 3);
    assert_eq!(one[..2], other[..2]);
    assert_ne!(one[2], other[2]);
}

#[test]
fn parse_service() {
    let request = parse("PATCH", "/services/hire-desk/bookings/7?dry=1", "x").unwrap();
    let expected = ServiceCall {
        entry: "hire-desk".to_owned(),
        method: Method::PATCH,
        path: "/bookings/7".to_owned(),
        query: Some("dry=1".to_owned()),
    };
    assert_eq!(request.call, Call::Service(expected));
}

#[test]
fn parse_list() {
    let request = parse("GET", "/v1/models", "").unwrap();
    assert_eq!(request.call, Call::ListModels);
    assert_eq!(request.entry_id(), None);
}

#[test]
fn parse_headers_forwarded() {
    let request = http::Request::post("/services/hire-desk/bookings")
        .header("authorization", "Bearer s3cret")
        .header("connection", "keep-alive, X-Private")
        .header("x-private", "1")
        .header("x-tanagerhub-epoch", "9")
        .header("host", "a")
        .header("content-length", "1")
        .header("idempotency-key", "booking-17")
        .header("x-crew", "north")
        .body("x".into())
        .unwrap();
    let request = CallerRequest::parse(request).unwrap();
    let mut names: Vec<_> = request
        .headers
        .keys()
        .map(http::HeaderName::as_str)
        .collect();
    names.sort_unstable();
    assert_eq!(names, ["idempotency-key", "x-crew"]);
    assert_eq!(request.idempotency_key.unwrap().as_str(), "booking-17");
}

#[parameterized(
    same = { "POST", "/services/a/x", "1", true },
    other_body = { "POST", "/services/a/x", "2", false },
    other_path = { "POST", "/services/a/y", "1", false },
    other_method = { "PUT", "/services/a/x", "1", false },
    query = { "POST", "/services/a/x?1", "1", false },
)]
fn fingerprint(method: &str, path: &str, body: &str, equal: bool) {
    let first = parse("POST", "/services/a/x", "1").unwrap().fingerprint;
    let second = parse(method, path, body).unwrap().fingerprint;
    assert_eq!(first == second, equal);
}

#[parameterized(
    unknown_path = { "GET", "/v2/models", "", ErrorKind::UnknownPath },
    no_service = { "GET", "/services/", "", ErrorKind::UnknownPath },
    method = { "GET", "/v1/completions", "", ErrorKind::UnknownMethod },
    list_method = { "POST", "/v1/models", "", ErrorKind::UnknownMethod },
    no_json = { "POST", "/v1/completions", "x", ErrorKind::InvalidRequest },
    no_model = { "POST", "/v1/completions", "{}", ErrorKind::InvalidRequest },
    no_messages = { "POST", "/v1/chat/completions", r#"{"model":"a","messages":[]}"#, ErrorKind::InvalidRequest },
    no_prompt = { "POST", "/v1/completions", r#"{"model":"a"}"#, ErrorKind::InvalidRequest },
    negative_max_tokens = { "POST", "/v1/completions", r#"{"model":"a","prompt":"","max_tokens":-1}"#, ErrorKind::InvalidRequest },
)]
fn refuse_call(method: &str, path: &str, body: &str, kind: ErrorKind) {
    let error = parse(method, path, body).unwrap_err();
    assert_eq!(error.kind(), kind, "{}", error.message());
    assert_eq!(error.outcome(), Outcome::NotRun);
}

#[parameterized(
    none = { "" },
    other_scheme = { "Basic abc" },
    no_key = { "Bearer " },
)]
fn refuse_key(authorization: &str) {
    let request = http::Request::get("/v1/models")
        .header("authorization", authorization)
        .body("".into())
        .unwrap();
    let error = CallerRequest::parse(request).unwrap_err();
    let response = error.into_response();
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(response.headers()["www-authenticate"], "Bearer");
}

#[parameterized(
    empty = { &[""] },
    spaces = { &["a b"] },
    two = { &["a", "b"] },
)]
fn refuse_idempotency_key(keys: &[&str]) {
    let mut request = http::Request::get("/v1/models").header("authorization", "Bearer k");
    for key in keys {
        request = request.header("idempotency-key", *key);
    }
    let error = CallerRequest::parse(request.body("".into()).unwrap()).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::InvalidRequest);
}
