//! The file format of a capture, version 2 (version 1 stored no server weights): a signature, then
//! items, each preceded by its length and checksum.

use crate::event::CaptureItem;

/// The signature that each segment begins with.
pub const FILE_SIGNATURE: &[u8] = b"chalkwalk capture 2\n";

/// The length of an item's header: the body's length and CRC-32, four bytes each, little-endian.
const HEADER_BYTES: usize = 8;
const CHECKSUM_OFFSET: usize = 4;

/// Maximum length of an item in bytes. A longer one is treated as damage: a block takes a few
/// kilobytes, and a list of ten thousand servers one megabyte.
const MAX_ITEM_BYTES: usize = 16 << 20;

/// The bytes are not a capture, or are a capture of an unsupported version.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("expected a capture of a supported version, found another file signature")]
pub struct UnsupportedFormat;

/// Why an item of a segment can't be read.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ItemError {
    /// The segment ends within the item.
    #[error("item is truncated")]
    Truncated,
    /// The length in the item's header exceeds the maximum.
    #[error("item length exceeds the maximum")]
    TooLong,
    /// The item's bytes were changed after they were written.
    #[error("item does not match its checksum")]
    WrongChecksum,
    /// The checksum is right, but the bytes can't be decoded as an item.
    #[error("item cannot be decoded")]
    Invalid,
}

/// Where a segment stops being readable, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damage {
    /// The offset in the segment of the first item that can't be read, in bytes.
    pub offset: usize,
    /// What is wrong with that item.
    pub error: ItemError,
}

/// What one segment holds, up to its first item that can't be read.
#[derive(Debug, Default)]
pub struct CaptureContents {
    /// The items that could be read, in order.
    pub items: Vec<CaptureItem>,
    /// What is wrong after the last of `items`; `None` if the whole segment could be read.
    pub damage: Option<Damage>,
}

/// Encodes an item as a header with its length and checksum, followed by its body.
pub fn encode_item(item: &CaptureItem) -> Vec<u8> {
    let body = postcard::to_stdvec(item).unwrap_or_default();
    let mut encoded = Vec::with_capacity(HEADER_BYTES + body.len());
    encoded.extend((body.len() as u32).to_le_bytes());
    encoded.extend(crc32fast::hash(&body).to_le_bytes());
    encoded.extend(body);
    encoded
}

/// Reads one segment. A segment that is truncated or damaged is read up to that point. The only
/// error is a wrong signature.
pub fn read_segment(bytes: &[u8]) -> Result<CaptureContents, UnsupportedFormat> {
    let mut contents = CaptureContents::default();
    let Some(mut rest) = bytes.strip_prefix(FILE_SIGNATURE) else {
        if !FILE_SIGNATURE.starts_with(bytes) {
            return Err(UnsupportedFormat);
        }
        contents.damage = Some(Damage { offset: 0, error: ItemError::Truncated });
        return Ok(contents);
    };
    while !rest.is_empty() {
        match decode_item(rest) {
            Ok((item, length)) => {
                contents.items.push(item);
                rest = &rest[length..];
            }
            Err(error) => {
                contents.damage = Some(Damage { offset: bytes.len() - rest.len(), error });
                break;
            }
        }
    }
    Ok(contents)
}

/// Decodes the first item, and returns it with its encoded length, which includes the header.
fn decode_item(bytes: &[u8]) -> Result<(CaptureItem, usize), ItemError> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES).ok_or(ItemError::Truncated)?;
    let u32_at = |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let length = u32_at(0) as usize;
    if length > MAX_ITEM_BYTES {
        return Err(ItemError::TooLong);
    }
    let body = rest.get(..length).ok_or(ItemError::Truncated)?;
    if crc32fast::hash(body) != u32_at(CHECKSUM_OFFSET) {
        return Err(ItemError::WrongChecksum);
    }
    let item = postcard::from_bytes(body).map_err(|_| ItemError::Invalid)?;
    Ok((item, HEADER_BYTES + length))
}
