//! Several nodes over real sockets, under the faults of engines, nodes, store and data centres.
//!
//! Every test ends with the checker's verdict on all ten promises.

mod data_centres;
mod engines;
mod harness;
mod nodes;
mod pairs;
mod services;
mod store;
