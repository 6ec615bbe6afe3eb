//! Fingerprints of requests, by which VMs recognise the repeats of a request.
//!
//! Each repeat has its own attempt id and may come to another VM. The fingerprint covers what stays
//! the same: the caller, the method, the host, the target and the body.

use std::fmt;
use std::net::IpAddr;

use crate::hash::Digest;

/// The beginning of a body that a fingerprint covers, in bytes, beside the body's length. It is below
/// the least part of a body that a VM buffers, so that all VMs compute the same fingerprint.
pub const FINGERPRINT_BODY_BYTES: usize = 16 * 1024;

/// The properties of a request that all of its repeats share.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// The credentials of the caller's client account, if the request has any.
    pub credentials: Option<&'a [u8]>,
    /// The caller's address.
    pub caller: IpAddr,
    /// The method.
    pub method: &'a str,
    /// The value of the `Host` header.
    pub host: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The body, or at least its first [`FINGERPRINT_BODY_BYTES`].
    pub body: &'a [u8],
    /// The length of the whole body in bytes, if known.
    pub body_bytes: Option<u64>,
}

/// The fingerprints of a request.
///
/// A caller with credentials is recognised by these alone. The address of one without may change
/// between repeats, or be shared by several callers, so such a request has two fingerprints: one
/// with the address, and one that is the same for all callers without credentials.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFingerprints {
    /// The fingerprint that includes the caller.
    pub of_caller: Digest,
    /// The fingerprint shared by all callers without credentials; `None` for a caller with some.
    pub of_content: Option<Digest>,
}

impl RequestFingerprints {
    /// Computes the fingerprints of a request.
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        let content = identity.content_digest();
        let (kind, caller) = match (identity.credentials, identity.caller.to_canonical()) {
            (Some(credentials), _) => (b"credentials".as_slice(), credentials.to_vec()),
            (None, IpAddr::V4(ip)) => (b"address".as_slice(), ip.octets().to_vec()),
            (None, IpAddr::V6(ip)) => (b"address".as_slice(), ip.octets().to_vec()),
        };
        Self {
            of_caller: Digest::of(&[kind, &caller, &content.0]),
            of_content: identity.credentials.is_none().then_some(content),
        }
    }

    /// Returns all fingerprints of the request.
    pub fn iter(&self) -> impl Iterator<Item = Digest> + use<> {
        std::iter::once(self.of_caller).chain(self.of_content)
    }
}

impl fmt::Display for RequestFingerprints {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.of_caller.to_hex())?;
        self.of_content.map_or(Ok(()), |digest| write!(f, "/{}", digest.to_hex()))
    }
}

impl RequestIdentity<'_> {
    fn content_digest(&self) -> Digest {
        let body = &self.body[..self.body.len().min(FINGERPRINT_BODY_BYTES)];
        let length = self.body_bytes.map_or_else(Vec::new, |bytes| bytes.to_le_bytes().to_vec());
        Digest::of(&[
            b"request",
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.target.as_bytes(),
            body,
            &length,
        ])
    }
}
