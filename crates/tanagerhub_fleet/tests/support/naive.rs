//! The naive baseline policy.

use std::time::Duration;

use super::{DETECTION_TIME, LOAD_TIME, Size, Stranded, VmFault};

/// Simulates faults under the naive baseline: first-fit placement, and a group is dissolved at the
/// first failed probe.
pub fn run_naive(size: &Size, duration: Duration, faults: &[(u64, usize, VmFault)]) -> Stranded {
    let mut policy = NaivePolicy::new(size);
    let mut floor = 0;
    let mut remaining = faults.iter().peekable();
    let mut excess = 0;
    for second in 0..duration.as_secs() {
        policy.now = second;
        while let Some((_, index, fault)) = remaining.next_if(|(at, _, _)| *at <= second) {
            floor += policy.apply_fault(*index, *fault);
        }
        policy.form();
        excess += policy.stranded().saturating_sub(size.idle());
    }
    Stranded { excess, floor }
}

#[derive(Debug)]
struct NaiveGroup {
    entry: usize,
    members: Vec<usize>,
    serves_at: u64,
    /// The second at which a failed probe dissolves the group.
    ends_at: Option<u64>,
    /// The second at which a member failed.
    broken_at: Option<u64>,
}

#[derive(Debug)]
struct NaivePolicy {
    now: u64,
    vms_each: usize,
    /// The second from which each VM is available again.
    available_at: Vec<u64>,
    allocated: Vec<bool>,
    groups: Vec<NaiveGroup>,
    entries: Vec<(usize, usize)>,
    loads: Vec<u64>,
}

impl NaivePolicy {
    fn new(size: &Size) -> Self {
        let count = size.domains * size.vms_each;
        let mut policy = Self {
            now: 0,
            vms_each: size.vms_each,
            available_at: vec![0; count],
            allocated: vec![false; count],
            groups: Vec::new(),
            entries: size
                .entries
                .iter()
                .map(|(_, span, count)| (usize::from(*span), *count as usize))
                .collect(),
            loads: vec![0; size.loads_max],
        };
        policy.form();
        for group in &mut policy.groups {
            group.serves_at = 0;
        }
        policy.loads.fill(0);
        policy
    }

    fn apply_fault(&mut self, index: usize, fault: VmFault) -> u64 {
        if self.available_at[index] > self.now {
            return 0;
        }
        self.available_at[index] = self.now + fault.outage().as_secs();
        let now = self.now;
        let found = self
            .groups
            .iter_mut()
            .find(|group| group.members.contains(&index));
        let Some(group) = found else {
            return 0;
        };
        group.ends_at = group.ends_at.or(Some(now + DETECTION_TIME.as_secs()));
        group.broken_at = group.broken_at.or(Some(now));
        group.members.len() as u64 * fault.floor().as_secs()
    }

    fn form(&mut self) {
        let now = self.now;
        let ended = |group: &NaiveGroup| group.ends_at.is_some_and(|at| at <= now);
        for group in self.groups.iter().filter(|group| ended(group)) {
            for index in &group.members {
                self.allocated[*index] = false;
            }
        }
        self.groups.retain(|group| !ended(group));
        for entry in 0..self.entries.len() {
            let (span, count) = self.entries[entry];
            let mut held = self
                .groups
                .iter()
                .filter(|group| group.entry == entry)
                .count();
            while held < count && self.form_one(entry, span) {
                held += 1;
            }
        }
    }

    fn form_one(&mut self, entry: usize, span: usize) -> bool {
        let free = |index: &usize| !self.allocated[*index] && self.available_at[*index] <= self.now;
        let domains = (0..self.allocated.len()).step_by(self.vms_each);
        let found = domains
            .map(|first| {
                (first..first + self.vms_each)
                    .filter(free)
                    .take(span)
                    .collect()
            })
            .find(|indexes: &Vec<usize>| indexes.len() == span);
        let Some(members) = found else {
            return false;
        };
        let mut serves_at = self.now;
        for index in &members {
            self.allocated[*index] = true;
            let slot = self.loads.iter_mut().min().expect("the load limit is zero");
            *slot = (*slot).max(self.now) + LOAD_TIME.as_secs();
            serves_at = serves_at.max(*slot);
        }
        self.groups.push(NaiveGroup {
            entry,
            members,
            serves_at,
            ends_at: None,
            broken_at: None,
        });
        true
    }

    fn stranded(&self) -> u64 {
        let serves = |group: &&NaiveGroup| group.serves_at <= self.now && group.broken_at.is_none();
        let serving: usize = self
            .groups
            .iter()
            .filter(serves)
            .map(|group| group.members.len())
            .sum();
        (self.allocated.len() - serving) as u64
    }
}
