//! Tests of the guarantees of a cell, with real daemon and worker processes under failures.
//!
//! The comment of each test names the violations that it guards against. Most tests also pass the logs
//! of workers and callers to the history checker, whose default bounds are those of the design: 7 s for
//! a changed limit, 3 s for a leaving or drained worker and 5 s for a withdrawn key.

mod common;
mod leaving;
mod limits;
mod overload;
mod partition;
mod records;
mod requests;
