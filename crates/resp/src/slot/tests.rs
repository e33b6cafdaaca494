//! Slots and hash tags.

use super::{crc16, hash_tag, slot_of};

#[test]
fn slots_are_as_the_specification_has_them() {
    // The specification's own check value, and its examples of hash tags.
    assert_eq!(crc16(b"123456789"), 0x31c3);
    assert_eq!(slot_of(b"{user1000}.following"), slot_of(b"{user1000}.followers"));
    assert_eq!(hash_tag(b"foo{}{bar}"), b"foo{}{bar}");
    assert_eq!(hash_tag(b"foo{{bar}}zap"), b"{bar");
    assert_eq!(hash_tag(b"foo{bar}{zap}"), b"bar");
    assert_eq!(hash_tag(b"foo{bar"), b"foo{bar");
    assert_eq!(slot_of(b"foo"), 12182);
}
