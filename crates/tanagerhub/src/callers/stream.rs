//! Passes a stream of tokens on, across back ends.

use bytes::Bytes;
use futures_lite::future;
use tanagerhub_traffic::{AttemptEvent, AttemptKey, Dispatch, EventRelay, Refusal};
use tanagerhub_wire::backend::{BackendBody, BodyError};
use tanagerhub_wire::callers::resume_body;
use tanagerhub_wire::http::ResponseSender;

use super::generated_text::GeneratedText;
use crate::refusal::error_answer;
use crate::run::{Run, Started};

/// A streamed answer on its way.
#[derive(Debug)]
pub(super) struct Relay {
    run: Run,
    body: Bytes,
    events: EventRelay,
    text: GeneratedText,
}

/// How one back end's part of the answer ended.
enum PartEnd {
    /// The answer is whole.
    Whole,
    /// The caller left.
    CallerLeft,
    /// The rest has to come from elsewhere.
    GoOn(Cause),
}

/// Why the rest of an answer has to come from elsewhere.
enum Cause {
    /// The back end failed.
    Broken(BodyError),
    /// The back end is slow, and this dispatch replaces it.
    Moved(Dispatch),
}

impl Relay {
    /// Prepares a stream; `body` is the caller's, as it is sent to engines.
    pub(super) fn new(run: Run, body: Bytes) -> Self {
        Self {
            run,
            body,
            events: EventRelay::default(),
            text: GeneratedText::default(),
        }
    }

    /// Passes the answer on to its end, an explicit error, or the caller's leaving.
    pub(super) async fn run(mut self, mut started: Started, sender: ResponseSender) {
        loop {
            let attempt = started.dispatch.attempt;
            match self.pass(started, &sender).await {
                PartEnd::Whole => {
                    let tokens = self.events.tokens();
                    self.run.report(attempt, AttemptEvent::Finished { tokens });
                    let _: Result<(), _> = sender.finish().await;
                    return;
                }
                PartEnd::CallerLeft => {
                    self.run.report(attempt, AttemptEvent::CallerLeft);
                    return;
                }
                PartEnd::GoOn(cause) => match self.go_on(attempt, cause, &sender).await {
                    Some(Ok(next)) => started = next,
                    Some(Err(refusal)) => return give_up(&refusal, sender).await,
                    None => return,
                },
            }
        }
    }

    /// Starts the rest of the answer elsewhere; `None` when the caller has left.
    async fn go_on(
        &mut self,
        attempt: AttemptKey,
        cause: Cause,
        sender: &ResponseSender,
    ) -> Option<Result<Started, Refusal>> {
        self.events.resume();
        let body = resume_body(&self.body, self.text.as_str());
        let start = async {
            Some(match cause {
                Cause::Broken(error) => self.run.restart(attempt, &error, body).await,
                Cause::Moved(dispatch) => self.run.resume(dispatch, body).await,
            })
        };
        let gone = async {
            sender.disconnected().await;
            None
        };
        future::or(gone, start).await
    }

    /// Passes on what one back end sends.
    async fn pass(&mut self, started: Started, sender: &ResponseSender) -> PartEnd {
        let attempt = started.dispatch.attempt;
        let address = started.dispatch.address;
        let mut body = started.answer.body;
        let mut out = Vec::new();
        loop {
            let Some(chunk) = next_chunk(&mut body, sender).await else {
                return PartEnd::CallerLeft;
            };
            let chunk = match chunk {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return self.end(address),
                Err(error) => return PartEnd::GoOn(Cause::Broken(error)),
            };
            let before = self.events.tokens();
            let verdict = self.events.push(&chunk, &mut out);
            self.text.push(&out);
            if !out.is_empty() && sender.send(std::mem::take(&mut out).into()).await.is_err() {
                return PartEnd::CallerLeft;
            }
            let tokens = self.events.tokens();
            if tokens > before
                && !self.events.is_done()
                && let Some(dispatch) = self.run.report(attempt, AttemptEvent::Token(tokens))
            {
                return PartEnd::GoOn(Cause::Moved(dispatch));
            }
            if let Err(error) = verdict {
                let reason = error.to_string();
                return PartEnd::GoOn(Cause::Broken(BodyError::Malformed { address, reason }));
            }
        }
    }

    /// Judges the end of a body.
    fn end(&self, address: std::net::SocketAddr) -> PartEnd {
        match self.events.end() {
            Ok(()) => PartEnd::Whole,
            Err(error) => {
                let reason = error.to_string();
                PartEnd::GoOn(Cause::Broken(BodyError::Malformed { address, reason }))
            }
        }
    }
}

/// The next chunk, or `None` when the caller has left.
async fn next_chunk(
    body: &mut BackendBody,
    sender: &ResponseSender,
) -> Option<Result<Option<Bytes>, BodyError>> {
    let chunk = async { Some(body.next().await) };
    let gone = async {
        sender.disconnected().await;
        None
    };
    future::or(chunk, gone).await
}

/// Ends a stream that can't be completed with an error that the caller can't take for its end.
async fn give_up(refusal: &Refusal, sender: ResponseSender) {
    let _: Result<(), _> = sender.send(error_answer(refusal).event()).await;
    sender.abort();
}
