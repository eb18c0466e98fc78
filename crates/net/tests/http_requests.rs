//! HTTP requests, and responses that end before they are complete.

use pearfork_net::http::{self, RequestError, ResponseError, ResponseParser};
use rustix::net::sockopt::set_socket_linger;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);

fn parse(text: &[u8]) -> Result<Option<(u16, Vec<u8>)>, ResponseError> {
    ResponseParser::default().feed(text)
}

/// A response is parsed the same, whatever pieces it arrives in.
#[test]
fn a_response_ends_by_its_length_its_last_chunk_or_an_orderly_close() {
    let body = b"{\n  \"seq\": 41\n}";
    let with_length = [&b"HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n"[..], body].concat();
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5;x=y\r\n{\n  \"\r\na\r\nseq\": 41\n}\r\n0\r\nX: y\r\n\r\n";
    let interim = [&b"HTTP/1.1 103 Early\r\n\r\n"[..], &with_length].concat();
    for text in [&with_length[..], chunked, &interim] {
        for cut in 0..text.len() {
            let mut parser = ResponseParser::default();
            assert_eq!(parser.feed(&text[..cut]), Ok(None), "{cut}");
            assert_eq!(parser.feed(&text[cut..]), Ok(Some((200, body.to_vec()))), "{cut}");
            let mut parser = ResponseParser::default();
            parser.feed(&text[..cut]).unwrap();
            assert!(parser.finish().is_err(), "truncated at {cut}");
        }
        let mut parser = ResponseParser::default();
        let last = text.iter().map(|b| parser.feed(&[*b]).unwrap()).last().unwrap();
        assert_eq!(last, Some((200, body.to_vec())));
    }
    let without_length = [&b"HTTP/1.1 200 OK\r\n\r\n"[..], body].concat();
    let mut parser = ResponseParser::default();
    assert_eq!(parser.feed(&without_length), Ok(None), "only the end of the connection ends it");
    assert_eq!(parser.finish(), Ok((200, body.to_vec())));
}

#[test]
fn invalid_lengths_are_rejected() {
    let head = |lines: &str| parse(format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\n").as_bytes()).unwrap_err();
    for lines in ["Content-Length: -1", "Content-Length: 1\r\nContent-Length: 2", "Content-Length: x"] {
        assert_eq!(head(lines), ResponseError::Length("content-length"), "{lines}");
    }
    assert_eq!(head("Transfer-Encoding: gzip"), ResponseError::Length("transfer-encoding"));
    assert_eq!(head("Content-Length: 99999999999"), ResponseError::TooLong);
    let chunks = |text: &str| {
        parse(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{text}").as_bytes()).unwrap_err()
    };
    assert_eq!(chunks("-1\r\n"), ResponseError::Length("chunk"));
    assert_eq!(chunks("ffffffff\r\n"), ResponseError::TooLong);
    assert_eq!(chunks("1\r\nabc\r\n"), ResponseError::Length("chunk"));
    let endless = [b"HTTP/1.1 200 OK\r\nX: ".to_vec(), vec![b'x'; 64 * 1024]].concat();
    assert_eq!(parse(&endless), Err(ResponseError::TooLong));
}

/// Guards against a body that takes more memory than the caller has for it, however its end is told.
#[test]
fn a_body_beyond_the_callers_limit_is_rejected_and_one_at_the_limit_is_not() {
    let framings: [(&str, &str); 3] = [
        ("Content-Length: 8\r\n", "12345678"),
        ("Transfer-Encoding: chunked\r\n", "4\r\n1234\r\n4\r\n5678\r\n0\r\n\r\n"),
        ("", "12345678"),
    ];
    for (headers, body) in framings {
        let response = format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}");
        let parse_with = |max_body| {
            let mut parser = ResponseParser::with_max_body(max_body);
            let parsed = parser.feed(response.as_bytes())?;
            parsed.map_or_else(|| parser.finish(), Ok)
        };
        assert_eq!(parse_with(8), Ok((200, b"12345678".to_vec())), "{headers}");
        assert_eq!(parse_with(7), Err(ResponseError::TooLong), "{headers}");
    }
}

/// Starts a server that calls `respond` with its first connection, once it has read the request head.
fn server(respond: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        let mut head = Vec::new();
        let mut chunk = [0; 512];
        while !head.windows(4).any(|w| w == b"\r\n\r\n") {
            let n = stream.read(&mut chunk).unwrap();
            head.extend_from_slice(&chunk[..n]);
        }
        respond(stream);
    });
    address
}

/// Half a list may parse like a complete one, so only an orderly close may end a body without a length.
#[test]
fn a_reset_fails_the_request_and_an_orderly_close_ends_the_body() {
    let text = b"HTTP/1.1 200 OK\r\n\r\n[]";
    let resetting = server(move |mut stream| {
        stream.write_all(text).unwrap();
        set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    });
    let result = http::get(resetting, "/x", TIMEOUT);
    assert!(matches!(result, Err(RequestError::Socket { .. })), "{result:?}");
    let closing = server(move |mut stream| stream.write_all(text).unwrap());
    assert_eq!(http::get(closing, "/x", TIMEOUT).unwrap(), (200, b"[]".to_vec()));
}

#[test]
fn a_complete_response_is_returned_while_its_connection_stays_open() {
    let (hold, held) = std::sync::mpsc::channel();
    let address = server(move |mut stream| {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]").unwrap();
        hold.send(stream).unwrap();
    });
    let started = Instant::now();
    assert_eq!(http::get(address, "/x", TIMEOUT).unwrap(), (200, b"[]".to_vec()));
    assert!(started.elapsed() < TIMEOUT / 2);
    drop(held.recv().unwrap());
}

/// With a timeout for each read, a body that is sent byte by byte would block its caller forever.
#[test]
fn a_body_sent_byte_by_byte_cannot_outlast_the_request_timeout() {
    let address = server(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
        for _ in 0..200 {
            if stream.write_all(b"x").is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let started = Instant::now();
    assert!(http::get(address, "/x", Duration::from_millis(400)).is_err());
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}
