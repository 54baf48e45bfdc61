//! Membership, incarnations and links between daemons.
