//! Errors of the settings file.

use {
    crate::yaml_location::key_at,
    displaydoc::Display,
    std::path::{Path, PathBuf},
};

/// Start of the location that the YAML library appends to its messages.
const LOCATION_SEPARATOR: &str = " at line ";

/// Error in a settings file.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// {file}:{line}: {key}: {message}
    Invalid {
        /// Path of the settings file.
        file: String,
        /// Path of the key, separated by dots.
        key: String,
        /// Line in the file, from 1.
        line: u64,
        /// Explanation of what the value must be.
        message: String,
    },
    /// {file}:{line}: {message}
    Parse {
        /// Path of the settings file.
        file: String,
        /// Line in the file, from 1.
        line: u64,
        /// Error of the YAML parser.
        message: String,
    },
    /// cannot read settings file {file}: {message}
    Unreadable {
        /// Path of the settings file.
        file: String,
        /// Error of the operating system.
        message: String,
    },
}

impl SettingsError {
    pub(crate) fn parse(file: &Path, text: &str, error: &serde_saphyr::Error) -> Self {
        let file = file.display().to_string();
        let line = error.location().map_or(1, |location| location.line());
        let text_with_location = error.without_snippet().to_string();
        let message = match text_with_location.rsplit_once(LOCATION_SEPARATOR) {
            Some((message, _)) => message.to_owned(),
            None => text_with_location,
        };
        match error.location().and_then(|location| key_at(text, &location)) {
            Some(key) => Self::Invalid {
                file,
                key,
                line,
                message,
            },
            None => Self::Parse { file, line, message },
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
