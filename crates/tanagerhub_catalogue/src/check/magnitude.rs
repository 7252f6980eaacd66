//! Finds values that appear wrong by a factor of 1,000.

use std::time::Duration;

use super::source::{Collector, Item};
use crate::{Catalogue, Entry, FindingReason, Limits, OrganisationLimits, PerSecond};

/// The smallest number of values among which one can be unusual.
const MIN_VALUES: usize = 4;
/// Maximum ratio of a value to the median for the value to count as near it.
const NEAR_RATIO: f64 = 10.0;
/// The ratios to the median that are closer to 1,000 than to 100 or 10,000.
const THOUSANDFOLD: std::ops::RangeInclusive<f64> = 316.0..=3_162.0;

type TimeOf = fn(&Limits) -> Duration;
type RateOf = fn(&OrganisationLimits) -> Option<PerSecond>;

/// Warns about times of entries and rates of organisations that the document states about 1,000
/// times higher or lower than most other items.
pub(super) fn check(catalogue: &Catalogue, collector: &mut Collector<'_>) {
    let times: [(&str, TimeOf); 2] = [
        ("limits.deadline_ms", |limits| limits.timeout),
        ("limits.first_byte_ms", |limits| limits.first_byte_timeout),
    ];
    for (field, time) in times {
        let entries = catalogue.entries.iter();
        let millis = |entry: &Entry| time(&entry.limits).as_secs_f64() * 1_000.0;
        let values = entries.map(|entry| (entry.name.as_str(), Some(millis(entry))));
        check_field("entries", field, &values.collect::<Vec<_>>(), collector);
    }
    let rates: [(&str, RateOf); 2] = [
        ("limits.requests", |limits| limits.requests),
        ("limits.tokens", |limits| limits.tokens),
    ];
    for (field, rate) in rates {
        let organisations = catalogue.organisations.iter();
        let values = organisations.map(|organisation| {
            let rate = rate(&organisation.limits).map(|rate| rate.0);
            (organisation.name.as_str(), rate)
        });
        check_field(
            "organisations",
            field,
            &values.collect::<Vec<_>>(),
            collector,
        );
    }
}

/// Checks the values that the items of a section have in one field.
fn check_field(
    section: &'static str,
    field: &str,
    items: &[(&str, Option<f64>)],
    collector: &mut Collector<'_>,
) {
    let Some(median) = usual_value(items.iter().filter_map(|(_, value)| *value)) else {
        return;
    };
    for (index, (name, value)) in items.iter().enumerate() {
        let item = Item {
            section,
            index,
            name,
        };
        let unlikely = |value: &f64| THOUSANDFOLD.contains(&ratio(*value, median));
        if let Some(value) = value.filter(unlikely)
            && collector.is_written(item, field)
        {
            let reason = FindingReason::UnlikelyMagnitude { value, median };
            collector.warn(item, field, reason);
        }
    }
}

/// Returns the median if at least three quarters of the values are near it.
fn usual_value(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    if values.len() < MIN_VALUES {
        return None;
    }
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    let near = |value: &&f64| ratio(**value, median) <= NEAR_RATIO;
    let near = values.iter().filter(near).count();
    (near * 4 >= values.len() * 3).then_some(median)
}

/// Returns the ratio of the larger of two positive values to the smaller one.
fn ratio(value: f64, other: f64) -> f64 {
    (value / other).max(other / value)
}
