//! As much HTTP/1.1 as health, metrics, the node list and control need: GET and POST without a body, one request a
//! connection, loopback.

mod response;

pub use response::{ResponseError, ResponseParser, StatusAndBody};

use crate::stream::spawn_small_stack;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Most bytes of a request's head.
const MAX_HEAD: usize = 8 * 1024;
/// Bytes that a caller reads at once.
const PIECE: usize = 16 * 1024;
/// Most requests in work at once; long polls of many hosts count.
const MAX_OPEN: usize = 1024;

/// What a caller wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Told something.
    Get,
    /// Something done. Such a call carries the header `X-Pearfork-Ctl`: a page in a browser can send a plain POST to
    /// any address of the machine that it is shown on, and can't send that header without asking first.
    Post,
}

/// A call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// What the caller wants done.
    pub method: Method,
    /// To what, with its query.
    pub path: &'a str,
}

/// The header of a call that changes something.
const CTL_HEADER: &str = "X-Pearfork-Ctl";

/// What is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Status 200.
    pub fn ok(content_type: &'static str, body: impl Into<Vec<u8>>) -> Response {
        Response { status: 200, content_type, body: body.into() }
    }

    /// An error in words.
    pub fn error(status: u16, words: &str) -> Response {
        Response { status, content_type: "text/plain; charset=utf-8", body: format!("{words}\n").into() }
    }
}

/// A call that failed.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The socket.
    #[error("{address}: {source}")]
    Socket {
        /// Where to.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The answer can't be read.
    #[error("{address}: answer makes no sense: {what}")]
    InvalidResponse {
        /// From where.
        address: SocketAddr,
        /// What is wrong with it.
        what: ResponseError,
    },
}

/// A listener that answers calls until it is dropped.
pub struct Server {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
}

impl Server {
    /// Begins to answer GETs; each request has a thread of its own.
    ///
    /// # Errors
    /// No thread could be had.
    pub fn start(
        listener: TcpListener,
        answer: impl Fn(&str) -> Response + Send + Sync + 'static,
    ) -> io::Result<Server> {
        Server::start_with_methods(listener, move |call| match call.method {
            Method::Get => answer(call.path),
            Method::Post => Response::error(405, "only GET is answered here"),
        })
    }

    /// Begins to answer GETs and POSTs.
    ///
    /// # Errors
    /// No thread could be had.
    pub fn start_with_methods(
        listener: TcpListener,
        answer: impl Fn(Request<'_>) -> Response + Send + Sync + 'static,
    ) -> io::Result<Server> {
        let address = listener.local_addr()?;
        let stopping = Arc::new(AtomicBool::new(false));
        let (answer, open, stop) = (Arc::new(answer), Arc::new(AtomicUsize::new(0)), stopping.clone());
        spawn_small_stack("http", move || loop {
            let accepted = listener.accept();
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let Ok((stream, _)) = accepted else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            if open.fetch_add(1, Ordering::SeqCst) >= MAX_OPEN {
                open.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            let (answer, done) = (answer.clone(), open.clone());
            let spawned = spawn_small_stack("http-request", move || {
                let _ = serve(stream, &*answer);
                done.fetch_sub(1, Ordering::SeqCst);
            });
            if spawned.is_err() {
                open.fetch_sub(1, Ordering::SeqCst);
            }
        })?;
        Ok(Server { address, stopping })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(500));
    }
}

fn serve(mut stream: TcpStream, answer: &dyn Fn(Request<'_>) -> Response) -> io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.set_write_timeout(Some(Duration::from_secs(5)))?;
    let mut head = Vec::new();
    let answer = loop {
        let mut piece = [0; 1024];
        let got = stream.read(&mut piece)?;
        if got == 0 {
            return Ok(());
        }
        head.extend_from_slice(&piece[..got]);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&head) {
            Ok(httparse::Status::Complete(_)) => {
                let marked = request.headers.iter().any(|h| h.name.eq_ignore_ascii_case(CTL_HEADER));
                break match (request.method, request.path) {
                    (Some("GET"), Some(path)) => answer(Request { method: Method::Get, path }),
                    (Some("POST"), Some(path)) if marked => answer(Request { method: Method::Post, path }),
                    (Some("POST"), Some(_)) => Response::error(403, "a POST needs the header X-Pearfork-Ctl"),
                    _ => Response::error(405, "only GET and POST are answered here"),
                };
            }
            Ok(httparse::Status::Partial) if head.len() < MAX_HEAD => {}
            Ok(httparse::Status::Partial) => break Response::error(431, "head too long"),
            Err(e) => break Response::error(400, &e.to_string()),
        }
    };
    let words = match answer.status {
        200 => "OK",
        202 => "Accepted",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        503 => "Service Unavailable",
        _ => "Error",
    };
    write!(
        stream,
        "HTTP/1.1 {} {words}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        answer.status,
        answer.content_type,
        answer.body.len()
    )?;
    stream.write_all(&answer.body)
}

/// GETs a path; status and body.
///
/// # Errors
/// No whole answer within `within`, from the first packet to the last byte.
pub fn get(address: SocketAddr, path: &str, within: Duration) -> Result<StatusAndBody, RequestError> {
    get_cancellable(address, path, within, |_| true)
}

/// The same; `goes_on` is given the connection once it is up, may keep a handle of it to end the call from elsewhere,
/// and says whether the call goes on.
///
/// # Errors
/// As [`get`].
pub fn get_cancellable(
    address: SocketAddr,
    path: &str,
    within: Duration,
    goes_on: impl FnOnce(&TcpStream) -> bool,
) -> Result<StatusAndBody, RequestError> {
    call(address, Request { method: Method::Get, path }, within, goes_on)
}

/// POSTs to a path, without a body; status and body of the answer.
///
/// # Errors
/// As [`get`].
pub fn post(address: SocketAddr, path: &str, within: Duration) -> Result<StatusAndBody, RequestError> {
    call(address, Request { method: Method::Post, path }, within, |_| true)
}

/// Danger: a time-out for each read lets a body that trickles hold its caller for ever; the time is the whole call's.
fn call(
    address: SocketAddr,
    call: Request<'_>,
    within: Duration,
    goes_on: impl FnOnce(&TcpStream) -> bool,
) -> Result<StatusAndBody, RequestError> {
    let socket = |source| RequestError::Socket { address, source };
    let end = Instant::now() + within;
    let left = || match end.saturating_duration_since(Instant::now()) {
        Duration::ZERO => Err(socket(io::ErrorKind::TimedOut.into())),
        left => Ok(left),
    };
    let mut stream = TcpStream::connect_timeout(&address, within).map_err(socket)?;
    if !goes_on(&stream) {
        return Err(socket(io::ErrorKind::Interrupted.into()));
    }
    stream.set_write_timeout(Some(left()?)).map_err(socket)?;
    let (verb, more) = match call.method {
        Method::Get => ("GET", String::new()),
        Method::Post => ("POST", format!("{CTL_HEADER}: 1\r\nContent-Length: 0\r\n")),
    };
    let path = call.path;
    let request = format!("{verb} {path} HTTP/1.1\r\nHost: {address}\r\n{more}Connection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(socket)?;
    let mut reader = ResponseParser::default();
    let mut piece = vec![0; PIECE];
    let read = loop {
        stream.set_read_timeout(Some(left()?)).map_err(socket)?;
        match stream.read(&mut piece) {
            Ok(0) => break reader.finish(),
            Ok(n) => match reader.feed(&piece[..n]) {
                Ok(None) => {}
                Ok(Some(whole)) => break Ok(whole),
                Err(fault) => break Err(fault),
            },
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(socket(e)),
        }
    };
    read.map_err(|what| RequestError::InvalidResponse { address, what })
}

/// The value of a key in a path's query, as it stands.
pub fn query_parameter<'a>(path: &'a str, key: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.split_once('=').filter(|(k, _)| *k == key).map(|(_, v)| v))
}
