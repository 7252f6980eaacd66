//! Splits messages that exceed the size of a datagram.

use tanagerhub_capacity::{Message, Reply, Request};

/// Moves half of the asks, samples, grants and the like to a second message; returns `None` if the
/// message has too few of them.
///
/// Both parts keep the absolute values, such as the loans and the running requests, since the
/// receiver takes values that are missing as zero.
pub(crate) fn halve(message: Message) -> Option<(Message, Message)> {
    match message {
        Message::Request(request) => {
            let (first, second) = halve_request(request)?;
            Some((Message::Request(first), Message::Request(second)))
        }
        Message::Reply(reply) => {
            let (first, second) = halve_reply(reply)?;
            Some((Message::Reply(first), Message::Reply(second)))
        }
    }
}

/// Moves asks and cancellations first: as both parts have the same number, the coordinator ignores
/// the samples and first bytes of the second one.
fn halve_request(mut first: Request) -> Option<(Request, Request)> {
    let measured = first.samples.len() + first.first_bytes.len();
    let mut moved = half(first.asks.len() + measured + first.cancelled.len())?;
    let second = Request {
        asks: take_tail(&mut first.asks, &mut moved),
        cancelled: take_tail(&mut first.cancelled, &mut moved),
        samples: take_tail(&mut first.samples, &mut moved),
        first_bytes: take_tail(&mut first.first_bytes, &mut moved),
        lent: first.lent.clone(),
        rests: first.rests.clone(),
        running: first.running.clone(),
        ..first
    };
    Some((first, second))
}

fn halve_reply(mut first: Reply) -> Option<(Reply, Reply)> {
    let mut moved = half(first.grants.len() + first.refusals.len() + first.load.len())?;
    let second = Reply {
        load: take_tail(&mut first.load, &mut moved),
        refusals: take_tail(&mut first.refusals, &mut moved),
        grants: take_tail(&mut first.grants, &mut moved),
        released: first.released.clone(),
        ..first
    };
    Some((first, second))
}

fn half(count: usize) -> Option<usize> {
    (count > 1).then_some(count / 2)
}

/// Removes up to `left` items from the end of a list.
fn take_tail<T>(list: &mut Vec<T>, left: &mut usize) -> Vec<T> {
    let count = list.len().min(*left);
    *left -= count;
    list.split_off(list.len() - count)
}

#[cfg(test)]
pub(crate) mod tests;
