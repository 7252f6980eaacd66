//! Passes a stream of tokens on, across back ends.

use bytes::Bytes;
use futures_lite::future;
use tanagerhub_traffic::{AttemptEvent, AttemptKey, Dispatch, EventRelay, Refusal};
use tanagerhub_wire::backend::{BackendBody, BodyError};
use tanagerhub_wire::callers::resume_body;
use tanagerhub_wire::http::AnswerSender;

use super::generated_text::GeneratedText;
use crate::refusal::error_response;
use crate::request_run::{RequestRun, StartedResponse};

/// A streamed answer on its way.
#[derive(Debug)]
pub(super) struct StreamRelay {
    run: RequestRun,
    body: Bytes,
    events: EventRelay,
    text: GeneratedText,
}

/// How one back end's part of the answer ended.
enum AttemptEnd {
    /// The answer is whole.
    Complete,
    /// The caller left.
    CallerLeft,
    /// The rest has to come from elsewhere.
    Resume(ResumeCause),
}

/// Why the rest of an answer has to come from elsewhere.
enum ResumeCause {
    /// The back end failed.
    Broken(BodyError),
    /// The back end is slow, and this dispatch replaces it.
    Moved(Dispatch),
}

impl StreamRelay {
    /// Prepares a stream; `body` is the caller's, as it is sent to engines.
    pub(super) fn new(run: RequestRun, body: Bytes) -> Self {
        Self {
            run,
            body,
            events: EventRelay::default(),
            text: GeneratedText::default(),
        }
    }

    /// Passes the answer on to its end, an explicit error, or the caller's leaving.
    pub(super) async fn run(mut self, mut started: StartedResponse, sender: AnswerSender) {
        loop {
            let attempt = started.dispatch.attempt;
            match self.relay_attempt(started, &sender).await {
                AttemptEnd::Complete => {
                    let tokens = self.events.tokens();
                    self.run.report(attempt, AttemptEvent::Finished { tokens });
                    let _: Result<(), _> = sender.finish().await;
                    return;
                }
                AttemptEnd::CallerLeft => {
                    self.run.report(attempt, AttemptEvent::CallerLeft);
                    return;
                }
                AttemptEnd::Resume(cause) => {
                    match self.resume_elsewhere(attempt, cause, &sender).await {
                        Some(Ok(next_started)) => started = next_started,
                        Some(Err(refusal)) => return send_error_and_cut(&refusal, sender).await,
                        None => return,
                    }
                }
            }
        }
    }

    /// Starts the rest of the answer elsewhere; `None` when the caller has left.
    async fn resume_elsewhere(
        &mut self,
        attempt: AttemptKey,
        cause: ResumeCause,
        sender: &AnswerSender,
    ) -> Option<Result<StartedResponse, Refusal>> {
        self.events.resume();
        let body = resume_body(&self.body, self.text.as_str());
        let start = async {
            Some(match cause {
                ResumeCause::Broken(error) => self.run.restart(attempt, &error, body).await,
                ResumeCause::Moved(dispatch) => self.run.resume(dispatch, body).await,
            })
        };
        let caller_left = async {
            sender.gone().await;
            None
        };
        future::or(caller_left, start).await
    }

    /// Passes on what one back end sends.
    async fn relay_attempt(
        &mut self,
        started: StartedResponse,
        sender: &AnswerSender,
    ) -> AttemptEnd {
        let attempt = started.dispatch.attempt;
        let address = started.dispatch.address;
        let mut body = started.response.body;
        let mut out = Vec::new();
        loop {
            let Some(chunk) = next_chunk(&mut body, sender).await else {
                return AttemptEnd::CallerLeft;
            };
            let chunk = match chunk {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return self.check_end(address),
                Err(error) => return AttemptEnd::Resume(ResumeCause::Broken(error)),
            };
            let tokens_before = self.events.tokens();
            let pushed = self.events.push(&chunk, &mut out);
            self.text.push(&out);
            if !out.is_empty() && sender.send(std::mem::take(&mut out).into()).await.is_err() {
                return AttemptEnd::CallerLeft;
            }
            let tokens = self.events.tokens();
            if tokens > tokens_before
                && !self.events.is_done()
                && let Some(dispatch) = self.run.report(attempt, AttemptEvent::Token(tokens))
            {
                return AttemptEnd::Resume(ResumeCause::Moved(dispatch));
            }
            if let Err(error) = pushed {
                let reason = error.to_string();
                return AttemptEnd::Resume(ResumeCause::Broken(BodyError::Malformed {
                    address,
                    reason,
                }));
            }
        }
    }

    /// Judges the end of a body.
    fn check_end(&self, address: std::net::SocketAddr) -> AttemptEnd {
        match self.events.end() {
            Ok(()) => AttemptEnd::Complete,
            Err(error) => {
                let reason = error.to_string();
                AttemptEnd::Resume(ResumeCause::Broken(BodyError::Malformed {
                    address,
                    reason,
                }))
            }
        }
    }
}

/// The next chunk, or `None` when the caller has left.
async fn next_chunk(
    body: &mut BackendBody,
    sender: &AnswerSender,
) -> Option<Result<Option<Bytes>, BodyError>> {
    let chunk = async { Some(body.next().await) };
    let caller_left = async {
        sender.gone().await;
        None
    };
    future::or(chunk, caller_left).await
}

/// Ends a stream that can't be completed with an error that the caller can't take for its end.
async fn send_error_and_cut(refusal: &Refusal, sender: AnswerSender) {
    let _: Result<(), _> = sender.send(error_response(refusal).event()).await;
    sender.cut();
}
