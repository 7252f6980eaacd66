//! The tokens that a group holds, against those for which it has memory.

use tanagerhub_catalogue::Epoch;

/// The tokens of the requests at a group. They are counted as coordinators count them: the prompt
/// and the longest response.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GroupMemory {
    /// Tokens of this node's requests.
    own_tokens: u64,
    /// Mean tokens of a request, by which those of other nodes are estimated.
    mean_tokens: f64,
    /// The epoch in which the group has held more than its memory since its last sign of life.
    pub(crate) exceeded: Option<Epoch>,
}

impl GroupMemory {
    pub(crate) const fn hold(&mut self, tokens: u64, mean_tokens: f64) {
        self.own_tokens = self.own_tokens.saturating_add(tokens);
        self.mean_tokens = mean_tokens;
    }

    pub(crate) const fn release(&mut self, tokens: u64) {
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
    }

    /// Returns whether the tokens of this node and of `others` requests of other nodes exceed
    /// `limit`.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub(crate) fn is_over(&self, limit: u64, others: u32) -> bool {
        let estimate = self.own_tokens as f64 + f64::from(others) * self.mean_tokens;
        estimate > limit as f64
    }
}
