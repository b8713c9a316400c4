//! Randomized soak of the platform path: the real programs as separate processes, stand-ins for
//! workers, advice service, operator and callers, and faults from outside. It checks the promises
//! while it runs, from what callers and workers see.

mod advice;
mod callers;
mod daemons;
mod faults;
mod operator;
mod soak;
mod truth;
mod web;
mod workers;

pub use self::soak::{SoakReport, SoakSettings, run};
