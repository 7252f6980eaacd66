//! Decides which parts of prompts are to blame for crashes.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;

use crate::crash_record::{AttemptPeriod, CrashRecord};

/// Number of separate crashes for which a part is blamed.
pub(crate) const BLAME_LIMIT: usize = 3;
/// Number of crashes for which a part is blamed if at least two of them are separate. A part that
/// groups have run without a crash before needs as many even if enough are separate.
const CRASH_LIMIT: usize = 5;
/// Minimum time between two crashes that certainly have no common cause.
const SEPARATION: Duration = Duration::from_millis(250);
/// Maximum time between two crashes at the same moment.
const SAME_MOMENT: Duration = Duration::from_millis(20);
/// Divisor of the crashes of another part; a part that stands deeper in the prompts may lack the
/// quotient, and at least one, and is still blamed first.
const DEPTH_DIVISOR: usize = 8;
/// Divisor of the crashes of a part that groups still run without a crash; another one needs the
/// quotient to be blamed first.
const RUNNING_DIVISOR: usize = 2;
/// Time within which all nodes learn of a crash. Until then a crash counts only for the part that
/// is blamed first.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// A group that crashed, at one of its epochs.
pub(crate) type Incarnation = (GroupId, Epoch);

/// A part under which enough groups crashed that it may be blamed.
#[derive(Debug)]
pub(crate) struct Candidate {
    part: u64,
    /// The greatest number of parts that were seen before it in a prompt.
    depth: usize,
    standing: Standing,
    crashes: Vec<PartCrash>,
}

/// What is known of a part besides its crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Standing {
    /// Whether groups have run it without a crash before.
    pub(crate) is_trusted: bool,
    /// Whether such a run ended after the first of its crashes.
    pub(crate) is_running: bool,
    /// Whether it is blamed already.
    pub(crate) is_blamed: bool,
}

/// The crash of a group under requests with one part.
#[derive(Debug, Clone, Copy)]
struct PartCrash {
    incarnation: Incarnation,
    period: AttemptPeriod,
    /// Whether it was known before this node started.
    is_listed: bool,
}

impl Candidate {
    /// Returns the candidate for a part's record, if it has enough crashes.
    pub(crate) fn new(part: u64, record: &CrashRecord, standing: Standing) -> Option<Self> {
        let confirmed = record.events.iter().filter(|event| event.is_confirmed);
        let crashes = confirmed.map(|event| PartCrash {
            incarnation: (event.group, event.epoch),
            period: event.period,
            is_listed: event.is_listed,
        });
        let crashes: Vec<PartCrash> = crashes.collect();
        (crashes.len() >= BLAME_LIMIT).then_some(Self {
            part,
            depth: record.depth,
            standing,
            crashes,
        })
    }

    /// Returns whether one of the crashes is newer than `age`.
    pub(crate) fn has_newer(&self, now: Moment, age: Duration) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| now.since(crash.period.until) < age)
    }

    /// Returns whether enough of the crashes that `counts` accepts are separate ones.
    fn is_suspect(&self, counts: impl Fn(&PartCrash) -> bool) -> bool {
        let separate = self.count(SEPARATION, &counts);
        let crashes = self.count(SAME_MOMENT, counts);
        let Standing {
            is_trusted,
            is_blamed,
            ..
        } = self.standing;
        // The times in rows are inexact, so that the number of separate ones may change.
        let is_known = is_blamed && crashes >= BLAME_LIMIT;
        if is_trusted {
            (separate >= BLAME_LIMIT || is_known) && crashes >= CRASH_LIMIT
        } else {
            separate >= BLAME_LIMIT || is_known || (separate > 1 && crashes >= CRASH_LIMIT)
        }
    }

    /// Returns the number of crashes, at least `separation` apart, among those that `counts` accepts.
    fn count(&self, separation: Duration, counts: impl Fn(&PartCrash) -> bool) -> usize {
        let crashes = self.crashes.iter().filter(|crash| counts(crash));
        let mut crashes: Vec<&PartCrash> = crashes.collect();
        crashes.sort_unstable_by_key(|crash| crash.period.until);
        let mut last: Option<Moment> = None;
        let mut count = 0;
        for crash in crashes {
            let is_separate = last.is_none_or(|last| crash.period.from >= last + separation);
            if is_separate || crash.is_listed {
                count += 1;
                last = Some(crash.period.until);
            }
        }
        count
    }
}

/// Returns the parts to blame, each with the number of crashes that it explains.
///
/// The part with the most crashes is blamed first; what it explains no longer counts for the others.
/// So parts that were only in the same groups as a crashing one aren't blamed.
pub(crate) fn blamed_parts(now: Moment, candidates: &[Candidate]) -> HashMap<u64, usize> {
    let mut explained: HashSet<Incarnation> = HashSet::new();
    let mut blamed = HashMap::new();
    loop {
        let is_first = blamed.is_empty();
        let counts = |crash: &PartCrash| {
            let is_settled = is_first || now.since(crash.period.until) >= SETTLE_TIME;
            is_settled && !explained.contains(&crash.incarnation)
        };
        let suspects = candidates
            .iter()
            .filter(|it| it.is_suspect(counts))
            .map(|it| (it.count(SAME_MOMENT, counts), it));
        let Some((count, chosen)) = choose(suspects.collect()) else {
            return blamed;
        };
        explained.extend(chosen.crashes.iter().map(|crash| crash.incarnation));
        blamed.insert(chosen.part, count);
    }
}

/// Chooses the part that is blamed first among those with these numbers of crashes.
fn choose(mut suspects: Vec<(usize, &Candidate)>) -> Option<(usize, &Candidate)> {
    let most = |suspects: &[(usize, &Candidate)]| suspects.iter().map(|(count, _)| *count).max();
    let needed = most(&suspects)?.div_ceil(RUNNING_DIVISOR);
    let only_crashes =
        |(count, it): &(usize, &Candidate)| *count >= needed && !it.standing.is_running;
    if suspects.iter().any(only_crashes) {
        suspects.retain(only_crashes);
    }
    let most = most(&suspects)?;
    let needed = most - (most / DEPTH_DIVISOR).max(1);
    suspects
        .into_iter()
        .filter(|(count, _)| *count >= needed)
        .max_by_key(|(count, it)| (it.depth, *count, it.part))
}
