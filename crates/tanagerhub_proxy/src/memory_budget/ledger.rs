//! Decides on reservations of memory, without locks, time or I/O.

use std::collections::BTreeSet;

use crate::memory_budget::{Level, Part, PartUsage};

/// The share of the process limit that request bodies may occupy. The rest, beyond both parts, is
/// for the process itself: code, tables, parsers and the allocator's fragmentation.
const BODIES_PERCENT: u64 = 20;
/// The share of the process limit that responses may occupy; open streams have their buffers here.
const RESPONSES_PERCENT: u64 = 35;
/// The usage of a part from which on it is at the soft level, in percent.
const SOFT: u64 = 70;
/// The usage of a part below which it leaves the soft level.
const SOFT_EXIT: u64 = 60;
/// The usage of a part from which on it is at the hard level.
const HARD: u64 = 90;
/// The usage of a part below which it leaves the hard level.
const HARD_EXIT: u64 = 80;
/// The maximum number of requests that wait for one part, since waiting requests have buffers too.
const MAX_WAITING: usize = 64;

/// The number of urgencies whose requests get bytes at the soft level.
const URGENT_LEVELS: u8 = 2;
/// The usage, in percent, by which requests of urgency 1 may wait beyond that at which they get
/// bytes.
const WAIT_MARGIN: u64 = 5;

/// The place of a request among those that wait: its urgency and its order of arrival.
pub(crate) type Place = (u8, u64);

/// The answer to a request for bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    Granted,
    Wait,
    Refused,
    /// The part can never hold the bytes.
    TooLarge,
}

/// The bytes that are reserved in each part.
#[derive(Debug)]
pub(crate) struct Ledger {
    parts: [PartLedger; 2],
}

/// The bytes that are reserved in one part.
#[derive(Debug)]
pub(crate) struct PartLedger {
    limit: u64,
    used: u64,
    peak: u64,
    level: Level,
    refused: u64,
    waiting: BTreeSet<Place>,
}

impl Ledger {
    pub(crate) fn new(limit: u64) -> Self {
        let part = |percent| PartLedger {
            limit: limit / 100 * percent,
            used: 0,
            peak: 0,
            level: Level::Normal,
            refused: 0,
            waiting: BTreeSet::new(),
        };
        Self {
            parts: [part(BODIES_PERCENT), part(RESPONSES_PERCENT)],
        }
    }

    pub(crate) const fn part(&self, part: Part) -> &PartLedger {
        match part {
            Part::Bodies => &self.parts[0],
            Part::Responses => &self.parts[1],
        }
    }

    pub(crate) const fn part_mut(&mut self, part: Part) -> &mut PartLedger {
        match part {
            Part::Bodies => &mut self.parts[0],
            Part::Responses => &mut self.parts[1],
        }
    }
}

impl PartLedger {
    pub(crate) const fn level(&self) -> Level {
        self.level
    }

    pub(crate) const fn refuse(&mut self) {
        self.refused += 1;
    }

    pub(crate) fn usage(&self) -> PartUsage {
        PartUsage {
            limit: self.limit,
            used: self.used,
            peak: self.peak,
            level: self.level,
            waiting: self.waiting.len(),
            refused: self.refused,
        }
    }

    /// Answers a new request for bytes, and reserves them if it grants them.
    ///
    /// Requests wait in the order of their urgency and arrival, so that small ones can't keep a
    /// large one waiting without end.
    pub(crate) fn ask(&mut self, bytes: u64, place: Place) -> Answer {
        let answer = self.answer(bytes, place);
        match answer {
            Answer::Granted => {
                self.waiting.remove(&place);
                self.add(bytes);
            }
            Answer::Wait => {
                self.waiting.insert(place);
            }
            Answer::Refused | Answer::TooLarge => {
                self.waiting.remove(&place);
                self.refused += 1;
            }
        }
        answer
    }

    fn answer(&self, bytes: u64, place: Place) -> Answer {
        let (urgency, _) = place;
        if bytes > self.limit {
            return Answer::TooLarge;
        }
        if self.level == Level::Hard || self.used >= self.percent(refusal_threshold(urgency)) {
            return Answer::Refused;
        }
        let is_first = self.waiting.first().is_none_or(|first| *first >= place);
        let open = self.level == Level::Normal || urgency < URGENT_LEVELS;
        let below = self.used < self.percent(grant_threshold(urgency));
        if is_first && open && below && self.used + bytes <= self.limit {
            return Answer::Granted;
        }
        if self.waiting.len() >= MAX_WAITING && !self.waiting.contains(&place) {
            return Answer::Refused;
        }
        Answer::Wait
    }

    /// Reserves more bytes for a request that already has some, up to the limit of the part.
    ///
    /// Such a request never waits: if several with a part of their bytes waited for each other,
    /// none would end.
    pub(crate) fn grow(&mut self, bytes: u64) -> bool {
        let fits = self.used + bytes <= self.limit;
        if fits {
            self.add(bytes);
        }
        fits
    }

    /// Reserves bytes that are already in memory, even beyond the limit.
    pub(crate) fn add(&mut self, bytes: u64) {
        self.used += bytes;
        self.peak = self.peak.max(self.used);
        self.update_level();
    }

    pub(crate) fn give_back(&mut self, bytes: u64) {
        debug_assert!(bytes <= self.used);
        self.used = self.used.saturating_sub(bytes);
        self.update_level();
    }

    /// Removes a request that no longer waits.
    pub(crate) fn stop_waiting(&mut self, place: Place) {
        self.waiting.remove(&place);
    }

    const fn percent(&self, percent: u64) -> u64 {
        self.limit * percent / 100
    }

    fn update_level(&mut self) {
        let at = |percent| self.used >= self.percent(percent);
        self.level = match self.level {
            _ if at(HARD) => Level::Hard,
            Level::Hard if at(HARD_EXIT) => Level::Hard,
            Level::Normal if !at(SOFT) => Level::Normal,
            _ if at(SOFT_EXIT) => Level::Soft,
            _ => Level::Normal,
        };
    }
}

/// Returns the usage in percent below which a request of this urgency gets bytes.
const fn grant_threshold(urgency: u8) -> u64 {
    match urgency {
        0 => HARD,
        1 => u64::midpoint(SOFT, HARD),
        _ => SOFT,
    }
}

/// Returns the usage in percent from which on a request of this urgency is refused at once.
const fn refusal_threshold(urgency: u8) -> u64 {
    match urgency {
        0 => HARD,
        1 => u64::midpoint(SOFT, HARD) + WAIT_MARGIN,
        _ => u64::midpoint(SOFT, HARD),
    }
}
