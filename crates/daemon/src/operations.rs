//! What operators may say, and what they are answered: plain functions, free of sockets.

use hyper::{Method, StatusCode};
use std::borrow::Cow;

/// An id is a few dozen bytes; discovery's longest line bounds what it could be.
const LONGEST: usize = 1 << 10;

/// An operator's word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// Takes this endpoint out of service.
    Enter(String),
    /// It may serve again.
    Exit(String),
    /// Drains the sender.
    Standby,
    /// Takes clients again.
    Active,
}

/// A call at the second address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    Status,
    Word(Word),
}

/// Why a call or a word is turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct No {
    pub status: StatusCode,
    pub why: Cow<'static, str>,
    /// The method that the path takes, where another was used.
    pub allow: Option<&'static str>,
}

impl No {
    pub fn new(status: StatusCode, why: impl Into<Cow<'static, str>>) -> Self {
        Self { status, why: why.into(), allow: None }
    }
}

/// Reads a call.
///
/// # Errors
/// No such call, or one that names no endpoint: with the status that says so.
pub fn read(method: &Method, path: &str, query: Option<&str>) -> Result<Asked, No> {
    let wanted = match path {
        "/status" => "GET",
        "/maintenance/enter" | "/maintenance/exit" | "/standby" | "/active" => "POST",
        _ => return Err(No::new(StatusCode::NOT_FOUND, format!("there is no call {path}"))),
    };
    let fits = method.as_str() == wanted || (wanted == "GET" && method == Method::HEAD);
    if !fits {
        let why = format!("{path} takes {wanted}");
        return Err(No { allow: Some(wanted), ..No::new(StatusCode::METHOD_NOT_ALLOWED, why) });
    }
    Ok(match path {
        "/status" => Asked::Status,
        "/maintenance/enter" => Asked::Word(Word::Enter(name(query)?)),
        "/maintenance/exit" => Asked::Word(Word::Exit(name(query)?)),
        "/standby" => Asked::Word(Word::Standby),
        _ => Asked::Word(Word::Active),
    })
}

/// The one endpoint that a query names.
fn name(query: Option<&str>) -> Result<String, No> {
    let no = |why| Err(No::new(StatusCode::BAD_REQUEST, why));
    let mut names = query.unwrap_or_default().split('&').filter_map(|part| part.strip_prefix("name="));
    let (first, second) = (names.next(), names.next());
    let Some(name) = first else { return no("name=ID is missing: it names the endpoint") };
    if second.is_some() {
        return no("name= is there twice: one call is about one endpoint");
    }
    match decoded(name) {
        None => no("name= is no text in percent-encoded UTF-8"),
        Some(name) if name.is_empty() => no("name= is empty"),
        Some(name) if name.len() > LONGEST => no("name= is longer than any id"),
        Some(name) => Ok(name),
    }
}

/// Undoes percent-encoding; `+` stands for itself, since ids are no form data.
fn decoded(text: &str) -> Option<String> {
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

    fn post(path: &str, query: Option<&str>) -> Result<Asked, u16> {
        read(&Method::POST, path, query).map_err(|no| no.status.as_u16())
    }

    #[test]
    fn each_call_is_read_and_what_is_no_call_is_told_so() {
        assert_eq!(read(&Method::GET, "/status", None), Ok(Asked::Status));
        assert_eq!(post("/standby", None), Ok(Asked::Word(Word::Standby)));
        assert_eq!(post("/active", Some("now")), Ok(Asked::Word(Word::Active)));
        assert_eq!(post("/maintenance/enter", Some("name=s-1")), Ok(Asked::Word(Word::Enter("s-1".into()))));
        let odd = Ok(Asked::Word(Word::Exit("s 1+%".into())));
        assert_eq!(post("/maintenance/exit", Some("x=1&name=s%201+%25&y")), odd);
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
        let long = format!("name={}", "a".repeat(LONGEST + 1));
        assert_eq!(post("/maintenance/enter", Some(&long)), Err(400));
        let no = read(&Method::GET, "/standby", None).expect_err("a GET changes nothing");
        assert_eq!((no.status.as_u16(), no.allow), (405, Some("POST")));
    }
}
