//! Membership, configuration versions and freshness of a node.
