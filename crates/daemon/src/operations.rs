//! Parses operators' HTTP requests: plain functions, free of sockets.

use hyper::{Method, StatusCode};
use std::borrow::Cow;

/// Longest endpoint id. An id is a few dozen bytes; the endpoint list limits it only by its own length.
const MAX_ID_BYTES: usize = 1 << 10;

/// A command from an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Takes the endpoint with this id out of service.
    Enter(String),
    /// Returns the endpoint with this id to service.
    Exit(String),
    /// Drains the sender: clients are sent elsewhere.
    Standby,
    /// Ends the drain: clients are admitted again.
    Active,
}

/// A request at the operators' address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    Status,
    Command(OperatorCommand),
}

/// Why a request or a command is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub status: StatusCode,
    pub why: Cow<'static, str>,
    /// The method that the path accepts, if the request used another one.
    pub allow: Option<&'static str>,
}

impl Rejection {
    /// Creates a rejection with this status and reason.
    pub fn new(status: StatusCode, why: impl Into<Cow<'static, str>>) -> Self {
        Self { status, why: why.into(), allow: None }
    }
}

/// Parses a request.
///
/// # Errors
/// The path or the method is not supported, or the request names no endpoint.
pub fn parse_request(method: &Method, path: &str, query: Option<&str>) -> Result<AdminRequest, Rejection> {
    let allowed = match path {
        "/status" => "GET",
        "/maintenance/enter" | "/maintenance/exit" | "/standby" | "/active" => "POST",
        _ => return Err(Rejection::new(StatusCode::NOT_FOUND, format!("path {path} does not exist"))),
    };
    let is_allowed = method.as_str() == allowed || (allowed == "GET" && method == Method::HEAD);
    if !is_allowed {
        let why = format!("{path} requires method {allowed}");
        return Err(Rejection {
            allow: Some(allowed),
            ..Rejection::new(StatusCode::METHOD_NOT_ALLOWED, why)
        });
    }
    Ok(match path {
        "/status" => AdminRequest::Status,
        "/maintenance/enter" => AdminRequest::Command(OperatorCommand::Enter(endpoint_name(query)?)),
        "/maintenance/exit" => AdminRequest::Command(OperatorCommand::Exit(endpoint_name(query)?)),
        "/standby" => AdminRequest::Command(OperatorCommand::Standby),
        _ => AdminRequest::Command(OperatorCommand::Active),
    })
}

/// Returns the one endpoint that a query names.
fn endpoint_name(query: Option<&str>) -> Result<String, Rejection> {
    let reject = |why| Err(Rejection::new(StatusCode::BAD_REQUEST, why));
    let mut names = query.unwrap_or_default().split('&').filter_map(|part| part.strip_prefix("name="));
    let (first, second) = (names.next(), names.next());
    let Some(name) = first else { return reject("parameter name=ID is missing: it names the endpoint") };
    if second.is_some() {
        return reject("parameter name= is given twice: a request names one endpoint");
    }
    match percent_decode(name) {
        None => reject("parameter name= is not percent-encoded UTF-8"),
        Some(name) if name.is_empty() => reject("parameter name= is empty"),
        Some(name) if name.len() > MAX_ID_BYTES => reject("parameter name= is longer than any endpoint id"),
        Some(name) => Ok(name),
    }
}

/// Decodes percent-encoding. A `+` stands for itself, since ids are not form data.
fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        if byte == b'%' {
            let digits = after.get(..2).filter(|d| d.iter().all(u8::is_ascii_hexdigit))?;
            bytes.push(u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?);
            rest = &after[2..];
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8(bytes).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn post(path: &str, query: Option<&str>) -> Result<AdminRequest, u16> {
        parse_request(&Method::POST, path, query).map_err(|rejection| rejection.status.as_u16())
    }

    #[test]
    fn valid_requests_are_parsed_and_invalid_ones_are_rejected_with_their_status() {
        assert_eq!(parse_request(&Method::GET, "/status", None), Ok(AdminRequest::Status));
        assert_eq!(post("/standby", None), Ok(AdminRequest::Command(OperatorCommand::Standby)));
        assert_eq!(post("/active", Some("now")), Ok(AdminRequest::Command(OperatorCommand::Active)));
        assert_eq!(
            post("/maintenance/enter", Some("name=s-1")),
            Ok(AdminRequest::Command(OperatorCommand::Enter("s-1".into())))
        );
        let encoded = Ok(AdminRequest::Command(OperatorCommand::Exit("s 1+%".into())));
        assert_eq!(post("/maintenance/exit", Some("x=1&name=s%201+%25&y")), encoded);
        for (path, query, status) in [
            ("/", None, 404),
            ("/maintenance", Some("name=s-1"), 404),
            ("/status", None, 405),
            ("/maintenance/enter", None, 400),
            ("/maintenance/enter", Some("name="), 400),
            ("/maintenance/enter", Some("id=s-1"), 400),
            ("/maintenance/enter", Some("name=a&name=b"), 400),
            ("/maintenance/exit", Some("name=%"), 400),
            ("/maintenance/exit", Some("name=%+1"), 400),
            ("/maintenance/exit", Some("name=%ff"), 400),
        ] {
            assert_eq!(post(path, query), Err(status), "{path} {query:?}");
        }
        let long = format!("name={}", "a".repeat(MAX_ID_BYTES + 1));
        assert_eq!(post("/maintenance/enter", Some(&long)), Err(400));
        let rejection = parse_request(&Method::GET, "/standby", None).expect_err("a GET changes nothing");
        assert_eq!((rejection.status.as_u16(), rejection.allow), (405, Some("POST")));
    }
}
