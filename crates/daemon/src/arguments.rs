//! Command line.

use {gumdrop::Options, std::path::PathBuf};

/// Arguments of `fuchsiatackd`.
///
/// Example: `fuchsiatackd --settings /etc/fuchsiatack/daemon.yaml`
#[derive(Debug, Options)]
pub struct Arguments {
    /// Checks the settings and exits; exit code 2 means that they are wrong.
    #[options(no_short, help = "check the settings and exit")]
    pub check: bool,
    /// Prints the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file.
    #[options(
        no_short,
        meta = "FILE",
        help = "settings file, for example /etc/fuchsiatack/daemon.yaml"
    )]
    pub settings: Option<PathBuf>,
}
