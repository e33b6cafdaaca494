//! Tests of the mapping from connect errors to attempt outcomes. They are unit tests because the
//! mapping is not public.

use super::*;

/// Uses Linux error numbers: ENFILE, EMFILE, ENOMEM, EADDRNOTAVAIL and ENOBUFS say nothing about
/// the server; ECONNREFUSED, EHOSTUNREACH and ETIMEDOUT do, and so does an error without a number.
#[test]
fn local_resource_errors_say_nothing_about_the_server() {
    for number in [23, 24, 12, 99, 105] {
        assert_eq!(outcome_of(&io::Error::from_raw_os_error(number)), AttemptOutcome::NotSent, "{number}");
    }
    for number in [111, 113, 110] {
        assert_eq!(
            outcome_of(&io::Error::from_raw_os_error(number)),
            AttemptOutcome::Unreachable,
            "{number}"
        );
    }
    assert_eq!(outcome_of(&io::Error::other("other")), AttemptOutcome::Unreachable);
}
