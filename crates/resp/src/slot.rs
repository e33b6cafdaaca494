//! The hash slot of a key: CRC16 (XMODEM) of the key, or of its hash tag, modulo 16384.

/// How many hash slots a cluster has.
pub const SLOT_COUNT: u16 = 16384;

/// The CRC16 of each byte value, for the polynomial 0x1021.
const CRC16_TABLE: [u16; 256] = {
    let mut table = [0u16; 256];
    let mut i = 0;
    while i < 256 {
        let mut crc = (i as u16) << 8;
        let mut bit = 0;
        while bit < 8 {
            crc = if crc & 0x8000 != 0 { (crc << 1) ^ 0x1021 } else { crc << 1 };
            bit += 1;
        }
        table[i] = crc;
        i += 1;
    }
    table
};

fn crc16(bytes: &[u8]) -> u16 {
    bytes.iter().fold(0, |crc, byte| (crc << 8) ^ CRC16_TABLE[usize::from((crc >> 8) as u8 ^ byte)])
}

/// The part of a key that is hashed: the text between its first `{` and the next `}`, or the whole
/// key if there is no such text.
pub fn hash_tag(key: &[u8]) -> &[u8] {
    let Some(open) = key.iter().position(|byte| *byte == b'{') else { return key };
    let tag = &key[open + 1..];
    match tag.iter().position(|byte| *byte == b'}') {
        None | Some(0) => key,
        Some(len) => &tag[..len],
    }
}

/// The hash slot of a key, below [`SLOT_COUNT`].
pub fn slot_of(key: &[u8]) -> u16 {
    crc16(hash_tag(key)) % SLOT_COUNT
}

#[cfg(test)]
mod tests;
