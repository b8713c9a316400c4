//! Decoding of arbitrary bytes.

use {
    fuchsiatack_wire::{Frame, LoadHint},
    quickcheck::{Gen, QuickCheck},
};

const CASES: u64 = 20_000;
const SEED: u64 = 1;
const SIZE_BYTES: usize = 300;

/// Guards against a panic on a corrupt frame or hint.
#[test]
fn arbitrary_bytes_never_panic() {
    fn decodes_or_fails(bytes: Vec<u8>) -> bool {
        let _ = postcard::from_bytes::<Frame>(&bytes);
        let _ = postcard::from_bytes::<LoadHint>(&bytes);
        true
    }
    let generator = Gen::from_size_and_seed(SIZE_BYTES, SEED);

    QuickCheck::new()
        .rng(generator)
        .tests(CASES)
        .quickcheck(decodes_or_fails as fn(Vec<u8>) -> bool);
}
