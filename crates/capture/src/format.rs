//! The format of a capture, version 2 (1 had no sizes of servers): a mark, then items, each with its length and checksum.

use crate::event::CaptureItem;

/// What each segment begins with.
pub const FILE_MARK: &[u8] = b"chalkwalk capture 2\n";

/// An item's head: its length and its checksum, four bytes each, little-endian.
const HEAD_BYTES: usize = 8;
const CHECKSUM_AT: usize = 4;

/// Longer items are no capture's: a block is some kilobytes, a list of ten thousand servers a megabyte.
const MAX_ITEM_BYTES: usize = 16 << 20;

/// The bytes are no capture of a known version.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("no capture of a form that is known")]
pub struct NotACapture;

/// Why an item can't be read.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ItemError {
    /// The segment ends within it.
    #[error("cut short")]
    Truncated,
    /// Its length is that of no item.
    #[error("an item longer than any")]
    TooLong,
    /// It was changed after it was written.
    #[error("a checksum that is another")]
    WrongChecksum,
    /// Its bytes are no item.
    #[error("an item that makes no sense")]
    Invalid,
}

/// Where a segment can't be read on, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damage {
    /// The first byte that can't be read.
    pub at: usize,
    /// What is wrong there.
    pub error: ItemError,
}

/// What a capture holds, up to its last whole item.
#[derive(Debug, Default)]
pub struct CaptureContents {
    /// The items that could be read.
    pub items: Vec<CaptureItem>,
    /// What is wrong with the rest, if there is one.
    pub damage: Option<Damage>,
}

/// The bytes of an item, with its length and checksum.
pub fn encode_item(item: &CaptureItem) -> Vec<u8> {
    let body = postcard::to_stdvec(item).unwrap_or_default();
    let mut out = Vec::with_capacity(HEAD_BYTES + body.len());
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
    out
}

/// Reads one segment. Only bytes that are no capture at all are an error; a segment that is truncated or damaged is read up to
/// there.
pub fn read(bytes: &[u8]) -> Result<CaptureContents, NotACapture> {
    let mut contents = CaptureContents::default();
    let Some(mut rest) = bytes.strip_prefix(FILE_MARK) else {
        if !FILE_MARK.starts_with(bytes) {
            return Err(NotACapture);
        }
        contents.damage = Some(Damage { at: 0, error: ItemError::Truncated });
        return Ok(contents);
    };
    while !rest.is_empty() {
        match decode_item(rest) {
            Ok((item, length)) => {
                contents.items.push(item);
                rest = &rest[length..];
            }
            Err(error) => {
                contents.damage = Some(Damage { at: bytes.len() - rest.len(), error });
                break;
            }
        }
    }
    Ok(contents)
}

/// The first item, and its length with its head.
fn decode_item(bytes: &[u8]) -> Result<(CaptureItem, usize), ItemError> {
    let (head, rest) = bytes.split_at_checked(HEAD_BYTES).ok_or(ItemError::Truncated)?;
    let number = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let length = number(0) as usize;
    if length > MAX_ITEM_BYTES {
        return Err(ItemError::TooLong);
    }
    let body = rest.get(..length).ok_or(ItemError::Truncated)?;
    if crc32fast::hash(body) != number(CHECKSUM_AT) {
        return Err(ItemError::WrongChecksum);
    }
    let item = postcard::from_bytes(body).map_err(|_| ItemError::Invalid)?;
    Ok((item, HEAD_BYTES + length))
}
