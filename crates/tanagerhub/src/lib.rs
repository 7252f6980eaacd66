//! A tanagerhub node, assembled.
