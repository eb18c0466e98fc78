//! Calls over HTTP, and the responses that end before they are whole.

use pearfork_net::http::{self, RequestError, ResponseError, ResponseParser};
use rustix::net::sockopt::set_socket_linger;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(10);

fn all(text: &[u8]) -> Result<Option<(u16, Vec<u8>)>, ResponseError> {
    ResponseParser::default().feed(text)
}

/// Whatever pieces it comes in, a response is the same.
#[test]
fn a_response_is_whole_by_its_length_its_chunks_or_its_end() {
    let body = b"{\n  \"seq\": 41\n}";
    let told = [&b"HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\n"[..], body].concat();
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5;x=y\r\n{\n  \"\r\na\r\nseq\": 41\n}\r\n0\r\nX: y\r\n\r\n";
    let interim = [&b"HTTP/1.1 103 Early\r\n\r\n"[..], &told].concat();
    for text in [&told[..], chunked, &interim] {
        for cut in 0..text.len() {
            let mut reader = ResponseParser::default();
            assert_eq!(reader.feed(&text[..cut]), Ok(None), "{cut}");
            assert_eq!(reader.feed(&text[cut..]), Ok(Some((200, body.to_vec()))), "{cut}");
            let mut reader = ResponseParser::default();
            reader.feed(&text[..cut]).unwrap();
            assert!(reader.finish().is_err(), "cut off at {cut}");
        }
        let mut reader = ResponseParser::default();
        let last = text.iter().map(|b| reader.feed(&[*b]).unwrap()).last().unwrap();
        assert_eq!(last, Some((200, body.to_vec())));
    }
    let open = [&b"HTTP/1.1 200 OK\r\n\r\n"[..], body].concat();
    let mut reader = ResponseParser::default();
    assert_eq!(reader.feed(&open), Ok(None), "only its end ends it");
    assert_eq!(reader.finish(), Ok((200, body.to_vec())));
}

#[test]
fn lengths_that_make_no_sense_are_refused() {
    let head = |lines: &str| all(format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\n").as_bytes()).unwrap_err();
    for lines in ["Content-Length: -1", "Content-Length: 1\r\nContent-Length: 2", "Content-Length: x"] {
        assert_eq!(head(lines), ResponseError::Length("content-length"), "{lines}");
    }
    assert_eq!(head("Transfer-Encoding: gzip"), ResponseError::Length("transfer-encoding"));
    assert_eq!(head("Content-Length: 99999999999"), ResponseError::TooLong);
    let chunks = |text: &str| {
        all(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{text}").as_bytes()).unwrap_err()
    };
    assert_eq!(chunks("-1\r\n"), ResponseError::Length("chunk"));
    assert_eq!(chunks("ffffffff\r\n"), ResponseError::TooLong);
    assert_eq!(chunks("1\r\nabc\r\n"), ResponseError::Length("chunk"));
    let endless = [b"HTTP/1.1 200 OK\r\nX: ".to_vec(), vec![b'x'; 64 * 1024]].concat();
    assert_eq!(all(&endless), Err(ResponseError::TooLong));
}

/// An agent that does this with its first connection, once it has read the request.
fn agent(react: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        let mut head = Vec::new();
        let mut piece = [0; 512];
        while !head.windows(4).any(|w| w == b"\r\n\r\n") {
            let n = stream.read(&mut piece).unwrap();
            head.extend_from_slice(&piece[..n]);
        }
        react(stream);
    });
    address
}

/// Danger: half a list may read like a whole one.
#[test]
fn a_reset_is_no_end_and_an_orderly_end_is_one() {
    let text = b"HTTP/1.1 200 OK\r\n\r\n[]";
    let reset = agent(move |mut stream| {
        stream.write_all(text).unwrap();
        set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    });
    let called = http::get(reset, "/x", LONG);
    assert!(matches!(called, Err(RequestError::Socket { .. })), "{called:?}");
    let closed = agent(move |mut stream| stream.write_all(text).unwrap());
    assert_eq!(http::get(closed, "/x", LONG).unwrap(), (200, b"[]".to_vec()));
}

/// A whole answer counts at once, though its connection stays open.
#[test]
fn a_whole_answer_is_not_held_up_by_a_connection_that_stays() {
    let (keep, kept) = std::sync::mpsc::channel();
    let address = agent(move |mut stream| {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]").unwrap();
        keep.send(stream).unwrap();
    });
    let began = Instant::now();
    assert_eq!(http::get(address, "/x", LONG).unwrap(), (200, b"[]".to_vec()));
    assert!(began.elapsed() < LONG / 2);
    drop(kept.recv().unwrap());
}

/// Danger: a time-out for each read lets a body that trickles hold its caller for ever.
#[test]
fn a_body_that_trickles_holds_nobody_longer_than_the_call_may_take() {
    let address = agent(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
        for _ in 0..200 {
            if stream.write_all(b"x").is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let began = Instant::now();
    assert!(http::get(address, "/x", Duration::from_millis(400)).is_err());
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
}
