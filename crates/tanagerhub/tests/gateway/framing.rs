//! Bodies of callers and responses of backend servers whose length isn't as usual.

#[path = "framing/refusals.rs"]
mod refusals;
