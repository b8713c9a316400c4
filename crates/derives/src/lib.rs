//! Attribute macros that expand to the derive lists shared by most types of the workspace.
//!
//! | attribute | derived traits |
//! | --- | --- |
//! | `#[value]` | `Clone`, `Debug`, `PartialEq` |
//! | `#[message]` | the traits of `#[value]`, `Serialize`, `Deserialize` |
//! | `#[key]` | the traits of `#[message]`, `Copy`, `Eq`, `Hash`, `Ord`, `PartialOrd` |
//!
//! ```ignore
//! #[message]
//! pub struct Renewal {
//!     pub sent_ms: u64,
//! }
//! ```

use proc_macro::TokenStream;

const KEY: &str = "Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, \
                   ::serde::Serialize, ::serde::Deserialize";
const MESSAGE: &str = "Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize";
const VALUE: &str = "Clone, Debug, PartialEq";

/// Derives the traits of a small type that is copied, compared and serialized.
#[proc_macro_attribute]
pub fn key(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(KEY, item)
}

/// Derives the traits of a type that is sent between processes or stored.
#[proc_macro_attribute]
pub fn message(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(MESSAGE, item)
}

/// Derives the traits of a type that stays in one process and is never serialized.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(VALUE, item)
}

fn with_derives(traits: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = format!("#[derive({traits})]")
        .parse()
        .expect("the derive lists in this file are valid attributes");
    output.extend(item);
    output
}
