//! The properties of a caller's request that decisions depend on.

use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;
use tanagerhub_catalogue::{Class, EntryId, OrganisationId, RequestId};
use tanagerhub_clock::Moment;

/// Chained hashes of a prompt's blocks, shortest prefix first.
pub type Prefixes = SmallVec<[u64; 8]>;

/// Hashes of the parts of a prompt that other requests may share, in order.
pub type Parts = SmallVec<[u64; 4]>;

/// Whether a request may be sent again after a byte of it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// It may not be sent again: it runs at most once.
    #[default]
    Never,
    /// It may run again if no token of the response was sent to the caller.
    Whole,
    /// It may also be resumed after the last token sent to the caller.
    Resume,
}

/// One request of a caller.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{EntryId, OrganisationId, RequestId};
/// use tanagerhub_clock::Moment;
/// use tanagerhub_traffic::{Repeat, RequestInfo};
///
/// let entry = EntryId::of("advisor");
/// let info = RequestInfo::new(RequestId(1), OrganisationId::of("shop"), entry)
///     .deadline(Moment::from_millis(30_000))
///     .repeat(Repeat::Resume)
///     .tokens(120, 64);
/// assert_eq!(info.max_tokens, 64);
/// ```
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Id of the request, unique among the requests that wait or run.
    pub id: RequestId,
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Catalogue entry that the request addresses.
    pub entry: EntryId,
    /// Class of the request; `None` for the entry's class. A class more urgent than the entry's has
    /// no effect.
    pub class: Option<Class>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the response.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Prefixes,
    /// Whether it may be sent again after a byte of it was sent.
    pub repeat: Repeat,
    /// Hash of organisation, entry and body; equal requests have equal fingerprints.
    pub fingerprint: u64,
    /// Hashes of the parts of its prompt that other requests may share, in order.
    pub parts: Parts,
    /// Moment by which the response must be complete.
    pub deadline: Moment,
    /// Maximum number of attempts; `None` for
    /// [`TrafficSettings::attempts`](crate::TrafficSettings).
    pub attempts: Option<u32>,
    /// Maximum wait for a group; `None` for as long as the deadline allows.
    pub queue_timeout: Option<Duration>,
    /// Maximum wait for a group that resumes a broken stream; `None` for as long as the deadline
    /// allows.
    pub resume_timeout: Option<Duration>,
    /// Time from submission within which the first byte is on time; `None` for no objective.
    pub objective: Option<Duration>,
    /// Urgency at the coordinators of shared capacity, from 0, the highest, to 9; `None` for that
    /// of the class.
    pub urgency: Option<u8>,
}

impl RequestInfo {
    /// Creates a request that runs at most once. The deadline must still be set.
    #[must_use]
    pub fn new(id: RequestId, organisation: OrganisationId, entry: EntryId) -> Self {
        Self {
            id,
            organisation,
            entry,
            class: None,
            prompt_tokens: 0,
            max_tokens: 0,
            prefixes: Prefixes::new(),
            repeat: Repeat::Never,
            fingerprint: id.0,
            parts: Parts::new(),
            deadline: Moment::ZERO,
            attempts: None,
            queue_timeout: None,
            resume_timeout: None,
            objective: None,
            urgency: None,
        }
    }

    /// Sets the moment by which the response must be complete.
    #[must_use]
    pub const fn deadline(mut self, deadline: Moment) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the maximum wait for a group.
    ///
    /// If no group serves the entry, a request with this timeout is refused without waiting.
    #[must_use]
    pub const fn queue_timeout(mut self, queue_timeout: Duration) -> Self {
        self.queue_timeout = Some(queue_timeout);
        self
    }

    /// Sets the time from submission within which the first byte is on time.
    ///
    /// If a group's first bytes come later, fewer requests are sent to it at once.
    #[must_use]
    pub const fn objective(mut self, objective: Duration) -> Self {
        self.objective = Some(objective);
        self
    }

    /// Sets the urgency at the coordinators of shared capacity, from 0, the highest, to 9.
    #[must_use]
    pub const fn urgency(mut self, urgency: u8) -> Self {
        self.urgency = Some(urgency);
        self
    }

    /// Sets the maximum wait for a group that resumes a broken stream.
    #[must_use]
    pub const fn resume_timeout(mut self, resume_timeout: Duration) -> Self {
        self.resume_timeout = Some(resume_timeout);
        self
    }

    /// Returns the tokens that the request may take of a group's memory: its prompt and the longest
    /// response.
    pub(crate) fn total_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_tokens)
    }

    /// Returns the moment until which a broken stream may wait from now on, at most `latest`.
    pub(crate) fn resume_deadline(&self, now: Moment, latest: Moment) -> Moment {
        self.resume_timeout
            .map_or(latest, |resume_timeout| latest.min(now + resume_timeout))
    }

    /// Returns the moment until which it may wait from now on, at most `latest`.
    pub(crate) fn queue_deadline(&self, now: Moment, latest: Moment) -> Moment {
        self.queue_timeout
            .map_or(latest, |queue_timeout| latest.min(now + queue_timeout))
    }

    /// Sets the maximum number of attempts.
    #[must_use]
    pub const fn attempts(mut self, attempts: u32) -> Self {
        self.attempts = Some(attempts);
        self
    }

    /// Sets whether it may be sent again after a byte of it was sent.
    #[must_use]
    pub const fn repeat(mut self, repeat: Repeat) -> Self {
        self.repeat = repeat;
        self
    }

    /// Sets the number of prompt tokens and the maximum number of response tokens.
    #[must_use]
    pub const fn tokens(mut self, prompt: u32, max: u32) -> Self {
        self.prompt_tokens = prompt;
        self.max_tokens = max;
        self
    }

    /// Sets the hashes of the prompt's prefixes, shortest first.
    #[must_use]
    pub fn prefixes(mut self, prefixes: impl IntoIterator<Item = u64>) -> Self {
        self.prefixes = prefixes.into_iter().collect();
        self
    }

    /// Sets the hash of organisation, entry and body.
    #[must_use]
    pub const fn fingerprint(mut self, fingerprint: u64) -> Self {
        self.fingerprint = fingerprint;
        self
    }

    /// Sets the hashes of the parts of its prompt that other requests may share, in order.
    #[must_use]
    pub fn parts(mut self, parts: impl IntoIterator<Item = u64>) -> Self {
        self.parts = parts.into_iter().collect();
        self
    }

    /// Sets the class, in place of the entry's.
    #[must_use]
    pub const fn class(mut self, class: Class) -> Self {
        self.class = Some(class);
        self
    }

    /// Returns the estimated work of the request, in generated tokens.
    #[must_use]
    pub fn cost(&self) -> f64 {
        1.0 + f64::from(self.max_tokens) + f64::from(self.prompt_tokens) / PROMPT_TOKENS_PER_TOKEN
    }
}

/// Prompt tokens that cost an engine as much as one generated token.
const PROMPT_TOKENS_PER_TOKEN: f64 = 16.0;
