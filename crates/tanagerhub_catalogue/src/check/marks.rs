//! Compares a document with the marks in force.

use std::collections::HashSet;

use super::source::Collector;
use crate::{Catalogue, FindingReason, Marks};

/// Warns if no data centre of the document is in service, and about data centres that the document
/// drops while they are out of service.
pub(super) fn check(catalogue: &Catalogue, marks: &Marks, collector: &mut Collector<'_>) {
    let names: HashSet<&str> = catalogue
        .data_centres
        .iter()
        .map(|data_centre| data_centre.name.as_str())
        .collect();
    let out = |name: &&str| marks.data_centres_out.contains(*name);
    if !names.is_empty() && names.iter().all(out) {
        let count = names.len();
        let reason = FindingReason::AllDataCentresOut { count };
        collector.warn_section("data_centres", None, reason);
    }
    for name in &marks.data_centres_out {
        if !names.contains(name.as_str()) {
            let reason = FindingReason::DroppedDataCentreOut;
            collector.warn_section("data_centres", Some(name), reason);
        }
    }
}
