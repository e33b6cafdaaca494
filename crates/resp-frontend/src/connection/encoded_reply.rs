//! A reply as it is written to the client, with the memory that it holds.

use chalkwalk_sockets::MessageReservation;

/// The bytes of a reply, and whether the connection ends after them.
pub struct EncodedReply {
    /// The bytes to write.
    pub bytes: Vec<u8>,
    /// Whether the connection ends after these bytes.
    pub is_last: bool,
    /// The memory that the bytes have reserved, if they are many.
    _reservation: Option<MessageReservation>,
}

impl EncodedReply {
    /// A reply after which the connection stays open.
    pub fn new(bytes: Vec<u8>) -> EncodedReply {
        EncodedReply::with_reservation(bytes, None)
    }

    /// Like [`EncodedReply::new`], for bytes that have reserved memory.
    pub fn with_reservation(bytes: Vec<u8>, reservation: Option<MessageReservation>) -> EncodedReply {
        EncodedReply { bytes, is_last: false, _reservation: reservation }
    }

    /// A reply after which the connection ends.
    pub fn last(bytes: Vec<u8>) -> EncodedReply {
        EncodedReply { is_last: true, ..EncodedReply::new(bytes) }
    }
}
