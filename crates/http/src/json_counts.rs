//! Counts of the fields, elements and nesting of a JSON text, made before it is decoded.

use {crate::Limit, fuchsiatack_derives::value};

/// Memory of a decoded field in bytes, as an estimate from above: a short text and its place in a structure.
const FIELD_BYTES: usize = 32;
/// Memory of a decoded element in bytes, as an estimate from above: a step with all its fields at their
/// defaults, in the form of the message and in that of the call.
const ELEMENT_BYTES: usize = 512;

/// Largest counts of a JSON text.
#[value]
pub struct JsonLimits {
    /// Largest nesting of lists and objects.
    pub max_depth: usize,
    /// Largest number of elements of all lists together.
    pub max_elements: usize,
    /// Largest number of fields of all objects together.
    pub max_fields: usize,
}

/// Counts of a JSON text.
#[derive(Default)]
#[value]
pub struct JsonCounts {
    /// Nesting of lists and objects.
    pub depth: usize,
    /// Elements of all lists together, where an empty list or object counts as one; or the objects within others
    /// if these are more.
    pub elements: usize,
    /// Fields of all objects together.
    pub fields: usize,
}

impl JsonCounts {
    /// Counts in one pass without memory. A text that is not JSON gets counts too; the decoder rejects it.
    pub fn of(text: &[u8]) -> Self {
        let mut depth = 0_usize;
        let mut counts = Self::default();
        let mut objects = 0_usize;
        let mut values = 0_usize;
        let mut bytes = text.iter();
        while let Some(byte) = bytes.next() {
            match byte {
                b'"' => skip_string(&mut bytes),
                b'[' | b'{' => {
                    objects += usize::from(*byte == b'{');
                    values += 1;
                    depth += 1;
                    counts.depth = counts.depth.max(depth);
                }
                b']' | b'}' => depth = depth.saturating_sub(1),
                b',' => values += 1,
                b':' => counts.fields += 1,
                _ => {}
            }
        }
        // Colons that belong to no field, in a text that is not JSON, must not hide objects.
        counts.elements = values
            .saturating_sub(counts.fields)
            .max(objects.saturating_sub(1));
        counts
    }

    /// Returns the first limit that the counts exceed.
    pub fn check(&self, limits: &JsonLimits) -> Result<(), Limit> {
        match () {
            () if self.depth > limits.max_depth => Err(Limit::Depth),
            () if self.elements > limits.max_elements => Err(Limit::Elements),
            () if self.fields > limits.max_fields => Err(Limit::Fields),
            () => Ok(()),
        }
    }

    /// Memory of the decoded text beside its strings in bytes, as an estimate from above.
    pub fn decoded_bytes(&self) -> usize {
        self.fields * FIELD_BYTES + self.elements * ELEMENT_BYTES
    }
}

fn skip_string(bytes: &mut std::slice::Iter<'_, u8>) {
    while let Some(byte) = bytes.next() {
        match byte {
            b'"' => return,
            b'\\' => _ = bytes.next(),
            _ => {}
        }
    }
}
