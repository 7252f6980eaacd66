//! Monotonic clock that tests can pause and advance.
//!
//! The async runtime has no clock that can be paused, so each process reads the time through one
//! [`Clock`]. Code that makes decisions never reads the clock: it receives a [`Moment`] as an
//! argument.

mod clock;
mod manual_clock;
mod moment;

pub use clock::Clock;
pub use manual_clock::ManualClock;
pub use moment::Moment;
