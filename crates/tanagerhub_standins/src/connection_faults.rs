//! Fault injection for the connections of a server.

use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Waker};

use async_std::net::TcpStream;

/// Pauses, stalls and closes the connections of one server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionFaults {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    paused: bool,
    next_number: u64,
    /// Connections with a lower number are stalled.
    stalled_below: u64,
    open: HashMap<u64, TcpStream>,
    wakers: Vec<Waker>,
}

impl ConnectionFaults {
    /// Registers a new connection and returns its number.
    pub(crate) fn add(&self, stream: TcpStream) -> u64 {
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        state.open.insert(number, stream);
        number
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&self, number: u64) {
        self.lock().open.remove(&number);
    }

    /// Pauses the traffic on all connections, or resumes it.
    pub(crate) fn set_paused(&self, paused: bool) {
        let mut state = self.lock();
        state.paused = paused;
        let wakers = std::mem::take(&mut state.wakers);
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Stops all traffic on the connections that are open now, until they are closed; new
    /// connections work.
    pub(crate) fn stall_open_connections(&self) {
        let mut state = self.lock();
        state.stalled_below = state.next_number;
    }

    /// Closes every open connection, and ends a pause or stall.
    pub(crate) fn close_all(&self) {
        let open = std::mem::take(&mut self.lock().open);
        for stream in open.into_values() {
            drop(stream.shutdown(Shutdown::Both));
        }
        self.lock().stalled_below = 0;
        self.set_paused(false);
    }

    /// Returns whether a connection must wait; if so, its task is woken when the pause changes or
    /// all connections are closed.
    pub(crate) fn is_blocked(&self, number: u64, context: &Context<'_>) -> bool {
        let mut state = self.lock();
        let blocked = state.paused || number < state.stalled_below;
        if blocked {
            state.wakers.push(context.waker().clone());
        }
        blocked
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
