//! Command line arguments.

use {gumdrop::Options, std::path::PathBuf};

/// Arguments of `fuchsiatackd`.
///
/// Example: `fuchsiatackd --settings /etc/fuchsiatack/daemon.yaml`
#[derive(Debug, Options)]
pub struct Arguments {
    /// Settings file of the platform, instead of the one that its environment variable names.
    #[options(
        no_short,
        meta = "FILE",
        help = "the platform's settings file, with --platform"
    )]
    pub boot_file: Option<PathBuf>,
    /// File with the secret of the cell; required with `--platform`.
    #[options(no_short, meta = "FILE", help = "secret of the cell, with --platform")]
    pub cell_secret_file: Option<PathBuf>,
    /// Whether to check the settings and exit, with exit code 2 if they are invalid.
    #[options(no_short, help = "check the settings and exit")]
    pub check: bool,
    /// Whether to print the help and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to run the role that the settings file of the platform names.
    #[options(no_short, help = "run the role that the platform's settings file names")]
    pub platform: bool,
    /// Settings file; required without `--platform`.
    #[options(
        no_short,
        meta = "FILE",
        help = "settings file, for example /etc/fuchsiatack/daemon.yaml"
    )]
    pub settings: Option<PathBuf>,
}
