//! Command line.

use {gumdrop::Options, std::path::PathBuf};

/// Arguments of `fuchsiatackd`.
///
/// Example: `fuchsiatackd --settings /etc/fuchsiatack/daemon.yaml`
#[derive(Debug, Options)]
pub struct Arguments {
    /// The platform's settings file, in place of the one that its variable names.
    #[options(
        no_short,
        meta = "FILE",
        help = "the platform's settings file, with --platform"
    )]
    pub boot_file: Option<PathBuf>,
    /// File with the secret of the cell, for `--platform`.
    #[options(no_short, meta = "FILE", help = "secret of the cell, with --platform")]
    pub cell_secret_file: Option<PathBuf>,
    /// Checks the settings and exits; exit code 2 means that they are wrong.
    #[options(no_short, help = "check the settings and exit")]
    pub check: bool,
    /// Prints the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Runs the role that the platform's own settings file names.
    #[options(no_short, help = "run the role that the platform's settings file names")]
    pub platform: bool,
    /// Settings file.
    #[options(
        no_short,
        meta = "FILE",
        help = "settings file, for example /etc/fuchsiatack/daemon.yaml"
    )]
    pub settings: Option<PathBuf>,
}
