//! The response to `GET /v1/models`.

use ::http::StatusCode;
use serde::Serialize;

use crate::http::{Response, json};

#[derive(Serialize)]
struct List<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'a str,
}

/// Returns the response that lists these models, given as pairs of name and owner.
///
/// # Examples
///
/// ```
/// use tanagerhub_wire::callers::model_list;
///
/// assert_eq!(model_list([("advisor", "fit")]).status(), 200);
/// ```
#[must_use]
pub fn model_list<'a>(models: impl IntoIterator<Item = (&'a str, &'a str)>) -> Response {
    let model = |(id, owned_by)| Model {
        id,
        object: "model",
        created: 0,
        owned_by,
    };
    let list = List {
        object: "list",
        data: models.into_iter().map(model).collect(),
    };
    json(StatusCode::OK, &list)
}
