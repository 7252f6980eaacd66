//! Tests of the JSON format in which a catalogue is stored.

use tanagerhub_catalogue::Catalogue;

const DOCUMENT: &str = r#"
[[entries]]
name = "advisor"
owner = "fit-team"
class = "interactive"
kind = "model"
weights = "advisor-7"
span = 2
fencing = "checked"

[[entries]]
name = "shop-api"
owner = "checkout-team"
class = "standard"
kind = "service"
"#;

#[test]
fn deserialize_restores_both_kinds() {
    let catalogue = Catalogue::parse(DOCUMENT).unwrap();
    let json = serde_json::to_string(&catalogue).unwrap();
    let copy: Catalogue = serde_json::from_str(&json).unwrap();
    assert_eq!(copy, catalogue);
}
