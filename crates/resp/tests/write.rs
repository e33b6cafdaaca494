//! The writer encodes every kind of frame in RESP2 and in RESP3.

use chalkwalk_resp::Writer;
use expect_test::expect;

#[test]
fn nulls_and_maps_are_encoded_for_the_protocol_version() {
    let mut written = String::new();
    for resp3 in [false, true] {
        let mut out = Writer::new(resp3);
        assert!(out.is_empty());
        out.map_header(1);
        out.simple_string("a\r\nline");
        out.null();
        out.error("ERR a\nline");
        out.integer(-3);
        out.raw(b"+raw\r\n");
        out.command(&[b"GET", b"a\r\n"]);
        assert_eq!(out.len(), out.as_bytes().len());
        written += &format!("{}\n", out.take_bytes().escape_ascii());
        assert!(out.is_empty());
    }
    expect![[r#"
        *2\r\n+aline\r\n$-1\r\n-ERR aline\r\n:-3\r\n+raw\r\n*2\r\n$3\r\nGET\r\n$3\r\na\r\n\r\n
        %1\r\n+aline\r\n_\r\n-ERR aline\r\n:-3\r\n+raw\r\n*2\r\n$3\r\nGET\r\n$3\r\na\r\n\r\n
    "#]]
    .assert_eq(&written);
}
