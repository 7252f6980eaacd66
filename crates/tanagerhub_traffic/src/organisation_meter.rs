//! Usage of an organisation at this node, checked against the node's share of its limits.

use std::time::Duration;

use tanagerhub_catalogue::OrganisationLimits;
use tanagerhub_clock::Moment;

use crate::{RateLimit, Reason, Share};

/// Usage and limits of one organisation at this node.
#[derive(Debug, Clone, Default)]
pub(crate) struct OrganisationMeter {
    requests: Option<RateLimit>,
    tokens: Option<RateLimit>,
    concurrency: Option<u32>,
    active: u32,
}

/// Retry delay for an organisation that has reached its limit of concurrent requests.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

impl OrganisationMeter {
    /// Sets the limits to this node's share of the organisation's limits.
    pub(crate) fn configure(&mut self, now: Moment, limits: &OrganisationLimits, share: Share) {
        let rate =
            |limit: Option<tanagerhub_catalogue::PerSecond>| limit.map(|it| share.rate(it.0));
        configure_rate(&mut self.requests, now, rate(limits.requests));
        configure_rate(&mut self.tokens, now, rate(limits.tokens));
        self.concurrency = limits.concurrency.map(|limit| share.count(limit));
    }

    /// Admits one request, or returns the reason and the retry delay.
    pub(crate) fn admit(&mut self, now: Moment, tokens: f64) -> Result<(), (Reason, Duration)> {
        if self.concurrency.is_some_and(|limit| self.active >= limit) {
            return Err((Reason::Concurrency, CONCURRENCY_RETRY_AFTER));
        }
        if let Some(limit) = &mut self.tokens {
            limit.check(now).map_err(|wait| (Reason::TokenRate, wait))?;
        }
        if let Some(limit) = &mut self.requests {
            limit
                .take(now, 1.0)
                .map_err(|wait| (Reason::RequestRate, wait))?;
        }
        if let Some(limit) = &mut self.tokens {
            limit
                .take(now, tokens)
                .map_err(|wait| (Reason::TokenRate, wait))?;
        }
        self.active += 1;
        Ok(())
    }

    /// Ends a request and refunds the tokens that it did not use.
    pub(crate) fn release(&mut self, unused: f64) {
        self.active = self.active.saturating_sub(1);
        if let Some(limit) = &mut self.tokens {
            limit.refund(unused);
        }
    }

    /// Returns the number of requests that wait or run.
    pub(crate) const fn active(&self) -> u32 {
        self.active
    }
}

fn configure_rate(limit: &mut Option<RateLimit>, now: Moment, rate: Option<f64>) {
    match (limit.as_mut(), rate) {
        (Some(limit), Some(rate)) => limit.set_rate(now, rate),
        (None, Some(rate)) => *limit = Some(RateLimit::new(now, rate)),
        (_, None) => *limit = None,
    }
}
