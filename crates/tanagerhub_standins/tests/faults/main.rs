//! Tests of several nodes over real sockets, with faults of engines, nodes, store and data centres.
//!
//! At its end, every test checks its log against all ten promises.

mod data_centres;
mod engines;
mod harness;
mod load;
mod nodes;
mod pairs;
mod services;
mod store;
mod version_watch;
