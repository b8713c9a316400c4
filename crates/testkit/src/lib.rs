//! Support for tests and measurements: stand-in workers, cells of real processes, faults, load.
