//! Monotonic time that tests pause and advance.
//!
//! The runtime has no clock that can be paused, so every process reads time through one [`Clock`].
//! Decisions never read it: they are given a [`Moment`].

mod clock;
mod manual_clock;
mod moment;

pub use clock::Clock;
pub use manual_clock::ManualClock;
pub use moment::Moment;
