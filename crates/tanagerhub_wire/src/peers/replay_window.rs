//! Detects messages that are received more than once.

use std::collections::{BTreeMap, VecDeque};

use tanagerhub_catalogue::BootId;

/// How many of the highest sequence numbers are tracked individually.
const WINDOW_SIZE: u64 = 128;
/// The maximum number of senders that are tracked.
const MAX_SENDERS: usize = 2_048;

/// The sequence numbers received from one sender.
///
/// # Examples
///
/// ```
/// use tanagerhub_wire::peers::ReplayWindow;
///
/// let mut window = ReplayWindow::default();
/// assert!(window.accept(10));
/// assert!(window.accept(9));
/// assert!(!window.accept(10));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` was received.
    seen: u128,
}

impl ReplayWindow {
    /// Records a sequence number, and returns whether it is new and within the window below the
    /// highest one.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = u32::try_from(sequence - self.highest).unwrap_or(u32::MAX);
            self.seen = self.seen.checked_shl(shift).unwrap_or(0) | 1;
            self.highest = sequence;
            return true;
        }
        let below = self.highest - sequence;
        if below >= WINDOW_SIZE {
            return false;
        }
        let bit = 1 << below;
        let first = self.seen & bit == 0;
        self.seen |= bit;
        first
    }
}

/// A [`ReplayWindow`] for each sender; when there are too many, the one added first is removed.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    windows: BTreeMap<BootId, ReplayWindow>,
    order: VecDeque<BootId>,
}

impl ReplayGuard {
    /// Records a message, and returns whether it is received for the first time.
    pub fn accept(&mut self, boot: BootId, sequence: u64) -> bool {
        if !self.windows.contains_key(&boot) {
            self.evict_oldest();
            self.order.push_back(boot);
        }
        self.windows.entry(boot).or_default().accept(sequence)
    }

    fn evict_oldest(&mut self) {
        if self.order.len() < MAX_SENDERS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.windows.remove(&oldest);
        }
    }
}
