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
    /// The name of the authenticated client account, if any.
    pub account: Option<&'a str>,
    /// The credentials that the request presents to the upstream, if any.
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
/// A caller with a client account is recognised by the account alone, and one with other credentials
/// by these. The address of a caller with neither may change between repeats, or be shared by several
/// callers, so such a request has two fingerprints: one with the address, and one that is the same for
/// all anonymous callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFingerprints {
    /// The fingerprint that includes the caller.
    pub of_caller: Digest,
    /// The fingerprint shared by all anonymous callers; `None` for other callers.
    pub of_content: Option<Digest>,
}

impl RequestFingerprints {
    /// Computes the fingerprints of a request.
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        let content = identity.content_digest();
        let ip = identity.caller.to_canonical();
        let (kind, caller) = match (identity.account, identity.credentials, ip) {
            (Some(account), _, _) => (b"account".as_slice(), account.as_bytes().to_vec()),
            (None, Some(credentials), _) => (b"credentials".as_slice(), credentials.to_vec()),
            (None, None, IpAddr::V4(ip)) => (b"address".as_slice(), ip.octets().to_vec()),
            (None, None, IpAddr::V6(ip)) => (b"address".as_slice(), ip.octets().to_vec()),
        };
        let is_anonymous = identity.account.is_none() && identity.credentials.is_none();
        Self {
            of_caller: Digest::of(&[kind, &caller, &content.0]),
            of_content: is_anonymous.then_some(content),
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
