//! Exhaustive exploration of the models of acceptance and adoption, and of a paused node.

#[path = "model/pause_model.rs"]
mod pause_model;
#[path = "model/protocol_model.rs"]
mod protocol_model;

use pause_model::{PauseModel, Recheck};
use protocol_model::{Model, Rules};
use yare::parameterized;

#[parameterized(
    three_nodes = { Rules::Product, 3, 3, true },
    five_nodes = { Rules::Product, 5, 1, true },
    six_nodes = { Rules::Product, 6, 1, true },
    one_round = { Rules::OneRound, 5, 1, false },
    fewer_responses = { Rules::FewerResponses, 5, 1, false },
)]
fn explore_acceptance(rules: Rules, nodes: u8, replacements: u8, is_safe: bool) {
    let model = Model {
        rules,
        nodes,
        replacements,
    };
    let verdict = model.explore();
    println!("{model:?}: {verdict:?}");
    assert_eq!(verdict.is_safe, is_safe);
}

#[parameterized(
    before_send = { Recheck::BeforeSend, true },
    never = { Recheck::Never, false },
)]
fn explore_pause(recheck: Recheck, is_safe: bool) {
    let verdict = PauseModel { recheck }.explore();
    println!("{recheck:?}: {verdict:?}");
    assert_eq!(verdict.is_safe, is_safe);
}
