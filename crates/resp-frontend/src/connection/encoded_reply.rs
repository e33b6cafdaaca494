//! A reply as it is written to the client, with the memory that it holds.

use chalkwalk_engine::budget::Permit;
use chalkwalk_engine::response::BodyStream;
use chalkwalk_sockets::MessageReservation;

/// The bytes of a reply, and whether the connection ends after them.
pub struct EncodedReply {
    /// The bytes to write.
    pub bytes: Vec<u8>,
    /// Whether the connection ends after these bytes.
    pub is_last: bool,
    /// The rest of the reply, if it is still arriving from the server.
    pub rest: Option<ReplyRest>,
    /// The memory that the bytes have reserved, if they are many.
    _reservation: Option<MessageReservation>,
}

/// The rest of a reply that is still arriving.
pub struct ReplyRest {
    /// The parts of the reply.
    pub stream: BodyStream,
    /// The permit of the request, returned once the reply is written.
    pub _permit: Option<Permit>,
}

impl EncodedReply {
    /// A reply after which the connection stays open.
    pub fn new(bytes: Vec<u8>) -> EncodedReply {
        EncodedReply::with_reservation(bytes, None)
    }

    /// Like [`EncodedReply::new`], for bytes that have reserved memory.
    pub fn with_reservation(bytes: Vec<u8>, reservation: Option<MessageReservation>) -> EncodedReply {
        EncodedReply { bytes, is_last: false, rest: None, _reservation: reservation }
    }

    /// A reply after which the connection ends.
    pub fn last(bytes: Vec<u8>) -> EncodedReply {
        EncodedReply { is_last: true, ..EncodedReply::new(bytes) }
    }
}
