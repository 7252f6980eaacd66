//! The prompts of granted requests whose first bytes have not been reported.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tanagerhub_catalogue::NodeId;
use tanagerhub_clock::Moment;

use crate::load::GroupKey;
use crate::message::AskId;

/// How long the first byte of a granted request is awaited.
const MAX_AGE: Duration = Duration::from_secs(10);

/// A granted prompt and what its group was reading.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GrantedPrompt {
    pub(crate) group: GroupKey,
    /// The prompt tokens that the group was reading, those of the request included.
    pub(crate) tokens: u64,
}

/// Granted prompts by ask, for [`MAX_AGE`].
#[derive(Debug, Default)]
pub(crate) struct GrantedPrompts {
    prompts: HashMap<(NodeId, AskId), GrantedPrompt>,
    order: VecDeque<(Moment, (NodeId, AskId))>,
}

impl GrantedPrompts {
    pub(crate) fn insert(&mut self, now: Moment, key: (NodeId, AskId), prompt: GrantedPrompt) {
        self.forget_old(now);
        self.prompts.insert(key, prompt);
        self.order.push_back((now, key));
    }

    pub(crate) fn remove(&mut self, key: (NodeId, AskId)) -> Option<GrantedPrompt> {
        self.prompts.remove(&key)
    }

    fn forget_old(&mut self, now: Moment) {
        while let Some(&(at, key)) = self.order.front() {
            if now.since(at) < MAX_AGE {
                break;
            }
            self.order.pop_front();
            self.prompts.remove(&key);
        }
    }
}
