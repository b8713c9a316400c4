//! Response body of a fake worker: a digest of the request body, followed by that body.

/// Length of the digest in a response body, in hexadecimal digits.
const DIGEST_CHARS: usize = 64;

/// Computes the response to a request body: BLAKE3 digest in hexadecimal, a line feed, the body.
pub fn response_to(body: &[u8]) -> Vec<u8> {
    let mut response = Vec::with_capacity(DIGEST_CHARS + 1 + body.len());
    response.extend_from_slice(blake3::hash(body).to_hex().as_bytes());
    response.push(b'\n');
    response.extend_from_slice(body);
    response
}

/// Returns whether the digest of a response matches the body in it, whichever request it belongs to.
pub fn is_complete_response(response: &[u8]) -> bool {
    match response.split_at_checked(DIGEST_CHARS + 1) {
        Some((_, body)) => response == response_to(body),
        None => false,
    }
}

/// Returns whether a response is the complete response to a request with this `body`.
pub fn is_response_to(response: &[u8], body: &[u8]) -> bool {
    response == response_to(body)
}
