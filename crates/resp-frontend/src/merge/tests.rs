//! The replies to the parts of a split command are merged into one reply.

use super::*;

fn served(body: &str, key_indices: Vec<usize>) -> PartResponse {
    let response = Response { body: body.into(), ..Response::empty(ResponseStatus::Served) };
    PartResponse { response: Some(response), key_indices }
}

fn rejected(key_index: usize) -> PartResponse {
    let status = ResponseStatus::Rejected(Some(Span::from_ticks(700)));
    PartResponse { response: Some(Response::empty(status)), key_indices: vec![key_index] }
}

fn merged(parts: Vec<PartResponse>, rule: MergeRule, write: bool) -> String {
    match merge_responses(parts, rule, write, false) {
        Ok(reply) => String::from_utf8_lossy(&reply).replace("\r\n", " "),
        Err(status) => format!("{status:?}"),
    }
}

#[test]
fn replies_are_merged_and_a_partly_run_write_is_never_rejected() {
    let values =
        || vec![served("*2\r\n$1\r\nc\r\n$-1\r\n", vec![2, 0]), served("*1\r\n$1\r\nb\r\n", vec![1])];
    assert_eq!(merged(values(), MergeRule::Values, false), "*3 $-1 $1 b $1 c ");
    let sums = vec![served(":2\r\n", vec![0, 1]), served(":1\r\n", vec![2])];
    assert_eq!(merged(sums, MergeRule::Sum, true), ":3 ");
    let half_rejected = || vec![served("+OK\r\n", vec![0]), rejected(1)];
    assert_eq!(merged(half_rejected(), MergeRule::AllOk, true), "Failed");
    assert_eq!(merged(half_rejected(), MergeRule::AllOk, false), "Rejected(Some(700))");
    let all_rejected = vec![rejected(0), rejected(1)];
    assert_eq!(merged(all_rejected, MergeRule::AllOk, true), "Rejected(Some(700))");
    let dropped = PartResponse { response: None, key_indices: vec![0] };
    assert_eq!(merged(vec![dropped, served("+OK\r\n", vec![1])], MergeRule::AllOk, false), "Failed");
    assert_eq!(merged(vec![served("-WRONGTYPE x\r\n", vec![0])], MergeRule::Sum, true), "-WRONGTYPE x ");
    assert_eq!(merged(vec![served("not RESP\r\n", vec![0])], MergeRule::Sum, true), "Failed");
    assert_eq!(merge_responses(values(), MergeRule::Values, false, true).unwrap()[..7], *b"*3\r\n_\r\n");
}
