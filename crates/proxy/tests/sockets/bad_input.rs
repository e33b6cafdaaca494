//! Requests that are rejected before they are sent on.

use super::*;

#[test]
fn bad_input_is_rejected_and_the_connection_closed() {
    let setup = ProxySetup::new(&[("a", hit), ("origin", hit)]);
    let id = "X-Correlation-Id: c\r\nX-Time-Left: 1\r\nX-Service-Class: page\r\n";
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "k".repeat(20_000));
    let cases = [
        ("garbage", "\u{1}\u{2}\r\n\r\n".to_string()),
        ("a long head", long),
        ("a long body", format!("PUT /k HTTP/1.1\r\n{id}Content-Length: 65537\r\n\r\n")),
        ("two lengths", format!("PUT /k HTTP/1.1\r\n{id}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab")),
        (
            "length and chunks",
            format!("PUT /k HTTP/1.1\r\n{id}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        ),
        ("a bad chunk", format!("PUT /k HTTP/1.1\r\n{id}Transfer-Encoding: chunked\r\n\r\nzz\r\n")),
        (
            "a huge chunk",
            format!("PUT /k HTTP/1.1\r\n{id}Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"),
        ),
        ("no namespace", "GET /k HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left: 1\r\n\r\n".into()),
        ("unknown namespace", format!("GET /k HTTP/1.1\r\n{}\r\n", id.replace("page", "pag"))),
        ("no time left", format!("GET /k HTTP/1.1\r\n{}\r\n", id.replace("Left: 1", "Left: 0"))),
        (
            "time left is not a number",
            format!("GET /k HTTP/1.1\r\n{}\r\n", id.replace("Left: 1", "Left: NaN")),
        ),
        ("infinite time left", format!("GET /k HTTP/1.1\r\n{}\r\n", id.replace("Left: 1", "Left: inf"))),
        ("an exponent", format!("GET /k HTTP/1.1\r\n{}\r\n", id.replace("Left: 1", "Left: 1e0"))),
        ("ages", format!("GET /k HTTP/1.1\r\n{}\r\n", id.replace("Left: 1", "Left: 99999999999999999999"))),
        ("two ids", format!("GET /k HTTP/1.1\r\nX-Correlation-Id: d\r\n{id}\r\n")),
        (
            "the same length twice",
            format!("PUT /k HTTP/1.1\r\n{id}Content-Length: 1\r\nContent-Length: 1\r\n\r\na"),
        ),
        (
            "two at once",
            format!("GET /k HTTP/1.1\r\n{id}\r\nGET /l HTTP/1.1\r\n{}\r\n", id.replace(": c", ": d")),
        ),
        ("no id", format!("GET /k HTTP/1.1\r\n{}\r\n", id.replace("-Correlation", ""))),
        ("an empty field", format!("GET /k HTTP/1.1\r\nX-Correlation-Id:\r\nX-Service-Class: \r\n{id}\r\n")),
        ("another method", format!("POST /k HTTP/1.1\r\n{id}\r\n")),
        (
            "chunks",
            format!(
                "PUT /k HTTP/1.1\r\n{id}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
            ),
        ),
        ("nothing wrong", format!("GET /k HTTP/1.1\r\n{id}\r\n")),
    ];
    for (description, text) in cases {
        setup.observed.record(format!("{description}:"));
        let mut client = setup.client();
        client.write_all(text.as_bytes()).unwrap();
        setup.record_response(&mut client);
    }
    setup.assert_observed(expect![[r#"
        garbage:
        client: 400 Connection: close
        a long head:
        client: 431 Connection: close
        a long body:
        client: 408 Connection: close
        two lengths:
        client: 400 Connection: close
        length and chunks:
        client: 400 Connection: close
        a bad chunk:
        client: 400 Connection: close
        a huge chunk:
        client: 413 Connection: close
        no namespace:
        client: 404 Connection: close
        unknown namespace:
        client: 400 Connection: close
        no time left:
        client: 400 Connection: close
        time left is not a number:
        client: 400 Connection: close
        infinite time left:
        client: 400 Connection: close
        an exponent:
        client: 400 Connection: close
        ages:
        client: 400 Connection: close
        two ids:
        client: 400 Connection: close
        the same length twice:
        client: 400 Connection: close
        two at once:
        client: 400 Connection: close
        no id:
        client: 400 Connection: close
        an empty field:
        client: 400 Connection: close
        another method:
        client: 405 Connection: close
        chunks:
        origin: PUT /k abc
        client: 200 value
        nothing wrong:
        a: GET /k
        client: 200 value
    "#]]);
}

#[test]
fn a_request_id_in_use_and_a_second_request_before_the_response_are_rejected() {
    let slow: ServerScript = |_| {
        sleep(Duration::from_millis(300));
        (HIT_RESPONSE, false)
    };
    let setup = ProxySetup::new(&[("a", slow)]);
    let text = |id: &str| {
        format!(
            "GET /k HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left: 1\r\nX-Service-Class: page\r\n\r\n"
        )
    };
    let [mut owner, mut other, mut pipelining] = [(); 3].map(|()| setup.client());
    owner.write_all(text("c").as_bytes()).unwrap();
    pipelining.write_all(text("d").as_bytes()).unwrap();
    sleep(Duration::from_millis(100));
    other.write_all(text("c").as_bytes()).unwrap();
    setup.record_response(&mut other);
    pipelining.write_all(text("e").as_bytes()).unwrap();
    setup.record_response(&mut pipelining);
    setup.record_response(&mut owner);
    other = setup.client();
    other.write_all(text("c").as_bytes()).unwrap();
    setup.record_response(&mut other);
    setup.assert_observed(expect![[r#"
        a: GET /k
        a: GET /k
        client: 409 Connection: close
        client: 400 Connection: close
        client: 200 value
        a: GET /k
        client: 200 value
    "#]]);
}
