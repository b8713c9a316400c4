//! Invariants of the design, tested with real processes under failures. The history checker
//! verifies the logs of workers and callers against the bounds of the design. The number of an
//! invariant in a test's comment is its number in the design documentation.

mod common;
mod leaving;
mod limits;
mod overload;
mod partition;
mod records;
mod requests;
