//! Heads of requests that may be started before their turn.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::{Method, Request, Uri, Version, http};

/// The most header fields of a request that is started early; hyper's own limit.
const MAX_HEADER_FIELDS: usize = 100;

/// Fields that change how a connection or a body is read.
const FRAMING_FIELDS: [HeaderName; 4] = [CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE];

/// Returns whether a request has no body and leaves its connection as it is, by its head.
pub fn is_plain(method: &Method, version: Version, headers: &HeaderMap) -> bool {
    let keeps_connection =
        |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"keep-alive");
    matches!(*method, Method::GET | Method::HEAD)
        && version == Version::HTTP_11
        && !FRAMING_FIELDS.iter().any(|name| headers.contains_key(name))
        && headers.get_all(CONNECTION).iter().all(keeps_connection)
}

/// Parses the head of a plain request; `None` if it is malformed or not plain.
pub fn parse(bytes: &[u8]) -> Option<http::request::Parts> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    if !matches!(parsed.parse(bytes), Ok(httparse::Status::Complete(length)) if length == bytes.len())
        || parsed.version != Some(1)
    {
        return None;
    }
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    let method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    if !is_plain(&method, Version::HTTP_11, &headers) {
        return None;
    }
    let mut head = Request::new(()).into_parts().0;
    head.method = method;
    head.uri = parsed.path?.parse::<Uri>().ok()?;
    head.headers = headers;
    Some(head)
}
