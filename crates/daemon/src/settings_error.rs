//! Errors of the settings file.

use {
    displaydoc::Display,
    std::path::{Path, PathBuf},
};

/// What is wrong with the settings.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// {file}:{line}: {key}: {message}
    Invalid {
        /// Settings file.
        file: String,
        /// Path of the key, with dots.
        key: String,
        /// Line in the file, from 1.
        line: u64,
        /// What is wrong.
        message: String,
    },
    /// {file}:{line}: {message}
    Parse {
        /// Settings file.
        file: String,
        /// Line in the file, from 1.
        line: u64,
        /// What is wrong, with the key.
        message: String,
    },
    /// cannot read settings file {file}: {message}
    Unreadable {
        /// Settings file.
        file: String,
        /// Error of the operating system.
        message: String,
    },
}

impl SettingsError {
    pub(crate) fn parse(file: &Path, error: &serde_saphyr::Error) -> Self {
        Self::Parse {
            file: file.display().to_string(),
            line: error.location().map_or(1, |location| location.line()),
            message: error.without_snippet().to_string(),
        }
    }

    pub(crate) fn unreadable(file: &Path, error: &std::io::Error) -> Self {
        Self::Unreadable {
            file: PathBuf::from(file).display().to_string(),
            message: error.to_string(),
        }
    }
}

impl std::error::Error for SettingsError {}
