//! Failures of attempts at backend servers.

use std::time::Duration;

use http::StatusCode;
use tanagerhub_proxy::{BodyError, SendError};
use tanagerhub_traffic::{AttemptEvent, Outcome, Reason, Refusal};

use crate::gateway::failure::Failure;

/// The retry delay for a caller whose key has lapsed.
const KEY_LAPSED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The reason why an attempt has no usable response.
pub(crate) enum AttemptError {
    Send(SendError),
    Body(BodyError),
    NotRun,
    Misdirected,
    /// The response names another request or none.
    Foreign,
    /// The status would tell the caller that its request never runs, but the backend server doesn't
    /// say so.
    Unproven(StatusCode),
    /// A member of the group is unreachable, so all its streams are silent.
    Silent,
    /// No first byte arrived in time, and the request may move to another group.
    Overdue,
    /// The stream ended without any data.
    Empty,
    /// The deadline of the request has passed.
    Expired,
    /// The store has not confirmed the keys for too long, so the key may have been revoked.
    KeyLapsed,
    /// The time in which the start may be used has passed before the request could be sent.
    GrantLapsed,
    /// The backend server has reported that it leaves or wants a pause, before the request was
    /// sent.
    Withheld,
    /// The group no longer exists in the published routes.
    UnknownGroup,
}

impl AttemptError {
    /// Returns the event to report, or the failure that ends the request.
    pub(crate) fn event(&self) -> Result<AttemptEvent, Failure> {
        match self {
            Self::Send(SendError::NotSent { .. } | SendError::ConnectionClosed { .. })
            | Self::UnknownGroup => Ok(AttemptEvent::ConnectFailed),
            Self::GrantLapsed => Ok(AttemptEvent::NotSent),
            Self::Withheld => Ok(AttemptEvent::Withheld),
            Self::NotRun | Self::Misdirected => Ok(AttemptEvent::RefusedNotRun),
            Self::Silent => Ok(AttemptEvent::Silent),
            Self::Overdue => Ok(AttemptEvent::TimedOut),
            Self::Body(error @ BodyError::NoMemory { .. }) => {
                Err(Failure::new(StatusCode::BAD_GATEWAY, error.to_string()))
            }
            Self::Send(SendError::Broken { reused: true, .. }) => {
                Ok(AttemptEvent::KeptConnectionBroke)
            }
            Self::Send(_) | Self::Body(_) | Self::Foreign | Self::Unproven(_) | Self::Empty => {
                Ok(AttemptEvent::Broke)
            }
            Self::Expired => Err(deadline_passed()),
            Self::KeyLapsed => {
                let reason = "the store has not confirmed the key for too long";
                Err(Failure::unavailable(reason, KEY_LAPSED_RETRY_AFTER))
            }
        }
    }

    /// Returns whether the request may have reached a backend server.
    pub(crate) const fn has_reached_server(&self) -> bool {
        !matches!(
            self,
            Self::Send(SendError::NotSent { .. })
                | Self::KeyLapsed
                | Self::GrantLapsed
                | Self::Withheld
                | Self::UnknownGroup
        )
    }

    /// Returns the name of the error in the log and in metrics.
    pub(crate) const fn label(&self) -> &'static str {
        match self {
            Self::Send(SendError::NotSent { .. }) => "not_sent",
            Self::Send(SendError::ConnectionClosed { .. }) => "turned_away",
            Self::Send(SendError::Broken { .. }) => "broken",
            Self::Send(SendError::Malformed { .. }) => "malformed",
            Self::Body(BodyError::NoMemory { .. }) => "no_memory",
            Self::Body(_) => "body_cut",
            Self::NotRun => "not_run",
            Self::Misdirected => "misdirected",
            Self::Foreign => "foreign",
            Self::Unproven(_) => "unproven",
            Self::Silent => "silent",
            Self::Overdue => "overdue",
            Self::Empty => "empty",
            Self::Expired => "expired",
            Self::KeyLapsed => "key_lapsed",
            Self::GrantLapsed => "grant_lapsed",
            Self::Withheld => "withheld",
            Self::UnknownGroup => "group_unknown",
        }
    }

    /// Returns the cause in words, or nothing where the label says all.
    pub(crate) fn detail(&self) -> String {
        match self {
            Self::Send(error) => error.to_string(),
            Self::Body(error) => error.to_string(),
            Self::Unproven(status) => {
                format!("status {status} without a statement that it has not run")
            }
            _ => String::new(),
        }
    }
}

/// Returns the failure of a request whose deadline passed while a backend server may have run it.
fn deadline_passed() -> Failure {
    Failure::from_refusal(&Refusal {
        reason: Reason::DeadlinePassed,
        retry_after: None,
        outcome: Outcome::Unknown,
        status: StatusCode::GATEWAY_TIMEOUT.as_u16(),
    })
}
