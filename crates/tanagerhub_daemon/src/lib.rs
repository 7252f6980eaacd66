//! Thin programs: tanagerhubd and tanagerctl.
