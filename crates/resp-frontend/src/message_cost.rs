//! The memory that a message of RESP takes while it is held.

/// Memory per part of a message beside its bytes: its parsed frame and the position of an argument,
/// its text as a key, and the hash of the key.
const PART_BYTES: usize = 128;

/// The memory for a message of `bytes` bytes in `parts` parts.
pub fn message_cost(bytes: usize, parts: usize) -> usize {
    bytes + parts * PART_BYTES
}
