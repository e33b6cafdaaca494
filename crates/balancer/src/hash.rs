//! Hashes that all proxies of a fleet compute alike: a server's points on the ring, a key's point,
//! and shares of keys.

/// FNV-1a with a finalizer, so that names that differ in one letter land far apart on the ring.
pub(crate) fn point(name: &str, salt: u64) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    let hash = name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    mix(hash ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// The finalizer of MurmurHash3.
pub(crate) fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// The point of a key on the ring. The balancer identifies the key by this point only.
pub fn key_point(key: &str) -> u64 {
    point(key, 0)
}
