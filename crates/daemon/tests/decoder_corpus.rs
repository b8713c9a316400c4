//! A stored corpus of bodies, replayed and mutated through the decoders of the product's own interface.
//!
//! An input that once failed is kept as a file in `corpus`.

use {
    fuchsiatack_model::WorkerAnnouncement,
    fuchsiatack_records::{Record, Schema},
    quickcheck::QuickCheck,
    serde_json::Value,
    std::{fs, path::Path},
};

fn corpus() -> Vec<Vec<u8>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let files = fs::read_dir(folder).expect("the corpus should be readable");
    let mut files: Vec<_> = files.map(|file| file.expect("a file").path()).collect();
    files.sort();
    assert!(!files.is_empty(), "the corpus is empty");
    files
        .iter()
        .map(|file| fs::read(file).expect("the file should be readable"))
        .collect()
}

/// Passes a body to the decoders of announcements and records. Returns whether a decoded record is the same
/// after it was encoded.
fn decode_everywhere(body: &[u8]) -> bool {
    let _ = serde_json::from_slice::<WorkerAnnouncement>(body);
    let Ok(value) = serde_json::from_slice::<Value>(body) else {
        return true;
    };
    match Record::from_json(&value) {
        // The secret of a key is stored as its hash, so a key differs from what was sent.
        Ok(record) => Record::from_json(&record.to_json(Schema::V2)).is_ok_and(|again| again == record),
        Err(error) => !error.to_string().is_empty(),
    }
}

/// Guards against the return of an input that failed.
#[test]
fn the_corpus_is_decoded_or_refused() {
    for body in corpus() {
        assert!(decode_everywhere(&body), "{}", String::from_utf8_lossy(&body));
    }
}

/// Guards against bytes that panic in a decoder: those of the corpus with some of them replaced, removed or
/// repeated.
#[test]
fn mutations_of_the_corpus_are_decoded_or_refused() {
    fn is_sound(file: usize, edits: Vec<(usize, u8, u8)>) -> bool {
        let corpus = corpus();
        let mut body = corpus[file % corpus.len()].clone();
        for (position, kind, byte) in edits.into_iter().take(8) {
            let position = position % body.len().max(1);
            match kind % 4 {
                _ if body.is_empty() => {}
                0 => body[position] = byte,
                1 => body.insert(position, byte),
                2 => _ = body.remove(position),
                _ => {
                    let end = (position + usize::from(byte)).min(body.len());
                    let part = body[position..end].to_vec();
                    body.extend(part);
                }
            }
        }
        decode_everywhere(&body)
    }

    QuickCheck::new()
        .tests(2_000)
        .quickcheck(is_sound as fn(usize, Vec<(usize, u8, u8)>) -> bool);
}
