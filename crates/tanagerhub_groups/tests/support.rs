//! What the tests of this crate share.

pub mod world;
