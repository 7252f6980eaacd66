//! Explores the acceptance model with larger bounds than CI does.
//!
//! Run it with `cargo run --release -p tanagerhub_membership --example explore -- NODES REPLACEMENTS`.

use std::time::Instant;

#[path = "../tests/model/protocol_model.rs"]
#[expect(dead_code, reason = "the broken rules are for the tests")]
mod protocol_model;

use protocol_model::{Model, Rules};

fn main() {
    let mut bounds = std::env::args().skip(1);
    let mut bound = |default| {
        let text = bounds.next();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let model = Model {
        nodes: bound(5),
        replacements: bound(2),
        rules: Rules::Product,
    };
    let began = Instant::now();
    let verdict = model.explore();
    println!("{model:?}: {verdict:?} in {:.1?}", began.elapsed());
}
