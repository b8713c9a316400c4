//! Format of the output of commands on standard output.

use {crate::error::CliError, serde_json::Value, std::str::FromStr};

/// Format of the output, chosen by `--output`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Format {
    /// One JSON value.
    Json,
    /// Lines of text, and records and statuses as YAML.
    #[default]
    Text,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err(format!("unknown format {text}; expected text or json")),
        }
    }
}

impl Format {
    /// Prints `value` as JSON, or `text` in text format.
    pub(crate) fn print(self, value: &Value, text: &str) {
        match self {
            Self::Json => println!("{value:#}"),
            Self::Text => println!("{}", text.trim_end()),
        }
    }

    /// Prints a value as JSON or YAML.
    pub(crate) fn print_value(self, value: &Value) -> Result<(), CliError> {
        let text = serde_saphyr::to_string(value).map_err(|error| CliError::Internal {
            message: error.to_string(),
        })?;
        self.print(value, &text);
        Ok(())
    }
}
