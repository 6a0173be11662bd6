//! Transfer codings of answers.

use hyper::HeaderMap;
use hyper::header::TRANSFER_ENCODING;

/// Returns whether the HTTP libraries have decoded a body: they know only the transfer coding
/// `chunked`.
pub(crate) fn has_known_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = |coding: &[u8]| coding.eq_ignore_ascii_case(b"chunked");
    let known = codings.next().is_none_or(|coding| is_chunked(coding.as_bytes()));
    known && codings.next().is_none()
}
