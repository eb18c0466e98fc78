//! Queries running hosts over HTTP, asks them to drain, and formats their responses. [`table`] and [`fleet`]
//! do no I/O.

pub mod fleet;
pub mod table;

use pearfork_net::http::{get, post};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A request to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Query {
    /// Show whether the host has a node to send to.
    Health,
    /// List the nodes that the host knows, with the results of its attempts at each.
    Nodes,
    /// List the host's volumes.
    Volumes,
    /// Print the host's metrics unchanged.
    Metrics,
    /// Compare the hosts' views of their fleet: `fleet members`, `fleet budgets` or `fleet why VOLUME`.
    Fleet,
    /// Drain the host: it accepts no more sessions, gives all open commands their final answers and exits.
    Drain,
}

impl Query {
    fn path(self) -> &'static str {
        match self {
            Query::Health => "/health",
            Query::Nodes => "/nodes",
            Query::Volumes => "/volumes",
            Query::Metrics => "/metrics",
            Query::Fleet => "/fleet",
            Query::Drain => "/drain",
        }
    }
}

/// The response of a host.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Table rows.
    Rows(Vec<Value>),
    /// Plain text.
    Text(String),
    /// The host responded with an error status or with a body that can't be parsed.
    Unhealthy(String),
    /// The host can't be reached, or did not respond in time.
    Unreachable(String),
}

/// Sends a query to a host and waits for the response for `timeout` at most.
pub fn query_host(host: SocketAddr, query: Query, timeout: Duration) -> Response {
    let result = match query {
        Query::Drain => post(host, query.path(), timeout),
        _ => get(host, query.path(), timeout),
    };
    let (status, body) = match result {
        Ok(response) => response,
        Err(e) => return Response::Unreachable(e.to_string()),
    };
    let text = String::from_utf8_lossy(&body).trim_end().to_owned();
    if !matches!(status, 200 | 202) {
        return Response::Unhealthy(format!("{status}: {text}"));
    }
    match (query, serde_json::from_slice(&body)) {
        (Query::Fleet, Ok(view @ Value::Object(_))) => Response::Rows(vec![view]),
        (Query::Fleet, _) => {
            Response::Unhealthy(format!("expected the state of a fleet, a JSON object: {text}"))
        }
        (Query::Nodes | Query::Volumes, Ok(Value::Array(rows))) => Response::Rows(rows),
        (Query::Nodes | Query::Volumes, _) => Response::Unhealthy(format!("expected a JSON array: {text}")),
        _ => Response::Text(text),
    }
}

/// Interval between the health queries to a draining host.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Asks a host to drain and waits until it is unreachable. Returns text when it is, and
/// [`Response::Unhealthy`] when it still responds after `wait`. With a `wait` of zero, or if the drain
/// request fails, it returns the response to the drain request at once.
pub fn drain(host: SocketAddr, wait: Duration, timeout: Duration) -> Response {
    let until = Instant::now() + wait;
    let response = query_host(host, Query::Drain, timeout);
    if !matches!(response, Response::Text(_)) || wait.is_zero() {
        return response;
    }
    loop {
        let health = query_host(host, Query::Health, timeout);
        if matches!(health, Response::Unreachable(_)) {
            return Response::Text("gone".to_owned());
        }
        if Instant::now() >= until {
            let (Response::Unhealthy(text) | Response::Text(text)) = health else { return health };
            return Response::Unhealthy(format!("still running: {text}"));
        }
        std::thread::sleep(DRAIN_POLL_INTERVAL);
    }
}
