//! The answer of a fake worker: a digest of the body and the body itself.

/// Length of the digest in an answer, as hexadecimal digits.
const DIGEST_CHARS: usize = 64;

/// Computes the answer to a body: BLAKE3 digest in hexadecimal, a line feed, the body.
pub fn response_to(body: &[u8]) -> Vec<u8> {
    let mut answer = Vec::with_capacity(DIGEST_CHARS + 1 + body.len());
    answer.extend_from_slice(blake3::hash(body).to_hex().as_bytes());
    answer.push(b'\n');
    answer.extend_from_slice(body);
    answer
}

/// Returns whether an answer is consistent in itself, whichever body it belongs to.
pub fn is_whole(answer: &[u8]) -> bool {
    match answer.split_at_checked(DIGEST_CHARS + 1) {
        Some((_, body)) => answer == response_to(body),
        None => false,
    }
}

/// Returns whether an answer is the complete answer to `body`.
pub fn is_answer_to(answer: &[u8], body: &[u8]) -> bool {
    answer == response_to(body)
}
