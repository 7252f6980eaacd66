//! The order in which a node prefers the relays of its data centre.

/// The number of nodes that prefer the same relay. A relay sends each change to all its readers, so
/// on a slow link many readers delay a change by seconds.
const FANOUT: usize = 4;

/// Returns the indices of the `preceding` nodes of a data centre, in the order in which the node
/// that follows them prefers them as relays.
///
/// The first one is its parent in a tree in which each node has [`FANOUT`] children. The others
/// follow in descending order: most of the last nodes have no readers yet, and the readers of a
/// relay that fails choose different ones.
pub(crate) fn relay_order(preceding: usize) -> impl Iterator<Item = usize> {
    let parent = preceding.checked_sub(1).map(|before| before / FANOUT);
    let others = (0..preceding).rev();
    let others = others.filter(move |index| Some(*index) != parent);
    parent.into_iter().chain(others)
}
