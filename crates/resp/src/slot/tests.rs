//! Hash slots and hash tags match the cluster specification.

use super::{crc16, hash_tag, slot_of};

#[test]
fn slots_and_hash_tags_match_the_examples_of_the_specification() {
    // The check value of the CRC in the specification, and its examples of hash tags.
    assert_eq!(crc16(b"123456789"), 0x31c3);
    assert_eq!(slot_of(b"{user1000}.following"), slot_of(b"{user1000}.followers"));
    assert_eq!(hash_tag(b"foo{}{bar}"), b"foo{}{bar}");
    assert_eq!(hash_tag(b"foo{{bar}}zap"), b"{bar");
    assert_eq!(hash_tag(b"foo{bar}{zap}"), b"bar");
    assert_eq!(hash_tag(b"foo{bar"), b"foo{bar");
    assert_eq!(slot_of(b"foo"), 12182);
}
