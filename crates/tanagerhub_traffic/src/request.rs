//! A caller's request, as far as decisions need it.

use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;
use tanagerhub_catalogue::{Class, EntryId, OrganisationId, RequestId};
use tanagerhub_clock::Moment;

/// Chained hashes of a prompt's blocks, shortest prefix first.
pub type Prefixes = SmallVec<[u64; 8]>;

/// What may be done with a request after a byte of it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Nothing: it runs at most once.
    #[default]
    Never,
    /// It may run again as long as the caller has seen nothing of the answer.
    Whole,
    /// It may also be resumed at the token that the caller has.
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
    /// The request's id.
    pub id: RequestId,
    /// Who asks.
    pub organisation: OrganisationId,
    /// What is asked.
    pub entry: EntryId,
    /// Its class; `None` takes the entry's. A class above the entry's has no effect.
    pub class: Option<Class>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes.
    pub prefixes: Prefixes,
    /// What may be done after a byte of it was sent.
    pub repeat: Repeat,
    /// Hash of organisation, entry and body; the same request has the same fingerprint.
    pub fingerprint: u64,
    /// When the caller needs the end of the answer.
    pub deadline: Moment,
    /// Attempts that it may have; `None` for the usual number.
    pub attempts: Option<u32>,
    /// How long it may wait for a group; `None` for as long as its deadline allows.
    pub queue_timeout: Option<Duration>,
    /// The time to the first byte that counts as on time, if any does.
    pub objective: Option<Duration>,
}

impl RequestInfo {
    /// Describes a request that runs at most once and whose deadline has yet to be set.
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
            deadline: Moment::ZERO,
            attempts: None,
            queue_timeout: None,
            objective: None,
        }
    }

    /// Sets the deadline.
    #[must_use]
    pub const fn deadline(mut self, deadline: Moment) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets how long it may wait for a group.
    ///
    /// Where no group serves its entry, such a request does not wait at all.
    #[must_use]
    pub const fn queue_timeout(mut self, queue_timeout: Duration) -> Self {
        self.queue_timeout = Some(queue_timeout);
        self
    }

    /// Sets the time to the first byte that counts as on time.
    ///
    /// Where first bytes of a group come later than that, fewer requests wait there at once.
    #[must_use]
    pub const fn objective(mut self, objective: Duration) -> Self {
        self.objective = Some(objective);
        self
    }

    /// Until when it may wait from now on, if it may until `latest`.
    pub(crate) fn queue_deadline(&self, now: Moment, latest: Moment) -> Moment {
        self.queue_timeout
            .map_or(latest, |queue_timeout| latest.min(now + queue_timeout))
    }

    /// Sets how many attempts it may have.
    #[must_use]
    pub const fn attempts(mut self, attempts: u32) -> Self {
        self.attempts = Some(attempts);
        self
    }

    /// Sets what may be repeated.
    #[must_use]
    pub const fn repeat(mut self, repeat: Repeat) -> Self {
        self.repeat = repeat;
        self
    }

    /// Sets the tokens of the prompt and the most of the answer.
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

    /// Sets the fingerprint.
    #[must_use]
    pub const fn fingerprint(mut self, fingerprint: u64) -> Self {
        self.fingerprint = fingerprint;
        self
    }

    /// Sets the class.
    #[must_use]
    pub const fn class(mut self, class: Class) -> Self {
        self.class = Some(class);
        self
    }

    /// Work that the request asks for, in tokens of an answer.
    #[must_use]
    pub fn cost(&self) -> f64 {
        1.0 + f64::from(self.max_tokens) + f64::from(self.prompt_tokens) / PROMPT_TOKENS_PER_TOKEN
    }
}

/// Prompt tokens that cost an engine as much as one generated token.
const PROMPT_TOKENS_PER_TOKEN: f64 = 16.0;
