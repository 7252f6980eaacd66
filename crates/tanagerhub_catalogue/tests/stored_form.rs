//! Tests of the form in which a catalogue is stored and sent to peers.

use tanagerhub_catalogue::Catalogue;

const DOCUMENT: &str = r#"
[[data_centres]]
name = "tbs-a"
region = "tbilisi"

[[organisations]]
name = "baia-shoes"

[[entries]]
name = "size-advisor"
owner = "fit-team"
class = "interactive"
kind = "model"
weights = "advisor-7"
span = 2
fencing = "checked"

[[entries]]
name = "shop-api"
owner = "shop-team"
class = "standard"
kind = "service"
routes = [{ method = "POST", path = "/credits", repeatable = false }]
"#;

#[test]
fn stored_form_keeps_catalogue() {
    let catalogue = Catalogue::parse(DOCUMENT).unwrap();
    let stored = serde_json::to_string(&catalogue).unwrap();
    let read: Catalogue = serde_json::from_str(&stored).unwrap();
    assert_eq!(read, catalogue);
}
