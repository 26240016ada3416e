//! Keys of backend servers in the routing table of an instance.

slotmap::new_key_type! {
    /// Identifies a backend server in the arena of a [`crate::routing::Table`].
    pub struct Key;
}
