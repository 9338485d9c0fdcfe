//! Headers that are not passed on.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Headers that concern one connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Headers of one connection without a name in the library.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes the headers that concern one connection only, and the length, which a body brings itself.
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
