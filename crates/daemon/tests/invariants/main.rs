//! Invariants of the design under failures, with real processes. The logs of workers and callers
//! are checked by the history checker, with the bounds of the design.

mod common;
mod leaving;
mod limits;
mod overload;
mod partition;
mod records;
mod requests;
