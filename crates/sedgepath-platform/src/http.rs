//! The platform's client over HTTP.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use attohttpc::body::{Body, BodyKind};
use attohttpc::header::CONTENT_LENGTH;
use attohttpc::{Method, ProxySettings, RequestBuilder, Response, StatusCode};
use sedgepath_core::table::{TableRequest, TableResult};

use crate::service::{ObjectStore, PlatformError, TableService, VmList, VmSnapshot};

const DEFAULT_TIMEOUT_MS: u64 = 2_000;

/// A client of the platform that opens a connection for each request.
///
/// The platform must declare the length of the objects that it returns; its JSON answers may be
/// chunked.
#[derive(Debug)]
pub struct HttpPlatform {
    base_url: Box<str>,
    timeout_ms: u64,
}

impl HttpPlatform {
    /// Creates a client for the platform at `base_url`, for example `http://192.0.2.1:8080`.
    pub fn new(base_url: impl Into<Box<str>>) -> Self {
        let base_url: Box<str> = base_url.into();
        Self { base_url: base_url.trim_end_matches('/').into(), timeout_ms: DEFAULT_TIMEOUT_MS }
    }

    /// Sets the longest time that one request may take from connecting to the end of its answer.
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    fn send(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Answer, Failure> {
        let sent = Arc::new(AtomicBool::new(false));
        let body = TrackedBody { bytes: body, sent: Arc::clone(&sent) };
        self.exchange(method, path, body).map_err(|_lost| {
            if sent.load(Ordering::Acquire) { Failure::AfterSend } else { Failure::BeforeSend }
        })
    }

    fn exchange(&self, method: Method, path: &str, body: TrackedBody) -> attohttpc::Result<Answer> {
        let timeout = Duration::from_millis(self.timeout_ms);
        let response = RequestBuilder::try_new(method, format!("{}{path}", self.base_url))?
            .follow_redirects(false)
            // A proxy's 503 would not prove that the platform did nothing.
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(timeout)
            .read_timeout(timeout)
            .timeout(timeout)
            .body(body)
            .send()?;
        Answer::read(response)
    }

    fn table(&self, request: &TableRequest) -> Result<TableResult, Failure> {
        let body = serde_json::to_vec(request).or(Err(Failure::BeforeSend))?;
        let answer = self.send(Method::POST, "/table", body)?;
        match answer.status {
            StatusCode::OK => serde_json::from_slice(&answer.body).or(Err(Failure::AfterSend)),
            StatusCode::SERVICE_UNAVAILABLE => Ok(TableResult::Unavailable),
            _ => Err(Failure::AfterSend),
        }
    }
}

impl TableService for HttpPlatform {
    fn execute(&self, request: &TableRequest) -> TableResult {
        match (self.table(request), request) {
            (Ok(TableResult::Unknown) | Err(Failure::AfterSend), TableRequest::Commit(_)) => {
                TableResult::Unknown
            }
            (Ok(TableResult::Unknown) | Err(_), _) => TableResult::Unavailable,
            (Ok(result), _) => result,
        }
    }
}

impl ObjectStore for HttpPlatform {
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        let answer = self.send(Method::PUT, &object_path(name)?, bytes.to_vec());
        written(answer.map_err(Failure::of_write)?.status)
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let answer = self.send(Method::GET, &object_path(name)?, Vec::new());
        let answer = answer.or(Err(PlatformError::Unavailable))?;
        match answer.status {
            StatusCode::OK if answer.has_length => Ok(Some(answer.body)),
            StatusCode::OK => Err(PlatformError::NoLength),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(refused(status)),
        }
    }

    fn delete(&self, name: &str) -> Result<(), PlatformError> {
        let answer = self.send(Method::DELETE, &object_path(name)?, Vec::new());
        match answer.map_err(Failure::of_write)?.status {
            StatusCode::NOT_FOUND => Ok(()),
            status => written(status),
        }
    }
}

impl VmList for HttpPlatform {
    fn list(&self) -> Result<VmSnapshot, PlatformError> {
        let answer = self.send(Method::GET, "/vms", Vec::new());
        let answer = answer.or(Err(PlatformError::Unavailable))?;
        match answer.status {
            StatusCode::OK => {
                serde_json::from_slice(&answer.body).or(Err(PlatformError::Unavailable))
            }
            status => Err(refused(status)),
        }
    }
}

/// Where a request that got no whole answer failed.
#[derive(Debug, Clone, Copy)]
enum Failure {
    BeforeSend,
    AfterSend,
}

impl Failure {
    fn of_write(self) -> PlatformError {
        match self {
            Self::BeforeSend => PlatformError::Unavailable,
            Self::AfterSend => PlatformError::Unknown,
        }
    }
}

/// An answer that is whole if it declared its length; if not, its text must prove it.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    has_length: bool,
    body: Vec<u8>,
}

impl Answer {
    /// Reads an answer to its end.
    ///
    /// The library takes a connection that closes early for the end of the body, so that half an
    /// object would be returned as the object. The declared length is compared for that reason. The
    /// library also removes the header that tells a chunked body from one that ends with the
    /// connection, so that a body without a length may be cut short: JSON text that parses is whole,
    /// and an object is refused.
    fn read(response: Response) -> attohttpc::Result<Self> {
        let length = response.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
        let status = response.status();
        let body = response.bytes()?;
        if length.is_some_and(|length| length != body.len()) {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        Ok(Self { status, has_length: length.is_some(), body })
    }
}

/// A request body that notes when its first byte may have left.
///
/// The library reports a failed connect and a failed read by the same kinds of error. Without the
/// note, a commit that timed out after it was sent could be called "not carried out" and run again.
/// The platform cannot act on a request of which no byte of the body was handed to the socket.
#[derive(Debug)]
struct TrackedBody {
    bytes: Vec<u8>,
    sent: Arc<AtomicBool>,
}

impl Body for TrackedBody {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        self.sent.store(true, Ordering::Release);
        writer.write_all(&self.bytes)
    }
}

fn object_path(name: &str) -> Result<String, PlatformError> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    let relative = name.split('/').any(|part| matches!(part, "" | "." | ".."));
    if !relative && name.bytes().all(plain) {
        Ok(format!("/objects/{name}"))
    } else {
        Err(PlatformError::InvalidName { name: name.into() })
    }
}

/// Judges the status of a write; a server's error other than 503 says nothing about its effect.
fn written(status: StatusCode) -> Result<(), PlatformError> {
    if status.is_success() {
        Ok(())
    } else if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE {
        Err(PlatformError::Unknown)
    } else {
        Err(refused(status))
    }
}

fn refused(status: StatusCode) -> PlatformError {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        PlatformError::Unavailable
    } else {
        PlatformError::Refused { status: status.as_u16() }
    }
}
