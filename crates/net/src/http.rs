//! The part of HTTP/1.1 that health, metrics, the node list and control need: GET and POST without a request
//! body, one request per connection, on loopback.

mod response;

pub use response::{ResponseError, ResponseParser, StatusAndBody};

use crate::stream::spawn_small_stack;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum size of a request head in bytes.
const MAX_HEAD: usize = 8 * 1024;
/// Size of the client's read buffer in bytes.
const READ_BUFFER: usize = 16 * 1024;
/// Maximum number of requests that the server handles at once, including the long polls of many hosts.
const MAX_OPEN_REQUESTS: usize = 1024;

/// The methods that the server accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Reads something.
    Get,
    /// Changes something. The request must carry the header `X-Pearfork-Ctl`: a web page can make a browser
    /// send a plain POST to any address of its machine, but not one with this header, which needs a CORS
    /// preflight.
    Post,
}

/// A request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// The request method.
    pub method: Method,
    /// The path with its query string.
    pub path: &'a str,
}

/// The header that a POST must carry.
const CTL_HEADER: &str = "X-Pearfork-Ctl";

/// A response that the server sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: &'static str,
    /// The response body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response with status 200.
    pub fn ok(content_type: &'static str, body: impl Into<Vec<u8>>) -> Response {
        Response { status: 200, content_type, body: body.into() }
    }

    /// An error response with a plain-text message.
    pub fn error(status: u16, message: &str) -> Response {
        Response { status, content_type: "text/plain; charset=utf-8", body: format!("{message}\n").into() }
    }
}

/// A request that failed.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The connection failed or timed out.
    #[error("{address}: {source}")]
    Socket {
        /// Address of the server.
        address: SocketAddr,
        /// The socket error.
        source: io::Error,
    },
    /// The response is invalid or incomplete.
    #[error("{address}: invalid HTTP response: {error}")]
    InvalidResponse {
        /// Address of the server.
        address: SocketAddr,
        /// What is wrong with the response.
        error: ResponseError,
    },
}

/// An HTTP server that runs until it is dropped.
pub struct Server {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server that accepts GET only; each request is handled on a thread of its own.
    ///
    /// # Errors
    /// The thread that accepts connections could not be started.
    pub fn start(
        listener: TcpListener,
        handler: impl Fn(&str) -> Response + Send + Sync + 'static,
    ) -> io::Result<Server> {
        Server::start_with_methods(listener, move |request| match request.method {
            Method::Get => handler(request.path),
            Method::Post => Response::error(405, "only GET is supported here"),
        })
    }

    /// Starts a server that accepts GET and POST.
    ///
    /// # Errors
    /// The thread that accepts connections could not be started.
    pub fn start_with_methods(
        listener: TcpListener,
        handler: impl Fn(Request<'_>) -> Response + Send + Sync + 'static,
    ) -> io::Result<Server> {
        let address = listener.local_addr()?;
        let stopping = Arc::new(AtomicBool::new(false));
        let (handler, open_requests, stop) =
            (Arc::new(handler), Arc::new(AtomicUsize::new(0)), stopping.clone());
        spawn_small_stack("http", move || loop {
            let accepted = listener.accept();
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let Ok((stream, _)) = accepted else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            if open_requests.fetch_add(1, Ordering::SeqCst) >= MAX_OPEN_REQUESTS {
                open_requests.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            let (handler, counter) = (handler.clone(), open_requests.clone());
            let spawned = spawn_small_stack("http-request", move || {
                let _ = serve(stream, &*handler);
                counter.fetch_sub(1, Ordering::SeqCst);
            });
            if spawned.is_err() {
                open_requests.fetch_sub(1, Ordering::SeqCst);
            }
        })?;
        Ok(Server { address, stopping })
    }

    /// The address that the server listens on.
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

fn serve(mut stream: TcpStream, handler: &dyn Fn(Request<'_>) -> Response) -> io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.set_write_timeout(Some(Duration::from_secs(5)))?;
    let mut head = Vec::new();
    let response = loop {
        let mut chunk = [0; 1024];
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Ok(());
        }
        head.extend_from_slice(&chunk[..read]);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&head) {
            Ok(httparse::Status::Complete(_)) => {
                let has_ctl_header = request.headers.iter().any(|h| h.name.eq_ignore_ascii_case(CTL_HEADER));
                break match (request.method, request.path) {
                    (Some("GET"), Some(path)) => handler(Request { method: Method::Get, path }),
                    (Some("POST"), Some(path)) if has_ctl_header => {
                        handler(Request { method: Method::Post, path })
                    }
                    (Some("POST"), Some(_)) => Response::error(403, "a POST needs the header X-Pearfork-Ctl"),
                    _ => Response::error(405, "only GET and POST are supported here"),
                };
            }
            Ok(httparse::Status::Partial) if head.len() < MAX_HEAD => {}
            Ok(httparse::Status::Partial) => break Response::error(431, "request head too long"),
            Err(e) => break Response::error(400, &e.to_string()),
        }
    };
    let reason = match response.status {
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
        "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        response.status,
        response.content_type,
        response.body.len()
    )?;
    stream.write_all(&response.body)
}

/// Limits of a request that this host sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Time limit for everything from the connect to the last byte of the response.
    pub timeout: Duration,
    /// Maximum size of the response's body in bytes.
    pub max_body_bytes: usize,
}

impl RequestLimits {
    fn with_timeout(timeout: Duration) -> RequestLimits {
        RequestLimits { timeout, max_body_bytes: response::MAX_BODY }
    }
}

/// Sends a GET request; returns the response's status and body.
///
/// # Errors
/// No complete response came within `timeout`, which covers everything from the connect to the last byte.
pub fn get(address: SocketAddr, path: &str, timeout: Duration) -> Result<StatusAndBody, RequestError> {
    get_cancellable(address, path, RequestLimits::with_timeout(timeout), |_| true)
}

/// Like [`get`], but the request can be cancelled from another thread.
///
/// `on_connected` is called once the connection is established. It may keep a handle of the stream to shut it
/// down later, and returns whether the request should be sent at all.
///
/// # Errors
/// As [`get`], or the request was cancelled.
pub fn get_cancellable(
    address: SocketAddr,
    path: &str,
    limits: RequestLimits,
    on_connected: impl FnOnce(&TcpStream) -> bool,
) -> Result<StatusAndBody, RequestError> {
    send(address, Request { method: Method::Get, path }, limits, on_connected)
}

/// Sends a POST request without a body; returns the response's status and body.
///
/// # Errors
/// As [`get`].
pub fn post(address: SocketAddr, path: &str, timeout: Duration) -> Result<StatusAndBody, RequestError> {
    let limits = RequestLimits::with_timeout(timeout);
    send(address, Request { method: Method::Post, path }, limits, |_| true)
}

/// Sends a request and reads the response.
///
/// The timeout is for the whole exchange. With a timeout for each read, a server that sends its body byte by
/// byte could block the caller forever.
fn send(
    address: SocketAddr,
    request: Request<'_>,
    limits: RequestLimits,
    on_connected: impl FnOnce(&TcpStream) -> bool,
) -> Result<StatusAndBody, RequestError> {
    let socket_error = |source| RequestError::Socket { address, source };
    let deadline = Instant::now() + limits.timeout;
    let remaining = || match deadline.saturating_duration_since(Instant::now()) {
        Duration::ZERO => Err(socket_error(io::ErrorKind::TimedOut.into())),
        remaining => Ok(remaining),
    };
    let mut stream = TcpStream::connect_timeout(&address, limits.timeout).map_err(socket_error)?;
    if !on_connected(&stream) {
        return Err(socket_error(io::ErrorKind::Interrupted.into()));
    }
    stream.set_write_timeout(Some(remaining()?)).map_err(socket_error)?;
    let (method, extra_headers) = match request.method {
        Method::Get => ("GET", String::new()),
        Method::Post => ("POST", format!("{CTL_HEADER}: 1\r\nContent-Length: 0\r\n")),
    };
    let path = request.path;
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n{extra_headers}Connection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).map_err(socket_error)?;
    let mut parser = ResponseParser::with_max_body(limits.max_body_bytes);
    let mut chunk = vec![0; READ_BUFFER];
    let result = loop {
        stream.set_read_timeout(Some(remaining()?)).map_err(socket_error)?;
        match stream.read(&mut chunk) {
            Ok(0) => break parser.finish(),
            Ok(n) => match parser.feed(&chunk[..n]) {
                Ok(None) => {}
                Ok(Some(response)) => break Ok(response),
                Err(error) => break Err(error),
            },
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(socket_error(e)),
        }
    };
    result.map_err(|error| RequestError::InvalidResponse { address, error })
}

/// The value of a parameter in the query string of a path, without percent-decoding.
pub fn query_parameter<'a>(path: &'a str, key: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.split_once('=').filter(|(k, _)| *k == key).map(|(_, v)| v))
}
