//! Reads typed values from a JSON configuration; errors contain the path of the key.

use serde_json::Value;

/// Maximum number of characters of an invalid value in an error text.
const MAX_SHOWN_LEN: usize = 60;

/// An error in reading settings or another part of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The text is not JSON.
    NotJson {
        /// The parser's error message.
        reason: String,
    },
    /// A value has the wrong type or is out of range.
    InvalidValue(InvalidValue),
}

/// A configuration value that has the wrong type or is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// Path of the key, such as `settings.lanes[0].effect`.
    path: String,
    /// The value of the key `name` in the innermost list entry that contains the value.
    entry_name: Option<String>,
    /// The value as JSON, shortened to [`MAX_SHOWN_LEN`] characters; `missing` without a value.
    received: String,
    /// The valid values, in words; completes the sentence "must be ...".
    expected: String,
}

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotJson { reason } => write!(f, "unreadable settings: {reason}"),
            Self::InvalidValue(invalid) => invalid.fmt(f),
        }
    }
}

impl std::fmt::Display for InvalidValue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.path)?;
        if let Some(name) = &self.entry_name {
            write!(f, " ({name:?})")?;
        }
        write!(f, " is {}: must be {}", self.received, self.expected)
    }
}

impl std::error::Error for ReadError {}

/// The valid range of a number: a predicate, and its description for errors.
#[derive(Clone, Copy, Debug)]
pub struct Range {
    expected: &'static str,
    contains: fn(f64) -> bool,
}

impl Range {
    /// Any finite number.
    pub const ANY: Self = Self::new("a number", |_| true);

    /// Creates a range; `expected` completes the sentence "must be ..." for the numbers that satisfy
    /// `contains`.
    pub const fn new(expected: &'static str, contains: fn(f64) -> bool) -> Self {
        Self { expected, contains }
    }
}

/// A configuration value with the path of its key.
#[derive(Clone, Debug)]
pub struct Field<'a> {
    value: &'a Value,
    path: String,
    /// The value of the key `name` in the innermost list entry that contains the value.
    entry_name: Option<&'a str>,
}

impl<'a> Field<'a> {
    /// Creates the field of a whole configuration, for which `path` is empty, or of the part at this path.
    pub fn new(value: &'a Value, path: &str) -> Self {
        Self { value, path: path.to_owned(), entry_name: None }
    }

    /// The field of an object's key; its value is null if the key is missing.
    #[must_use]
    pub fn child(&self, key: &str) -> Self {
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        let value = self.value.get(key).unwrap_or(&Value::Null);
        Self { value, path, entry_name: self.entry_name }
    }

    /// The field of a list entry; its value is null if the entry is missing.
    #[must_use]
    pub fn at(&self, index: usize) -> Self {
        let value = self.value.get(index).unwrap_or(&Value::Null);
        let entry_name = value.get("name").and_then(Value::as_str).filter(|name| !name.is_empty());
        Self { value, path: format!("{}[{index}]", self.path), entry_name }
    }

    /// Number of entries of a list; 0 if the value is not a list.
    pub fn len(&self) -> usize {
        self.value.as_array().map_or(0, Vec::len)
    }

    /// Whether the value has no list entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the key is missing, or its value is null.
    pub fn is_missing(&self) -> bool {
        self.value.is_null()
    }

    /// The JSON value.
    pub fn value(&self) -> &'a Value {
        self.value
    }

    /// Reads each entry of a list; a missing list has no entries.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the value is not a list, or an entry cannot be read.
    pub fn map<T>(&self, read: impl Fn(Self) -> Result<T, ReadError>) -> Result<Vec<T>, ReadError> {
        match self.value {
            Value::Null | Value::Array(_) => (0..self.len()).map(|index| read(self.at(index))).collect(),
            _ => Err(self.invalid("a list")),
        }
    }

    /// Reads a number within a range.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the value is missing, not a number or out of range.
    pub fn number(&self, range: Range) -> Result<f64, ReadError> {
        let number = self.value.as_f64().filter(|&number| number.is_finite() && (range.contains)(number));
        number.ok_or_else(|| self.invalid(range.expected))
    }

    /// Reads a number within a range, or returns `default` if the value is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the value is present and invalid.
    pub fn number_or(&self, default: f64, range: Range) -> Result<f64, ReadError> {
        if self.is_missing() { Ok(default) } else { self.number(range) }
    }

    /// Reads a whole number, `min` or more, which may be written as 8 or as 8.0.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the value is missing, not a whole number or out of range.
    pub fn whole(&self, min: u32) -> Result<u32, ReadError> {
        let range = f64::from(min)..=f64::from(u32::MAX);
        let is_valid = |number: &f64| number.fract() == 0.0 && range.contains(number);
        let whole = self.value.as_f64().filter(is_valid).map(|number| number as u32);
        whole.ok_or_else(|| self.invalid(&format!("a whole number from {min} to {}", u32::MAX)))
    }

    /// Reads a whole number, `min` or more, or returns `default` if the value is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the value is present and invalid.
    pub fn whole_or(&self, default: u32, min: u32) -> Result<u32, ReadError> {
        if self.is_missing() { Ok(default) } else { self.whole(min) }
    }

    /// Reads a boolean, or returns `default` if the value is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the value is present and neither true nor false.
    pub fn flag_or(&self, default: bool) -> Result<bool, ReadError> {
        match self.value {
            Value::Null => Ok(default),
            Value::Bool(flag) => Ok(*flag),
            _ => Err(self.invalid("true or false")),
        }
    }

    /// Reads a string, or returns `default` if the value is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the value is present and not a string.
    pub fn text_or(&self, default: &'a str) -> Result<&'a str, ReadError> {
        match self.value {
            Value::Null => Ok(default),
            Value::String(text) => Ok(text),
            _ => Err(self.invalid("a string")),
        }
    }

    /// Reads a string that must be one of the names in `variants`, and returns the variant of that name.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the value is missing or not one of the names.
    pub fn variant<T: Copy>(&self, variants: &[(&str, T)]) -> Result<T, ReadError> {
        let name = self.value.as_str();
        let variant = variants.iter().find(|(known, _)| name == Some(known));
        variant.map(|&(_, variant)| variant).ok_or_else(|| {
            let names: Vec<String> = variants.iter().map(|(known, _)| format!("{known:?}")).collect();
            self.invalid(&format!("one of {}", names.join(", ")))
        })
    }

    /// Reads the name of a variant like [`Field::variant`], or returns `default` if the value is missing.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if the value is present and not one of the names.
    pub fn variant_or<T: Copy>(&self, default: T, variants: &[(&str, T)]) -> Result<T, ReadError> {
        if self.is_missing() { Ok(default) } else { self.variant(variants) }
    }

    /// Creates the error for this key and its value; `expected` completes the sentence "must be ...".
    pub fn invalid(&self, expected: &str) -> ReadError {
        let value = if self.is_missing() { "missing".to_owned() } else { self.value.to_string() };
        let mut received: String = value.chars().take(MAX_SHOWN_LEN).collect();
        if received.len() < value.len() {
            received.push_str("...");
        }
        ReadError::InvalidValue(InvalidValue {
            path: self.path.clone(),
            entry_name: self.entry_name.map(str::to_owned),
            received,
            expected: expected.to_owned(),
        })
    }
}
