//! The sample catalogue of Kartvel Fit Systems.

use std::fmt::Write as _;

use tanagerhub_catalogue::KeyHash;

/// Name of the model that the sample catalogue serves on groups of two VMs.
pub const ADVISOR: &str = "size-advisor";
/// Name of the model that the sample catalogue serves on single VMs, by engines that ignore
/// fencing.
pub const SUMMARISER: &str = "chart-summariser";
/// Name of the plain service of the sample catalogue.
pub const SHOP_API: &str = "shop-api";
/// The bearer key of the organisation `baia-shoes`.
pub const SAMPLE_KEY: &str = "sample-key-baia";
/// The bearer key of the organisation `rustavi-coats`.
pub const OTHER_KEY: &str = "sample-key-rustavi";
/// Name of the sample's region.
pub const REGION: &str = "tbilisi";
/// Names of the sample's data centres.
pub const DATA_CENTRES: [&str; 3] = ["tbs-a", "tbs-b", "tbs-c"];

/// Returns the sample catalogue as TOML, as operators write it.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::Catalogue;
/// use tanagerhub_standins::sample_catalogue;
///
/// let catalogue = Catalogue::parse(&sample_catalogue()).unwrap();
/// assert_eq!(catalogue.entries.len(), 3);
/// ```
#[must_use]
pub fn sample_catalogue() -> String {
    let mut text = String::new();
    for name in DATA_CENTRES {
        let line = format_args!("[[data_centres]]\nname = \"{name}\"\nregion = \"{REGION}\"\n\n");
        // Writing to a string can't fail.
        let _ = text.write_fmt(line);
    }
    for (name, weight, key) in [
        ("baia-shoes", 3, SAMPLE_KEY),
        ("rustavi-coats", 1, OTHER_KEY),
    ] {
        let hash = serde_json::to_string(&KeyHash::of(key)).unwrap_or_default();
        let line = format_args!(
            "[[organisations]]\nname = \"{name}\"\nweight = {weight}\nkeys = [{hash}]\n\n"
        );
        let _ = text.write_fmt(line);
    }
    text + ENTRIES
}

const ENTRIES: &str = r#"[[entries]]
name = "size-advisor"
owner = "fit-team"
class = "interactive"
kind = "model"
weights = "advisor-7"
span = 2
fencing = "checked"
[entries.limits]
replicas_min = 3
replicas_max = 4
concurrency = 16
deadline_ms = 30000
first_byte_ms = 2000
cold = { concurrency = 2 }

[[entries]]
name = "chart-summariser"
owner = "fit-team"
class = "batch"
kind = "model"
weights = "summariser-2"
span = 1
fencing = "ignored"
[entries.limits]
replicas_min = 2
replicas_max = 3
cold = { concurrency = 1 }

[[entries]]
name = "shop-api"
owner = "checkout-team"
class = "standard"
kind = "service"
routes = [
    { method = "GET", path = "/", repeatable = true },
    { method = "POST", path = "/bookings", repeatable = false },
]
[entries.limits]
replicas_min = 1
replicas_max = 3
cold = { concurrency = 8 }
"#;
