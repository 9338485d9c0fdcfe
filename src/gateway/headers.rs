//! Removal of headers that must not be forwarded.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Hop-by-hop headers for which the `http` crate has no constant.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes hop-by-hop headers and the content length, which is set again from the body.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}
